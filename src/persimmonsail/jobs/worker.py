"""What a sidecar asks of the worker's agent on its own instance."""

import abc
import dataclasses

from persimmonsail.jobs import specification


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """What the worker's agent says of itself, about once a second.

    Attributes
    ----------
    boot : str
        This life of the agent; what ran in an earlier one has ended.
    sequence : int
        Rises with each heartbeat of a boot.
    service, rack, labels, capacity
        What the instance is and has.
    leaving : bool
        Whether it takes no new work.
    remaining_seconds : float
        How long a leaving one stays at least.
    clock_ms : int
        The agent's clock when it was sent; 0 if it does not say.
    """

    boot: str
    sequence: int
    service: str
    rack: str = ''
    labels: tuple[str, ...] = ()
    capacity: specification.Size = specification.Size()
    leaving: bool = False
    remaining_seconds: float = 0.0
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True)
class RunningRow:
    """One run that the agent has, as it last looked."""

    task: str
    run: int
    checkpoint: str = ''
    percent: float = 0.0
    gauge: float = 0.0


@dataclasses.dataclass(frozen=True)
class EndedRow:
    """One run that has ended and was not acknowledged yet."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class Look:
    """All that the agent has; ``clock_ms`` is its own steady clock."""

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """What a start tells the agent."""

    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int
    # The advisor's permission; empty where none is needed.
    ticket: str = ''


class Worker(abc.ABC):
    """The agent of one instance's worker.

    Each call names the boot that it is meant for and the leader's epoch,
    and raises

    - ``WorkerBootChanged`` if another boot answers,
    - ``OrderRefused`` if the agent did nothing and says why,
    - ``WorkerUnavailable`` if no answer came; the order may be carried
      out now or seconds later.
    """

    @abc.abstractmethod
    async def start(self, boot: str, epoch: int, order: StartOrder) -> int:
        """Start a run, or find it there; return the agent's clock."""

    @abc.abstractmethod
    async def stop(self, boot: str, epoch: int, task: str, run: int) -> None:
        """Stop a run, and bar it if it is not there yet."""

    @abc.abstractmethod
    async def set_pace(
        self, boot: str, epoch: int, task: str, run: int, percent: int
    ) -> None:
        """Let a run work at this share of its speed."""

    @abc.abstractmethod
    async def look(
        self,
        boot: str,
        epoch: int,
        acknowledged: int,
        until_ms: int | None = None,
        wait_seconds: float = 0.0,
    ) -> Look:
        """Read what runs and what has ended.

        Parameters
        ----------
        boot, epoch
            See the class.
        acknowledged : int
            Ends up to this number are forgotten.
        until_ms : int, optional
            Extends the lease of all runs to this time of the agent's
            clock.
        wait_seconds : float
            How long to wait for a further end.
        """
