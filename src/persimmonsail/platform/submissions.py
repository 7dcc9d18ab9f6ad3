"""Decodes callers' jobs from the wire."""

import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import specification


class _WireModel(pydantic.BaseModel):
    # An unknown field may change a job's meaning; refusing the job is
    # better than running it without the field.
    model_config = pydantic.ConfigDict(extra='forbid')


class _Phase(_WireModel):
    # On the wire a job's steps are its phases.
    count: int = 0
    # Thousandths of a core.
    cpu: int = 0
    memory_mib: int = pydantic.Field(default=0, alias='memMb')
    accelerators: int = pydantic.Field(default=0, alias='gpu')
    estimate_ms: int = pydantic.Field(default=0, alias='estimateMs')
    after: tuple[int, ...] = ()
    checkpoints: bool = pydantic.Field(default=False, alias='checkpointing')
    gang: bool = False
    same_rack: bool = pydantic.Field(default=False, alias='sameRack')
    # The required label of the instance; selects nothing else.
    label: str = pydantic.Field(default='', alias='selector')
    # The rack of the data, not affinity to other tasks.
    data_rack: str = pydantic.Field(default='', alias='affinity')
    most_per_instance: int = pydantic.Field(default=0, alias='maxPerServer')
    speculative: bool = False
    long_running: bool = pydantic.Field(default=False, alias='longRunning')
    image: str = ''
    # For the tail latency, not for the job's own duration.
    latency_target_ms: int = pydantic.Field(default=0, alias='targetMs')
    # A flag despite its name: the step's processors are not committed.
    best_effort_cpu: bool = pydantic.Field(default=False, alias='fillCount')
    disruption_budget: int = pydantic.Field(
        default=0, alias='disruptionBudget'
    )

    def to_step(self) -> specification.Step:
        return specification.Step(
            count=self.count,
            size=specification.Size(
                self.cpu, self.memory_mib, self.accelerators
            ),
            estimate_ms=self.estimate_ms,
            after=self.after,
            checkpoints=self.checkpoints,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.label,
            data_rack=self.data_rack,
            most_per_instance=self.most_per_instance,
            speculative=self.speculative,
            long_running=self.long_running,
            image=self.image,
            latency_target_ms=self.latency_target_ms,
            best_effort_cpu=self.best_effort_cpu,
            disruption_budget=self.disruption_budget,
        )


class _Submission(_WireModel):
    # Opaque to the system: passed unchanged to every task.
    payload: str = pydantic.Field(default='', alias='spec')
    phases: tuple[_Phase, ...] = ()
    occurrences: int = pydantic.Field(default=0, alias='repeatCount')
    first_ms: int = pydantic.Field(default=0, alias='firstMs')
    interval_ms: int = pydantic.Field(default=0, alias='intervalMs')


def decode(body: bytes) -> specification.Specification:
    """Decode and check a submission.

    Raises
    ------
    persimmonsail.exceptions.JobInvalid
        With every wrong field and its path.
    """
    try:
        found = _Submission.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.JobInvalid(
            specification.describe_errors(error)
        ) from error
    decoded = specification.Specification(
        payload=found.payload,
        steps=tuple(phase.to_step() for phase in found.phases),
        occurrences=found.occurrences,
        first_ms=found.first_ms,
        interval_ms=found.interval_ms,
    )
    specification.check(decoded)
    return decoded
