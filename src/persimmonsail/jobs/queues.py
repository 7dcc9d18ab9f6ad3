"""The operators' queues and services, as last read by a process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Queue:
    """A queue, to which callers submit jobs of one kind.

    Attributes
    ----------
    name : str
        The operators' name for it.
    host, prefix : str
        Requests to this host and path prefix are for this queue.
    service : str
        The service whose instances run its tasks.
    priority : int
        The priority of its jobs; 0 is the highest.
    max_attempts : int
        A job fails once one of its tasks has failed this many times.
    slack_factor : float
        A job's objective is this many times its critical path, and
        ``target_ms`` more.
    target_ms : int
        See ``slack_factor``.
    advised : bool
        Whether an external advisor has to name the instances that may
        run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    advised: bool = False

    def find_objective_ms(self, path_ms: float) -> float:
        """Return the objective of a job with this critical path."""
        return self.slack_factor * path_ms + self.target_ms


@dataclasses.dataclass(frozen=True)
class Service:
    """A pool of instances; one on standby is switched off."""

    name: str
    standby: bool = False


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of callers' requests."""

    body_bytes: int = 262144
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Increases with each change, not necessarily by 1.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda q: len(q.prefix), default=None)


class View:
    """The newest configuration that this process has received."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        # Queues by name, including removed ones, whose jobs continue.
        self.queues_by_name: dict[str, Queue] = {}

    def add(self, queue: Queue) -> None:
        """Add the queue of an accepted job unless it is present."""
        self.queues_by_name.setdefault(queue.name, queue)

    def update(self, configuration: Configuration) -> bool:
        """Apply a configuration unless a newer one is in force.

        A delayed answer may carry an old version, which would restore
        removed queues.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        self.current = configuration
        self.queues_by_name.update(
            (queue.name, queue) for queue in configuration.queues
        )
        return True
