"""The specification of a job, as submitted by its caller."""

import dataclasses
import functools
import typing as t

import pydantic

from persimmonsail import exceptions

MAX_PAYLOAD_BYTES = 4000
# The state of all tasks, about 60 bytes each, has to fit into one value of
# the store.
MAX_TASKS = 5000
MAX_STEPS = 200


# Unknown fields are rejected: running the job without one could change what
# it means, which is worse than a clear error.
_FORBID_EXTRA = pydantic.ConfigDict(extra='forbid')


@pydantic.with_config(_FORBID_EXTRA)
@dataclasses.dataclass(frozen=True)
class Size:
    """The resources of a task or an instance.

    Attributes
    ----------
    millicores : int
        Processors, in thousandths of a core.
    memory_mib : int
        Memory, in MiB.
    accelerators : int
        Whole accelerators.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Size') -> 'Size':
        return Size(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Size') -> 'Size':
        return Size(
            self.millicores - other.millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits(self, free: 'Size') -> bool:
        """Tell whether this size fits into ``free``."""
        return (
            self.millicores <= free.millicores
            and self.memory_mib <= free.memory_mib
            and self.accelerators <= free.accelerators
        )


@pydantic.with_config(_FORBID_EXTRA)
@dataclasses.dataclass(frozen=True)
class Step:
    """Tasks of one kind, which may start once earlier steps are done.

    Attributes
    ----------
    count : int
        The number of tasks.
    size : Size
        The resources of each task.
    estimate_ms : int
        The caller's rough estimate of a task's duration.
    after : tuple of int
        Indices of earlier steps that must be done first, from 0.
    checkpoints : bool
        Whether a task saves its progress and can resume from it.
    gang : bool
        Whether the tasks only make progress while all of them run.
    same_rack : bool
        Whether a gang is slower on more than one rack.
    label : str
        A label that the instance must have; empty for any.
    data_rack : str
        The rack that holds the data; empty for none.
    most_per_instance : int
        Maximum number of the step's tasks per instance; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        The image that the tasks run; tasks of an image behave alike.
    latency_target_ms : int
        Upper limit for the tail latency of a serving task; 0 for none.
    best_effort_cpu : bool
        Whether the tasks only use processors that others leave unused.
    disruption_budget : int
        How many of its tasks the scheduler may disrupt at the same time;
        0 if the caller sets no budget.
    """

    count: int
    size: Size = Size()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    most_per_instance: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    latency_target_ms: int = 0
    best_effort_cpu: bool = False
    disruption_budget: int = 0

    @property
    def work_core_ms(self) -> float:
        """The estimated processor time of one task, in core-ms."""
        return self.size.millicores / 1000 * self.estimate_ms

    @functools.cached_property
    def committed(self) -> Size:
        """The part of an instance's capacity committed to a task."""
        if self.best_effort_cpu:
            return dataclasses.replace(self.size, millicores=0)
        return self.size


@pydantic.with_config(_FORBID_EXTRA)
@dataclasses.dataclass(frozen=True)
class Specification:
    """A job: its steps and its schedule.

    Attributes
    ----------
    payload : str
        Passed unchanged to every task.
    steps : tuple of Step
        The steps, in the order of submission.
    occurrences : int
        How many times the steps run; 0 for a job without a schedule.
    first_ms, interval_ms : int
        When the first occurrence is due, in milliseconds since the
        epoch, and the time between two of them.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_ms: int = 0
    interval_ms: int = 0

    @property
    def task_count(self) -> int:
        """The number of tasks over all occurrences."""
        per_occurrence = sum(step.count for step in self.steps)
        return per_occurrence * max(1, self.occurrences)

    def find_due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start; 0 without a schedule."""
        if not self.occurrences:
            return 0
        return self.first_ms + occurrence * self.interval_ms

    @functools.cached_property
    def critical_path_ms(self) -> int:
        """The estimated time of the longest chain of steps."""
        ends: list[int] = []
        for step in self.steps:
            start = max((ends[index] for index in step.after), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends, default=0)

    @functools.cached_property
    def work_core_ms(self) -> float:
        """The estimated processor time of all tasks, in core-ms."""
        return sum(step.count * step.work_core_ms for step in self.steps)


_ADAPTER = pydantic.TypeAdapter(Specification)


def decode_json(body: bytes) -> Specification:
    """Decode a submission in the native JSON format.

    Raises
    ------
    persimmonsail.exceptions.JobInvalid
        With every invalid field and its location.
    """
    try:
        return _ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.JobInvalid(describe_errors(error)) from error


def describe_errors(error: pydantic.ValidationError) -> str:
    """Return all errors of a body, each with its location."""
    return '; '.join(
        f'{_format_location(detail["loc"])}: {detail["msg"]}'
        for detail in error.errors(include_input=False, include_url=False)
    )


def _format_location(location: t.Iterable[t.Any]) -> str:
    return '.'.join(str(part) for part in location) or 'body'


def encode(specification: Specification) -> dict[str, t.Any]:
    """Return a specification as plain data, without defaults."""
    return _ADAPTER.dump_python(
        specification, mode='json', exclude_defaults=True
    )


def decode(data: t.Any) -> Specification:
    """Decode the output of ``encode``.

    Raises
    ------
    pydantic.ValidationError
        If the data is invalid.
    """
    return _ADAPTER.validate_python(data)


def check(specification: Specification) -> None:
    """Check a submission and raise one error with all findings.

    Raises
    ------
    persimmonsail.exceptions.JobInvalid
        With each finding and its location.
    """
    findings = [*_check_job(specification)]
    for index, step in enumerate(specification.steps):
        findings += [
            f'steps[{index}].{text}' for text in _check_step(index, step)
        ]
    if findings:
        raise exceptions.JobInvalid('; '.join(findings))


def _check_job(specification: Specification) -> t.Iterator[str]:
    if len(specification.payload.encode()) > MAX_PAYLOAD_BYTES:
        yield f'payload: more than {MAX_PAYLOAD_BYTES} bytes'
    if not 0 < len(specification.steps) <= MAX_STEPS:
        yield f'steps: not between 1 and {MAX_STEPS}'
    if specification.occurrences < 0:
        yield 'occurrences: below 0'
    if specification.first_ms < 0:
        yield 'first_ms: below 0'
    if specification.interval_ms < 0:
        yield 'interval_ms: below 0'
    if specification.task_count > MAX_TASKS:
        yield f'steps: more than {MAX_TASKS} tasks together'


def _check_step(index: int, step: Step) -> t.Iterator[str]:
    if step.count < 1:
        yield 'count: below 1'
    for name, value in (
        ('millicores', step.size.millicores),
        ('memory_mib', step.size.memory_mib),
        ('accelerators', step.size.accelerators),
        ('estimate_ms', step.estimate_ms),
        ('most_per_instance', step.most_per_instance),
        ('latency_target_ms', step.latency_target_ms),
        ('disruption_budget', step.disruption_budget),
    ):
        if value < 0:
            yield f'{name}: below 0'
    # Only earlier steps may be referenced, which rules out cycles.
    for earlier in step.after:
        if not 0 <= earlier < index:
            yield f'after: {earlier} is no earlier step'
