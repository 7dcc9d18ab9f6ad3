"""The interface of a sidecar to its instance's worker's agent."""

import abc
import dataclasses

from persimmonsail.jobs import specification


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A heartbeat of the worker's agent, about once a second.

    Attributes
    ----------
    boot : str
        The agent's incarnation; runs of an earlier one have ended.
    sequence : int
        Rises with each heartbeat of a boot.
    service, rack, labels, capacity
        The instance's properties.
    leaving : bool
        Whether it is draining and accepts no new work.
    remaining_seconds : float
        Minimum time that a leaving one remains.
    clock_ms : int
        The agent's clock at sending; 0 if not given.
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
    """One run that the agent is running, with its latest gauges."""

    task: str
    run: int
    checkpoint: str = ''
    percent: float = 0.0
    gauge: float = 0.0


@dataclasses.dataclass(frozen=True)
class EndedRow:
    """One ended run that is not acknowledged yet."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A snapshot of the agent.

    Attributes
    ----------
    clock_ms : int
        The agent's monotonic clock.
    running : tuple of RunningRow
        All runs that are running.
    ended : tuple of EndedRow
        Ended runs that are not discarded, the earliest first.
    truncated : bool
        Whether later ends may be missing from ``ended``.
    """

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    truncated: bool = False


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """The parameters of a start."""

    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int
    # The placement advisor's permit; empty where none is needed.
    ticket: str = ''


class Worker(abc.ABC):
    """The agent of one instance's worker.

    Each call carries the boot that it is intended for and the leader's
    epoch, and raises

    - ``WorkerBootChanged`` if another boot answers,
    - ``OrderRefused`` if the agent did nothing, with its reason,
    - ``WorkerUnavailable`` if no answer came; the order may still be
      executed, even seconds later.
    """

    @abc.abstractmethod
    async def start(self, boot: str, epoch: int, order: StartOrder) -> int:
        """Start a run if it is not running; return the agent's clock."""

    @abc.abstractmethod
    async def stop(self, boot: str, epoch: int, task: str, run: int) -> None:
        """Stop a run, or bar a later start of it if it is absent."""

    @abc.abstractmethod
    async def set_speed_limit(
        self, boot: str, epoch: int, task: str, run: int, percent: int
    ) -> None:
        """Set the speed limit of a run."""

    @abc.abstractmethod
    async def poll(
        self,
        boot: str,
        epoch: int,
        acknowledged: int,
        until_ms: int | None = None,
        wait_seconds: float = 0.0,
    ) -> Snapshot:
        """Return the running and ended runs.

        Parameters
        ----------
        boot, epoch
            See the class.
        acknowledged : int
            Ends up to this number are discarded.
        until_ms : int, optional
            Extends the lease of all runs to this time of the agent's
            clock.
        wait_seconds : float
            How long to wait for another run to end.
        """
