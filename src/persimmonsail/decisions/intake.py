"""Admission control for tasks submitted to a partition's holder."""

import collections
import contextlib
import random
import typing as t

from persimmonsail.bookkeeping import tasks as tasks_module
from persimmonsail.catalogues import catalogue as catalogue_module
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import planner as planner_module
from persimmonsail.decisions import retryafter
from persimmonsail import exceptions
from persimmonsail import logs

_MEDIAN_PERCENTILE = 50
_TOO_MANY_REQUESTS = 429
_UNPROCESSABLE_CONTENT = 422


class Intake:
    """Rejects tasks that can never run or whose team's queue is full.

    Parameters
    ----------
    fleet : persimmonsail.decisions.fleet.Fleet
        The entry's view of instances.
    learned : persimmonsail.decisions.planner.LearnedState
        The entry's learned state.
    generator : random.Random
        Adds jitter to the retry times of rejected callers.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        learned: planner_module.LearnedState,
        generator: random.Random,
    ) -> None:
        self._fleet = fleet
        self._learned = learned
        self._generator = generator
        self._pending: t.Counter[str] = collections.Counter()
        self._committing: dict[str, str] = {}
        self._schedulers: dict[str, retryafter.RetryScheduler] = {}

    def note_pending(self, pending: t.Iterable[tasks_module.Task]) -> None:
        """Replace the counts of tasks waiting for a placement."""
        self._pending = collections.Counter(
            task.team for task in pending if task.id not in self._committing
        )

    @contextlib.contextmanager
    def admit(self, task: str, team: str) -> t.Iterator[None]:
        """Count a task during its commit and as pending afterwards.

        The task is in the table some time before the coroutine that
        commits it resumes; a placement round in between must not count
        it twice.
        """
        self._committing[task] = team
        try:
            yield
            self._pending[team] += 1
        finally:
            self._committing.pop(task, None)

    def note_placed(self, team: str, now: float) -> None:
        """Count a task that has left its team's queue."""
        self._find_scheduler(team).drain_rate.note(now)

    def check(
        self,
        task: str,
        name: str,
        catalogue: catalogue_module.Catalogue,
        now: float,
    ) -> None:
        """Check whether one more task of a workload is accepted.

        Raises
        ------
        persimmonsail.exceptions.NotAccepted
            If the task is rejected; it has not run and never will.
        """
        if task in self._committing:
            # An earlier request with the same key may still be accepted;
            # answering 'not run' would then be wrong.
            return
        workload = catalogue.workloads[name]
        if self._learned.is_settled(self._fleet, now):
            reason = planner_module.find_infeasibility(
                workload, catalogue, self._fleet.list_all()
            )
            if reason:
                raise exceptions.NotAccepted(
                    reason, _UNPROCESSABLE_CONTENT, 0.0
                )
        team = workload.owner
        committing = sum(other == team for other in self._committing.values())
        pending = self._pending[team] + committing
        ahead = pending - catalogue.teams[team].max_pending + 1
        if ahead > 0:
            self._reject_full_queue(name, team, ahead, now)

    def _reject_full_queue(
        self, name: str, team: str, ahead: int, now: float
    ) -> None:
        seconds = self._learned.learner.estimate_seconds(
            name, _MEDIAN_PERCENTILE, 1.0
        )
        retry_after = self._find_scheduler(team).find_retry_after(
            now, ahead, 1 / max(seconds, 1.0)
        )
        logs.write_event(
            'queue-full',
            team=team,
            workload=name,
            pending=self._pending[team],
            ahead=ahead,
            drained_per_second=self._find_scheduler(team).drain_rate.find(now),
            retry_after=retry_after,
        )
        raise exceptions.NotAccepted(
            f'the queue of {team} is full', _TOO_MANY_REQUESTS, retry_after
        )

    def _find_scheduler(self, team: str) -> retryafter.RetryScheduler:
        if team not in self._schedulers:
            self._schedulers[team] = retryafter.RetryScheduler(self._generator)
        return self._schedulers[team]
