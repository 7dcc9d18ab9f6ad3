"""Approvals of an external placement advisor.

Load pattern: each question takes the advisor some time, longer the more
instances it names, and questions are answered one after another. A fleet has
far more pairs of steps and instances than can be asked about. Only steps that
would be placed now are asked about, the most urgent first, and only instances
with free capacity, in batches. An answer is valid as long as the step exists.
The permit that comes with an approval expires, and is requested again when the
step needs it.
"""

import dataclasses
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import advisor as advisor_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placement
from persimmonsail import logs

# Callers' objectives allow for one question about this many instances.
MAX_INSTANCES_ASKED = 30
# A permit that expires sooner is not used: the claim of a run has to be
# committed and its order has to arrive first, which takes 50 ms in most cases
# and 0.3 s with a slow store.
_MIN_VALIDITY_SECONDS = 0.4
_RETRY_DELAY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class _Permit:
    text: str
    expires_at: float


class Approvals:
    """The advisor's answers and the pending questions."""

    def __init__(self) -> None:
        # Boots with an answer, by step.
        self._answered: dict[str, set[str]] = {}
        self._permits: dict[str, dict[str, _Permit]] = {}
        # By step, in the order of urgency of the last round.
        self._questions: dict[str, advisor_module.Question] = {}
        self._changed = anyio.Event()

    def begin_round(self) -> None:
        """Drop the questions of an earlier round."""
        self._questions.clear()

    def find_permits(self, step: str, now: float) -> dict[str, str]:
        """Return the usable permits of a step, by boot."""
        permits = self._permits.get(step, {})
        return {
            boot: permit.text
            for boot, permit in permits.items()
            if permit.expires_at > now + _MIN_VALIDITY_SECONDS
        }

    def request(
        self,
        task: job_module.Task,
        fleet: t.Iterable[instances.Instance],
        service: str,
        now: float,
    ) -> None:
        """Queue a question for a task that no approved instance can hold."""
        step = task.step_name
        answered = self._answered.get(step, set())
        denied = answered - self._permits.get(step, {}).keys()
        known = denied | self.find_permits(step, now).keys()
        candidates = [
            instance
            for instance in placement.list_fitting(task, fleet, service, now)
            if instance.boot not in known
        ]
        if not candidates:
            return
        candidates.sort(key=lambda i: i.free.millicores, reverse=True)
        # Other tasks of the step may need other instances: each suspect has
        # its own.
        asked = self._questions.get(step)
        boots = dict.fromkeys(asked.boots if asked is not None else ())
        boots.update(dict.fromkeys(one.boot for one in candidates))
        self._questions[step] = advisor_module.Question(
            step, tuple(boots)[:MAX_INSTANCES_ASKED]
        )
        self._changed.set()

    async def wait_question(self) -> advisor_module.Question:
        """Return the next question, once there is one."""
        while not self._questions:
            self._changed = anyio.Event()
            await self._changed.wait()
        return self._questions.pop(next(iter(self._questions)))

    def note(
        self,
        question: advisor_module.Question,
        answer: advisor_module.Answer,
        now: float,
    ) -> None:
        """Record an answer."""
        answered = self._answered.setdefault(question.step, set())
        answered.update(question.boots)
        permits = self._permits.setdefault(question.step, {})
        expires_at = now + answer.valid_seconds
        for boot, text in answer.permits.items():
            permits[boot] = _Permit(text, expires_at)

    def drop_permit(self, step: str, boot: str) -> None:
        """Discard a permit that an instance has refused."""
        if self._permits.get(step, {}).pop(boot, None) is not None:
            self._answered[step].discard(boot)

    def forget(self, job: str) -> None:
        """Drop all answers and questions about an ended job."""
        for rows_by_step in (self._answered, self._permits, self._questions):
            for step in [
                s for s in rows_by_step if s.partition('.')[0] == job
            ]:
                del rows_by_step[step]


async def run_question_loop(
    advisor: advisor_module.Advisor,
    approvals: Approvals,
    on_answer: t.Callable[[], None],
) -> None:
    """Ask one question after the other, until cancelled.

    The advisor answers each caller's questions in sequence: a second
    concurrent question would only wait there, and might be obsolete by then.
    """
    while True:
        question = await approvals.wait_question()
        asked_at = clock.read()
        try:
            answer = await advisor.ask(question)
        except exceptions.AdvisorUnavailable as error:
            logs.write_event('advice-unheard', step=question.step, error=error)
            await anyio.sleep(_RETRY_DELAY_SECONDS)
            continue
        now = clock.read()
        approvals.note(question, answer, now)
        logs.write_event(
            'advice',
            step=question.step,
            asked=len(question.boots),
            approved=len(answer.permits),
            valid_seconds=answer.valid_seconds,
            seconds=now - asked_at,
        )
        on_answer()
