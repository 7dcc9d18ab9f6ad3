"""Which instances may run a step, where only an advisor knows.

Load pattern: each question takes the advisor a while, and longer the more
instances it names, and it answers one after the other; a fleet has far
more pairs of steps and instances than can be asked about. So only what
would be placed now is asked for, the most urgent first, and of the
instances only those with room, a batch at a time. An answer holds as long
as the step exists; the ticket that comes with a yes runs out, and is asked
for again when the step needs it.
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

# Callers' objectives allow for one question about so many instances.
MOST_ASKED = 30
# A ticket that runs out sooner is not used: the claim of a run has to be
# committed and its order has to arrive first, 50 ms in most cases and
# 0.3 s with the store at its slowest.
_MARGIN_SECONDS = 0.4
_RETRY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class _Ticket:
    text: str
    until: float


class Approvals:
    """The advisor's answers, and what it has to be asked next."""

    def __init__(self) -> None:
        # By step: the boots that an answer was given for.
        self._answered: dict[str, set[str]] = {}
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        # In the order of urgency of the last round.
        self._wanted: dict[str, advisor_module.Question] = {}
        self._changed = anyio.Event()

    def begin_round(self) -> None:
        """Drop what an earlier round wanted to know."""
        self._wanted.clear()

    def find_tickets(self, step: str, now: float) -> dict[str, str]:
        """Return the tickets of a step that can be used now, by boot."""
        tickets = self._tickets.get(step, {})
        return {
            boot: ticket.text
            for boot, ticket in tickets.items()
            if ticket.until > now + _MARGIN_SECONDS
        }

    def want(
        self,
        task: job_module.Task,
        fleet: t.Iterable[instances.Instance],
        service: str,
        now: float,
    ) -> None:
        """Note that a task found no place among the approved instances."""
        step = task.step_name
        answered = self._answered.get(step, set())
        denied = answered - self._tickets.get(step, {}).keys()
        known = denied | self.find_tickets(step, now).keys()
        useful = [
            instance
            for instance in placement.list_fitting(task, fleet, service, now)
            if instance.boot not in known
        ]
        if not useful:
            return
        useful.sort(key=lambda i: i.free.millicores, reverse=True)
        boots = tuple(instance.boot for instance in useful[:MOST_ASKED])
        self._wanted[step] = advisor_module.Question(step, boots)
        self._changed.set()

    async def wait_question(self) -> advisor_module.Question:
        """Return what to ask next, once there is something."""
        while not self._wanted:
            self._changed = anyio.Event()
            await self._changed.wait()
        return self._wanted.pop(next(iter(self._wanted)))

    def note(
        self,
        question: advisor_module.Question,
        answer: advisor_module.Answer,
        now: float,
    ) -> None:
        """Take an answer in."""
        answered = self._answered.setdefault(question.step, set())
        answered.update(question.boots)
        tickets = self._tickets.setdefault(question.step, {})
        until = now + answer.valid_seconds
        for boot, text in answer.tickets.items():
            tickets[boot] = _Ticket(text, until)

    def drop_ticket(self, step: str, boot: str) -> None:
        """Use a ticket no more that an instance has refused."""
        if self._tickets.get(step, {}).pop(boot, None) is not None:
            self._answered[step].discard(boot)

    def forget(self, job: str) -> None:
        """Drop all answers about an ended job."""
        for kept in (self._answered, self._tickets, self._wanted):
            for step in [s for s in kept if s.partition('.')[0] == job]:
                del kept[step]


async def keep_asking(
    advisor: advisor_module.Advisor,
    approvals: Approvals,
    on_answer: t.Callable[[], None],
) -> None:
    """Ask one question after the other, until cancelled.

    The advisor answers each caller in turn, so a second question at the
    same time would only wait there, and might no longer be wanted.
    """
    while True:
        question = await approvals.wait_question()
        begun = clock.read()
        try:
            answer = await advisor.ask(question)
        except exceptions.AdvisorUnavailable as error:
            logs.write_event('advice-unheard', step=question.step, error=error)
            await anyio.sleep(_RETRY_SECONDS)
            continue
        now = clock.read()
        approvals.note(question, answer, now)
        logs.write_event(
            'advice',
            step=question.step,
            asked=len(question.boots),
            approved=len(answer.tickets),
            valid_seconds=answer.valid_seconds,
            seconds=now - begun,
        )
        on_answer()
