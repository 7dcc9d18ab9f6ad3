"""The interface of an external placement advisor."""

import abc
import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True)
class Answer:
    """The advisor's answer about one step.

    Attributes
    ----------
    permits : mapping of str to str
        The permit that a start has to carry, by the boot of each instance that
        may run the step.
    valid_seconds : float
        How long these permits are accepted.
    """

    permits: t.Mapping[str, str]
    valid_seconds: float


@dataclasses.dataclass(frozen=True)
class Question:
    """A step, and the boots of the instances asked about."""

    step: str
    boots: tuple[str, ...]


class Advisor(abc.ABC):
    """Decides which instances may run a step."""

    @abc.abstractmethod
    async def ask(self, question: Question) -> Answer:
        """Return which of these instances may run the step.

        Raises
        ------
        persimmonsail.exceptions.AdvisorUnavailable
            If it did not answer, or rejected the question as overloaded.
        """
