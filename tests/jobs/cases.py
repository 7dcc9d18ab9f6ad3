"""Builders of jobs, instances and reports for tests."""

import dataclasses

from persimmonsail.jobs import advice
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import mandate
from persimmonsail.jobs import queues
from persimmonsail.jobs import scheduling
from persimmonsail.jobs import specification
from persimmonsail.jobs import terms

ID = '00000000000000aa'
QUEUE = queues.Queue(
    name='builds',
    host='jobs',
    prefix='/builds/',
    service='planner',
    max_attempts=2,
    slack_factor=2.0,
    target_ms=1000,
)
ADVISED = dataclasses.replace(QUEUE, advised=True)
QUEUES = queues.Configuration(version=1, queues=(QUEUE,))


def make_step(count=1, **fields) -> specification.Step:
    """Return a step whose tasks need one core and 100 MiB by default."""
    fields.setdefault('size', specification.Size(1000, 100))
    return specification.Step(count=count, **fields)


def make_job(*steps, id=ID, accepted_ms=0) -> job_module.Job:
    """Return a new job."""
    return job_module.Job(
        id,
        QUEUE.name,
        accepted_ms,
        specification.Specification('payload', steps or (make_step(),)),
    )


def make_instance(address='10.0.0.1:7000', cores=64, **fields):
    """Return an attached instance without runs."""
    fields.setdefault('boot', 'boot-1')
    return instances.Instance(
        address,
        service=QUEUE.service,
        capacity=specification.Size(cores * 1000, 256000),
        attached=True,
        has_reported=True,
        **fields,
    )


def add_run(instance, step, task='00000000000000bb.0.0.0', **fields):
    """Add a running run to an instance."""
    fields.setdefault('phase', instances.RunPhase.RUNNING)
    fields.setdefault('observed_at', 1.0)
    run = instances.Run(
        task=task,
        number=1,
        boot=instance.boot,
        step=step,
        queue=QUEUE.name,
        **fields,
    )
    instance.add_run(run)
    return run


def make_report(instance, **fields) -> fleet_pb2.Report:
    """Return a report of an instance's current state."""
    size = instance.capacity
    report = fleet_pb2.Report(
        boot=instance.boot,
        service=instance.service,
        looked=True,
        seen=1 << 40,
        **fields,
    )
    report.capacity.millicores = size.millicores
    report.capacity.memory_mib = size.memory_mib
    return report


def make_mandate(
    ledger: ledger_module.Ledger, address='entry'
) -> mandate.Mandate:
    """Return the mandate of a leader without other entries."""
    return mandate.Mandate(ledger, address, terms.Terms(), None)


def plan(
    board,
    snapshot,
    fleet,
    now,
    wall_seconds,
    *,
    queue=QUEUE,
    model=None,
    approvals=None,
    round_interval=0.0,
):
    """Run one scheduling round; return its claims."""
    return scheduling.plan(
        board,
        snapshot,
        fleet,
        {queue.name: queue},
        {},
        model or interference.Model(),
        approvals or advice.Approvals(),
        now,
        wall_seconds,
        round_interval,
    )
