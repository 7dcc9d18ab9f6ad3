"""A small complete run as synthetic log lines and ledger contents.

The run of ``make_scenario`` is clean: every invariant holds, and each has
cases. Tests cause a violation by changing, adding or dropping lines.
"""

import dataclasses
import pathlib
import typing as t

import anyio

from persimmonsail.auditing import audit
from persimmonsail.auditing import chain
from persimmonsail.auditing import evidence
from persimmonsail.auditing import verdicts
from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import records
from persimmonsail.catalogues import revisions
from persimmonsail import logs
from persimmonsail.sidecars import backends
from persimmonsail import store as store_module
from standins import memory

BUILD = '000-build'
WATCHER = '000-watcher'
QUICK = 'request-quick'
ONCE = 'request-once'
REFUSED = 'request-refused'
CHECKPOINT = '{"remaining": 1}'
ANSWER = '{"done": true}'
LEASE = 6.0
ONE = 'one-incarnation'
TWO = 'two-incarnation'


@dataclasses.dataclass
class Line:
    """One log line before it is written."""

    time: float
    process: str
    event: str
    fields: dict[str, t.Any]

    def format(self) -> str:
        """Return the line's text."""
        return logs.format_line(
            {
                'time': f'{self.time:.6f}',
                'level': 'info',
                'process': self.process,
                'event': self.event,
                **self.fields,
            }
        )


@dataclasses.dataclass
class Scenario:
    """The log lines of all processes, and the ledger keys of the store."""

    lines: list[Line] = dataclasses.field(default_factory=list)
    page: store_module.Page | None = None
    heads: list[revisions.Head] | None = None

    def add(
        self, time: float, process: str, event: str, **fields: t.Any
    ) -> Line:
        """Add the log line of one event."""
        line = Line(time, process, event, fields)
        self.lines.append(line)
        return line

    def find(self, event: str, **fields: t.Any) -> Line:
        """Return the only line of an event that has these fields."""
        found = [
            line
            for line in self.lines
            if line.event == event and fields.items() <= line.fields.items()
        ]
        assert len(found) == 1, (event, fields, found)
        return found[0]

    def drop(self, event: str, **fields: t.Any) -> Line:
        """Remove and return one line."""
        line = self.find(event, **fields)
        self.lines.remove(line)
        return line

    def write(self, directory: pathlib.Path) -> list[pathlib.Path]:
        """Write one log file per process."""
        texts: dict[str, list[str]] = {}
        for line in sorted(self.lines, key=lambda line: line.time):
            texts.setdefault(line.process, []).append(line.format() + '\n')
        paths = []
        for process, written in texts.items():
            path = directory / f'{process}.log'
            path.write_text(''.join(written))
            paths.append(path)
        return paths

    def check_invariants(
        self, directory: pathlib.Path
    ) -> dict[str, verdicts.Report]:
        """Audit the scenario; return the reports by invariant."""
        found = evidence.read_logs(self.write(directory))
        case = verdicts.Case(
            found, chain.rebuild(found, self.page), self.heads
        )
        reports = [audit.check_evidence(case), *verdicts.run_checks(case)]
        return {report.invariant: report for report in reports}


def make_scenario() -> Scenario:
    """Return a clean run of a build, a watcher, a job and quick requests."""
    scenario = Scenario()
    _add_catalogue(scenario)
    _add_quick(scenario)
    _add_ledger(scenario, make_batches())
    _add_build(scenario)
    _add_watcher(scenario)
    _add_job(scenario)
    _add_stops(scenario)
    return scenario


def _add_catalogue(scenario: Scenario) -> None:
    for process, incarnation in (('one', ONE), ('two', TWO)):
        scenario.add(
            0.5,
            process,
            'takeover',
            incarnation=incarnation,
            cores=16.0,
            memory_gb=64.0,
            accelerators=1,
        )
    scenario.add(0.6, 'entry', 'listening')
    scenario.heads = []
    for revision, time in ((1, 1.0), (2, 20.0)):
        identity = f'edit-{revision}'
        scenario.heads.append(revisions.Head(revision, identity, 'ann', ''))
        scenario.add(
            time,
            'catalogue',
            'catalogue-accepted',
            revision=revision,
            id=identity,
        )
        scenario.add(
            time + 0.2, 'entry', 'catalogue', revision=revision, id=identity
        )


def _add_quick(scenario: Scenario) -> None:
    _add_quick_request(scenario, 2.0, QUICK, True)
    _add_quick_answer(scenario, 2.0, QUICK)
    _add_quick_request(scenario, 3.0, ONCE, False)
    _add_quick_answer(scenario, 3.0, ONCE)
    _add_quick_request(scenario, 4.0, REFUSED, False)
    scenario.add(
        4.3,
        'one',
        'outcome',
        request=REFUSED,
        attempt=f'{REFUSED}-1',
        incarnation=ONE,
        verdict='not-run',
        reason=backends.NO_CONNECTION,
    )
    scenario.add(
        4.4, 'entry', 'refusal', request=REFUSED, status=503, work='not-run'
    )


def _add_quick_request(
    scenario: Scenario, time: float, request: str, idempotent: bool
) -> None:
    scenario.add(time, 'entry', 'request', request=request, name='check')
    scenario.add(
        time + 0.1,
        'entry',
        'routing',
        request=request,
        chosen='one',
        incarnation=ONE,
        revision=1,
    )
    add_dispatch(scenario, time + 0.2, request, idempotent)


def add_dispatch(
    scenario: Scenario,
    time: float,
    request: str,
    idempotent: bool,
    number: int = 1,
) -> Line:
    """Add the dispatch of one attempt of a quick request."""
    return scenario.add(
        time,
        'one',
        'dispatch',
        request=request,
        attempt=f'{request}-{number}',
        incarnation=ONE,
        idempotent=idempotent,
        revision=1,
        cores=1.0,
        memory_gb=1.0,
        accelerators=0,
    )


def _add_quick_answer(scenario: Scenario, time: float, request: str) -> None:
    answer = logs.digest(request.encode())
    attempt = f'{request}-1'
    scenario.add(
        time + 0.3,
        'one',
        'outcome',
        request=request,
        attempt=attempt,
        incarnation=ONE,
        verdict='answered',
        status=200,
        answer=answer,
    )
    scenario.add(
        time + 0.3,
        'one',
        'admission',
        request=request,
        attempt=attempt,
        revision=1,
        verdict='answered',
    )
    scenario.add(
        time + 0.4,
        'entry',
        'answer',
        request=request,
        status=200,
        answer=answer,
    )


def make_batches() -> list[tuple[float, tuple[records.Record, ...]]]:
    """Return the group commits of the scenario's tasks with their times."""
    finished = records.Finished(
        BUILD, 2, records.TaskPhase.SUCCEEDED, ANSWER, 'done'
    )
    return [
        (
            5.0,
            (
                records.Submitted(BUILD, 'build', 'team', '{}', 1),
                records.Submitted(WATCHER, 'watcher', 'team', '{}', 1),
            ),
        ),
        (
            5.1,
            (
                records.Claimed(BUILD, 1, 'one'),
                records.Claimed(WATCHER, 1, 'one'),
            ),
        ),
        (7.0, (records.Released(BUILD, 1, 'evicted', CHECKPOINT),)),
        (7.1, (records.Claimed(BUILD, 2, 'two'),)),
        (9.0, (finished,)),
        (15.0, (records.Released(WATCHER, 1, 'lease over'),)),
        (15.1, (records.Claimed(WATCHER, 2, 'two'),)),
        (18.0, (records.CancelAsked(WATCHER),)),
        (
            18.5,
            (
                records.Finished(
                    WATCHER, 2, records.TaskPhase.CANCELLED, '', 'cancelled'
                ),
            ),
        ),
    ]


def replace_ledger(
    scenario: Scenario, batches: list[tuple[float, tuple[records.Record, ...]]]
) -> None:
    """Replace the ledger commits in store and logs."""
    scenario.lines = [
        li for li in scenario.lines if li.event != 'ledger-commit'
    ]
    _add_ledger(scenario, batches)


def _add_ledger(
    scenario: Scenario, batches: list[tuple[float, tuple[records.Record, ...]]]
) -> None:
    commits = [items for _, items in batches]
    scenario.page = anyio.run(_write_ledger, commits)
    times = [1.5, *(time for time, _ in batches)]
    for time, item in zip(times, scenario.page.items, strict=True):
        batch = records.load_batch(item.value)
        scenario.add(
            time,
            'entry',
            'ledger-commit',
            partition=0,
            position=batch.position,
            hash=records.hash_text(item.value),
            batch=item.value,
        )


async def _write_ledger(
    commits: list[tuple[records.Record, ...]],
) -> store_module.Page:
    store = memory.MemoryStore()
    writer = ledger.Ledger(store, 0)
    await writer.take_over('entry')
    for items in commits:
        await writer.append(items)
    return await store.scan(chain.PREFIX)


def start_task(
    scenario: Scenario,
    time: float,
    task: str,
    attempt: int,
    instance: str,
    **fields: t.Any,
) -> Line:
    """Add the placement and start of a task on an instance."""
    incarnation = {'one': ONE, 'two': TWO}[instance]
    common = {'task': task, 'attempt': attempt, 'incarnation': incarnation}
    scenario.add(
        time,
        'entry',
        'placement',
        chosen=instance,
        revision=1,
        workload_class='watcher' if task == WATCHER else 'batch',
        idempotent=False,
        **common,
    )
    dispatch = scenario.add(
        time + 0.05,
        instance,
        'task-dispatch',
        partition=0,
        epoch=1,
        lease_seconds=LEASE,
        cores=8.0,
        memory_gb=16.0,
        accelerators=0,
        **{'checkpoint': '', **common, **fields},
    )
    scenario.add(
        time + 0.1, instance, 'task-admission', verdict='running', **common
    )
    return dispatch


def end_task(
    scenario: Scenario,
    time: float,
    task: str,
    attempt: int,
    instance: str,
    phase: str,
    checkpoint: str = '',
) -> Line:
    """Add the sidecar's line about the end of an attempt."""
    return scenario.add(
        time,
        instance,
        'task-ended',
        task=task,
        attempt=attempt,
        incarnation={'one': ONE, 'two': TWO}[instance],
        phase=phase,
        checkpoint=checkpoint,
    )


def _add_build(scenario: Scenario) -> None:
    checkpoint = logs.digest(CHECKPOINT.encode())
    scenario.add(4.9, 'entry', 'request', request='submit', name='build')
    scenario.add(
        5.0,
        'entry',
        'task-answer',
        request='submit',
        task=BUILD,
        phase='pending',
        answer='',
    )
    start_task(scenario, 5.2, BUILD, 1, 'one')
    end_task(scenario, 6.9, BUILD, 1, 'one', 'evicted', checkpoint)
    start_task(scenario, 7.2, BUILD, 2, 'two', checkpoint=checkpoint)
    end_task(scenario, 8.9, BUILD, 2, 'two', 'succeeded')
    scenario.add(
        9.1,
        'entry',
        'task-answer',
        request='',
        task=BUILD,
        phase='succeeded',
        answer=logs.digest(ANSWER.encode()),
    )


def _add_watcher(scenario: Scenario) -> None:
    start_task(scenario, 5.2, WATCHER, 1, 'one')
    scenario.add(
        7.0,
        'one',
        'renewal',
        partition=0,
        incarnation=ONE,
        lease_seconds=LEASE,
        verdict='renewed',
        took=0.01,
        tasks=f'{WATCHER}/1',
    )
    start_task(scenario, 15.2, WATCHER, 2, 'two')
    end_task(scenario, 18.4, WATCHER, 2, 'two', 'stopped')


def _add_stops(scenario: Scenario) -> None:
    for process, time, incarnation in (
        ('one', 10.0, ONE),
        ('two', 30.0, TWO),
    ):
        scenario.add(time, process, 'stopping', incarnation=incarnation)
        scenario.add(time + 1.0, process, 'stopped', incarnation=incarnation)
    scenario.add(40.0, 'entry', 'stopping')
    scenario.add(41.0, 'entry', 'stopped')


def _add_job(scenario: Scenario) -> None:
    """Add a job of two tasks, one of which fails once."""
    for time, index, run, how in (
        (30.0, 0, 1, 'done'),
        (30.1, 1, 1, 'failed'),
        (32.0, 1, 2, 'done'),
    ):
        run_job_task(scenario, time, f'job-1.0.0.{index}', run, how)
    scenario.add(34.0, 'entry', 'job-phase', job='job-1', phase='complete')
    scenario.add(
        33.0,
        'entry',
        'job-call',
        call='submit',
        job='job-4',
        outcome='rejected',
    )
    run_job_task(scenario, 34.0, 'job-3.0.0.0', 1, 'stopped')
    scenario.add(
        34.5,
        'entry',
        'job-call',
        call='cancel',
        job='job-3',
        outcome='accepted',
    )


def run_job_task(
    scenario: Scenario,
    time: float,
    task: str,
    run: int,
    how: str,
    **more: t.Any,
) -> None:
    """Add one run of a job's task, from its placement to its end."""
    scenario.add(time, 'entry', 'placed', task=task, run=run, **more)
    scenario.add(time + 0.1, 'one', 'started', task=task, run=run)
    scenario.add(
        time + 1.0,
        'entry',
        'run-ended',
        task=task,
        run=run,
        how=how,
        used='yes',
        boot='boot-1',
        number=1,
    )
    scenario.add(
        time + 1.1, 'entry', 'ends-acknowledged', boot='boot-1', number=1
    )
