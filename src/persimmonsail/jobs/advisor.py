"""What an advisor is asked, and what it answers."""

import abc
import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True)
class Answer:
    """What the advisor says about one step.

    Attributes
    ----------
    tickets : mapping of str to str
        What a start has to carry, by the boot of each instance that may
        run the step.
    valid_seconds : float
        How long these tickets are accepted.
    """

    tickets: t.Mapping[str, str]
    valid_seconds: float


@dataclasses.dataclass(frozen=True)
class Question:
    """A step, and the boots of instances that may or may not run it."""

    step: str
    boots: tuple[str, ...]


class Advisor(abc.ABC):
    """Knows which instances may run a step."""

    @abc.abstractmethod
    async def ask(self, question: Question) -> Answer:
        """Return which of these instances may run the step.

        Raises
        ------
        persimmonsail.exceptions.AdvisorUnavailable
            If it gave no answer, or was asked too much.
        """
