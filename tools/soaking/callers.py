"""Callers of a soak: they submit, poll and cancel jobs."""

import dataclasses
import random
import time
import typing as t

import anyio
import anyio.abc
import httpx

from standins import platform_deployment
from tools.soaking import site as site_module

_POLL_SECONDS = 0.25
_CALL_TIMEOUT_SECONDS = 4.0
_CRASHING_SHARE = 0.06
_GANG_SHARE = 0.2
# Share of the jobs that end by themselves that is cancelled, and the time
# from submission to cancellation.
_CANCELLED_SHARE = 0.2
_CANCEL_DELAY_SECONDS = (0.0, 1.5)
# Share of the jobs that need a label, or limit their tasks on an instance.
_CONSTRAINED_SHARE = 0.3
_MAX_PER_INSTANCE = (1, 3)
# What a crowd submits: an instance runs two of its tasks at a time.
_LARGE_BODY = platform_deployment.make_body(6, payload='400', cpu=4000)
_CROWD_INTERVAL_SECONDS = 0.12
_FINAL_STATES = ('complete', 'failed', 'canceled')


@dataclasses.dataclass
class Job:
    """A job as observed by its caller.

    Attributes
    ----------
    id : str
        Chosen by the caller.
    long_running : bool
        Whether its tasks run until it is cancelled.
    crashes_agent : bool
        Whether its first task crashes each worker's agent that starts it.
    gang : bool
        Whether its tasks are a gang.
    accepted, unknown, cancelled : bool
        Answers received: the job is accepted, it may be, and its
        cancellation is accepted.
    cancelled_at : float
        Time of the first final answer to a cancellation, in seconds
        since the epoch; 0 if there was none.
    states : list of str
        Observed states, without repetitions.
    violations : list of str
        Answers that violate a guarantee.
    """

    id: str
    long_running: bool
    crashes_agent: bool = False
    gang: bool = False
    accepted: bool = False
    unknown: bool = False
    cancelled: bool = False
    cancelled_at: float = 0.0
    states: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    def record_state(self, state: str) -> None:
        """Record an observed state; a final state must not change."""
        if self.states and self.states[-1] == state:
            return
        if self.ended:
            self.violations.append(
                f'state {self.states[-1]} changed to {state}'
            )
        self.states.append(state)

    @property
    def ended(self) -> bool:
        """Whether a final state was observed."""
        return bool(self.states) and self.states[-1] in _FINAL_STATES

    @property
    def settled(self) -> bool:
        """Whether no further answer is due."""
        return self.ended or not self.accepted


class Callers:
    """Submits jobs through all entries over keep-alive connections."""

    def __init__(
        self,
        site: site_module.Site,
        rng: random.Random,
        cancel_rng: random.Random | None = None,
        gang_rng: random.Random | None = None,
        constraint_rng: random.Random | None = None,
    ) -> None:
        self._site = site
        self._rng = rng
        # Separate, so that cancellations do not change a seed's submissions.
        self._cancel_rng = cancel_rng
        self._gang_rng = gang_rng
        self._constraint_rng = constraint_rng
        self.jobs: list[Job] = []
        self._group: anyio.abc.TaskGroup
        # Cleared by the trial to stop further submissions.
        self.submitting = True

    async def run(self) -> None:
        """Submit jobs until stopped, then wait for all of them."""
        async with anyio.create_task_group() as group:
            self._group = group
            number = 0
            while self.submitting:
                number += 1
                long_running = self._rng.random() < 0.15
                crashes_agent = self._rng.random() < _CRASHING_SHARE
                gang = not (long_running or crashes_agent) and (
                    self._draw_gang()
                )
                job = Job(f'{number:016x}', long_running, crashes_agent, gang)
                self.jobs.append(job)
                group.start_soon(self._follow, job)
                if not long_running and self._draw_cancel():
                    group.start_soon(self._cancel_after_delay, job)
                await anyio.sleep(self._rng.uniform(0.05, 0.5))

    async def crowd(self, rng: random.Random, size: int) -> None:
        """Submit many large jobs one after the other."""
        for _ in range(size):
            job = Job(f'{rng.getrandbits(64):016x}', long_running=False)
            self.jobs.append(job)
            self._group.start_soon(self._follow, job, _LARGE_BODY)
            await anyio.sleep(_CROWD_INTERVAL_SECONDS)

    async def _follow(self, job: Job, body: dict | None = None) -> None:
        if body is None:
            body = self._make_body(job)
            self._add_constraint(job, body)
        if not await self._submit(job, body):
            return
        while not job.ended:
            await anyio.sleep(_POLL_SECONDS)
            # A job that crashes its agents ends without a cancellation.
            long_running = job.long_running and not job.crashes_agent
            if long_running and not job.cancelled and job.states:
                await self._cancel(job)
            await self._poll(job)

    async def _submit(self, job: Job, body: dict) -> bool:
        # The caller may abandon a refused job, but not one that may have
        # been accepted.
        for _ in range(40):
            status = await self._send('POST', job, body)
            if status == 200:
                job.accepted = True
                return True
            if status == 410:
                # Its cancellation arrived first.
                return False
            if status != 503:
                job.unknown = True
            elif not job.unknown and self._rng.random() < 0.05:
                return False
            await anyio.sleep(_POLL_SECONDS)
        return job.unknown

    def _make_body(self, job: Job) -> dict:
        crash_directive = 'crash=0.0.0 ' if job.crashes_agent else ''
        if job.long_running:
            return platform_deployment.make_body(
                2, payload=f'{crash_directive}lasts', longRunning=True
            )
        counts = [self._rng.randrange(1, 4) for _ in range(2)]
        payload = str(self._rng.randrange(30, 900))
        if job.gang:
            return platform_deployment.make_body(
                1 + sum(counts), payload=payload, gang=True
            )
        return platform_deployment.make_body(
            *counts, payload=crash_directive + payload
        )

    def _add_constraint(self, job: Job, body: dict) -> None:
        """Limit on which instances, or how often on one, a job's tasks run."""
        rng = self._constraint_rng
        if rng is None or rng.random() >= _CONSTRAINED_SHARE:
            return
        constraint: dict[str, t.Any] = {'selector': 'a'}
        # All members of a gang have to fit at the same time.
        if not job.gang and rng.random() < 0.5:
            constraint = {'maxPerServer': rng.randint(*_MAX_PER_INSTANCE)}
        for phase in body['phases']:
            phase.update(constraint)

    def _draw_gang(self) -> bool:
        if self._gang_rng is None:
            return False
        return self._gang_rng.random() < _GANG_SHARE

    def _draw_cancel(self) -> bool:
        if self._cancel_rng is None:
            return False
        return self._cancel_rng.random() < _CANCELLED_SHARE

    async def _cancel_after_delay(self, job: Job) -> None:
        """Cancel a job, whether or not its acceptance is confirmed."""
        await anyio.sleep(self._cancel_rng.uniform(*_CANCEL_DELAY_SECONDS))
        while not job.cancelled_at and not job.ended:
            await self._cancel(job)
            await anyio.sleep(_POLL_SECONDS)

    async def _cancel(self, job: Job) -> None:
        status = await self._send('DELETE', job)
        job.cancelled |= status == 200
        if status in (200, 410) and not job.cancelled_at:
            job.cancelled_at = time.time()

    async def _poll(self, job: Job) -> None:
        answer = await self._request('GET', job)
        if answer is None or answer.status_code == 503:
            return
        if answer.status_code == 410:
            if job.accepted:
                job.violations.append('accepted job was not found')
            return
        job.record_state(answer.json()['state'])

    async def _send(self, method: str, job: Job, body: t.Any = None) -> int:
        answer = await self._request(method, job, body)
        return answer.status_code if answer is not None else 0

    async def _request(
        self, method: str, job: Job, body: t.Any = None
    ) -> httpx.Response | None:
        entry = self._rng.choice(sorted(self._site.entries))
        with anyio.move_on_after(_CALL_TIMEOUT_SECONDS):
            try:
                return await self._site.call(entry, method, job.id, body)
            except httpx.HTTPError:
                # A broken connection gives no information about the job.
                return None
        return None
