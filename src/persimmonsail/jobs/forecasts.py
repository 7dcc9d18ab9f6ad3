"""An entry's copy of the leader's forecasts, and its decisions by them.

The leader forecasts, and every entry decides for the jobs that callers hand
in there. An entry whose copy is outdated accepts all jobs, as it would without
forecasts: it has lost the leader, or there is a new one that has measured
nothing yet.
"""

import dataclasses
import random
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import admission
from persimmonsail.jobs import backlog
from persimmonsail.jobs import clock
from persimmonsail.jobs import counts
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import queues
from persimmonsail.jobs import specification as specification_module
from persimmonsail import logs
from persimmonsail import metrics

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module

# An outdated forecast may reject jobs that the service could do by now. A
# backlog that takes tens of seconds changes little in this time.
MAX_AGE_SECONDS = 3.0
_POLL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class LeaderForecasts:
    """The forecasts of a leader.

    Attributes
    ----------
    epoch, version : int
        The leader's term, and the number of its measurement.
    requested_at : float
        When they were requested, on ``clock``.
    by_service : mapping of str to persimmonsail.jobs.backlog.Forecast
        The forecasts.
    mean_works : mapping of str to float
        Mean work of each queue's jobs, in core-milliseconds.
    """

    epoch: int
    version: int
    requested_at: float
    by_service: t.Mapping[str, backlog.Forecast]
    mean_works: t.Mapping[str, float]


class Gate:
    """Admits jobs, or rejects them with a time to return.

    Parameters
    ----------
    call_leader : callable
        Calls a method of the leader's entry with a message; returns
        None without an answer.
    get_local_leader : callable
        Returns the leader if it runs in this process.
    generator : random.Random
        Spreads the times of rejected callers.
    """

    def __init__(
        self,
        call_leader: counts.CallLeader,
        get_local_leader: t.Callable[[], 'leader_module.Leader | None'],
        generator: random.Random,
    ) -> None:
        self._call_leader = call_leader
        self._get_local_leader = get_local_leader
        self._retry_times = admission.RetryTimes(generator)
        self._copy: LeaderForecasts | None = None

    async def run(self) -> None:
        """Update the forecasts until cancelled."""
        while True:
            await self._request()
            await anyio.sleep(_POLL_SECONDS)

    async def _request(self) -> None:
        requested_at = clock.read()
        leader = self._get_local_leader()
        if leader is not None:
            self.update(describe(leader), requested_at)
            return
        reply = await self._call_leader(
            'GetForecasts', fleet_pb2.ForecastQuery()
        )
        if reply is not None:
            self.update(reply, requested_at)

    def update(
        self, reply: fleet_pb2.ForecastReply, requested_at: float
    ) -> None:
        """Apply a leader's reply, unless a later one was applied.

        Parameters
        ----------
        reply : persimmonsail.jobs.fleet_pb2.ForecastReply
            The reply.
        requested_at : float
            When it was requested, on ``clock``.
        """
        if not reply.leads:
            return
        current = self._copy
        number = (reply.epoch, reply.version)
        if current and number == (current.epoch, current.version):
            # A leader that waits for the store measures nothing; its forecast
            # gets older.
            return
        if current and number < (current.epoch, current.version):
            logs.write_event(
                'forecast-outdated',
                epoch=reply.epoch,
                version=reply.version,
                newest_epoch=current.epoch,
                newest_version=current.version,
            )
            return
        self._copy = LeaderForecasts(
            reply.epoch,
            reply.version,
            requested_at,
            {row.service: _parse(row) for row in reply.services},
            {row.queue: row.mean_core_ms for row in reply.works},
        )

    def check(
        self,
        id: str,
        queue: queues.Queue,
        specification: specification_module.Specification,
    ) -> None:
        """Raise an error if a job is not admitted.

        Parameters
        ----------
        id : str
            The caller's id of the job.
        queue : persimmonsail.jobs.queues.Queue
            The job's queue.
        specification : persimmonsail.jobs.specification.Specification
            The job.

        Raises
        ------
        persimmonsail.exceptions.JobRejected
            With the seconds after which the caller should return.
        """
        now = clock.read()
        copy = self._copy
        if copy is None or now - copy.requested_at > MAX_AGE_SECONDS:
            return
        leader = self._get_local_leader()
        if leader is not None and leader.epoch != copy.epoch:
            return
        forecast = copy.by_service.get(queue.service, backlog.Forecast())
        work = specification.work_core_ms
        decision = admission.decide(
            forecast,
            queue,
            specification,
            copy.mean_works.get(queue.name, work),
        )
        if decision.is_admitted:
            return
        retry_after = self._retry_times.choose(
            queue.service, decision, forecast.rate / work, now
        )
        metrics.JOBS_REJECTED.increment(queue.name)
        logs.write_event(
            'job-rejected',
            job=id,
            queue=queue.name,
            service=queue.service,
            work_core_ms=round(work),
            ahead_core_ms=round(decision.ahead_core_ms),
            rate_core_ms=round(forecast.rate),
            end_seconds=decision.end_seconds,
            limit_seconds=decision.limit_seconds,
            retry_after=retry_after,
            epoch=copy.epoch,
            version=copy.version,
            age_seconds=now - copy.requested_at,
        )
        raise exceptions.JobRejected(
            f'it would end in {decision.end_seconds:.0f} s, '
            f'and is of use for {decision.limit_seconds:.0f} s',
            retry_after,
        )


def describe(leader: 'leader_module.Leader') -> fleet_pb2.ForecastReply:
    """Return a leader's forecasts as a reply to other entries."""
    if not leader.loaded:
        return fleet_pb2.ForecastReply()
    measured = leader.backlog
    reply = fleet_pb2.ForecastReply(
        leads=True, epoch=leader.epoch, version=measured.version
    )
    for name, forecast in measured.forecasts.items():
        row = reply.services.add(
            service=name,
            rate_core_ms=forecast.rate,
            saturated_seconds=forecast.saturated_seconds,
            correction=forecast.correction,
        )
        for level in forecast.levels:
            row.levels.add(
                priority=level.priority,
                cost=level.cost,
                core_ms=level.core_ms,
                arriving_core_ms=level.arriving_core_ms,
            )
    for queue, mean_work in measured.mean_works.items():
        reply.works.add(queue=queue, mean_core_ms=mean_work)
    return reply


def _parse(row: fleet_pb2.ServiceForecast) -> backlog.Forecast:
    return backlog.Forecast(
        row.rate_core_ms,
        row.saturated_seconds,
        tuple(
            backlog.Level(
                level.priority,
                level.cost,
                level.core_ms,
                level.arriving_core_ms,
            )
            for level in row.levels
        ),
        row.correction,
    )
