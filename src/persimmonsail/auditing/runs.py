"""Where and when each attempt of a task ran, according to the logs."""

import collections
import dataclasses

from persimmonsail.auditing import evidence as evidence_module

_NOT_RUN = 'not-run'
_RUNNING = 'running'
_ABSENT = 'absent'
_NOT_IDEMPOTENT = 'no'
_WATCHER = 'watcher'
_NO_RUNS: list = []


@dataclasses.dataclass
class Run:
    """One start of an attempt, by one incarnation of a sidecar.

    Attributes
    ----------
    dispatch : Event
        The line written before the worker was asked to start the run.
    verdict : str
        The answer of the sidecar; empty if none was logged.
    earliest_expiry, latest_expiry : float
        The bounds of the time at which the lease expires and the worker
        stops the attempt by itself, unless it ended before.
    ended : Event or None
        The first line that confirms the end of the run.
    restarted : bool
        Whether another worker process was observed before the end.
    """

    dispatch: evidence_module.Event
    verdict: str = ''
    earliest_expiry: float = 0.0
    latest_expiry: float = 0.0
    ended: evidence_module.Event | None = None
    restarted: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the worker may have started the attempt.

        If the worker does not know the attempt, it never started it,
        unless the worker process has been replaced since the dispatch.
        """
        if self.verdict == _NOT_RUN:
            return False
        never_started = self.phase == _ABSENT and not self.restarted
        return self.verdict == _RUNNING or not never_started

    @property
    def phase(self) -> str:
        """The final phase reported by the worker; empty if unknown."""
        return self.ended.get('phase') if self.ended else ''

    @property
    def checkpoint(self) -> str:
        """The hash of the checkpoint that the attempt started from."""
        return self.dispatch.get('checkpoint')


def must_run_once(placement: evidence_module.Event) -> bool:
    """Whether a placed task must not be restarted from scratch.

    A watcher runs until it is cancelled, and is restarted by design.
    """
    watcher = placement.get('workload_class') == _WATCHER
    return placement.get('idempotent') == _NOT_IDEMPOTENT and not watcher


Runs = dict[str, dict[int, list[Run]]]


def collect(evidence: evidence_module.Evidence) -> Runs:
    """Return the runs of every task by attempt."""
    runs: Runs = collections.defaultdict(lambda: collections.defaultdict(list))
    by_key: dict[tuple[str, str, str], Run] = {}
    for event in evidence.select('task-dispatch'):
        lease = event.get_float('lease_seconds')
        run = Run(
            event,
            earliest_expiry=event.time + lease,
            latest_expiry=event.time + lease,
        )
        by_key[_get_key(event)] = run
        runs[event.get('task')][event.get_int('attempt')].append(run)
    for event in evidence.select('task-admission'):
        if run := by_key.get(_get_key(event)):
            _apply_admission(run, event)
    _apply_renewals(evidence, runs)
    boots = collections.defaultdict(list)
    for event in evidence.select('takeover'):
        boots[event.process].append(event)
    for event in evidence.select('task-ended'):
        for run in runs[event.get('task')][event.get_int('attempt')]:
            same_process = run.dispatch.process == event.process
            if run.ended is None and same_process:
                run.ended = event
                run.restarted = _find_last_boot(
                    boots, event.process, event.time
                ) != _find_last_boot(boots, event.process, run.dispatch.time)
    return runs


def _find_last_boot(boots: dict, process: str, time: float) -> str:
    """Return the boot of the last worker observed up to a time."""
    observed = [e for e in boots[process] if e.time <= time]
    return observed[-1].get('worker_boot') if observed else ''


def _get_key(event: evidence_module.Event) -> tuple[str, str, str]:
    return (
        event.get('task'),
        event.get('attempt'),
        event.get('incarnation'),
    )


def _apply_admission(run: Run, event: evidence_module.Event) -> None:
    run.verdict = event.get('verdict')
    lease = run.dispatch.get_float('lease_seconds')
    run.latest_expiry = max(run.latest_expiry, event.time + lease)


def _apply_renewals(evidence: evidence_module.Evidence, runs: Runs) -> None:
    for event in evidence.select('renewal'):
        if event.get('verdict') == 'refused':
            continue
        until = event.time + event.get_float('lease_seconds')
        for name in filter(None, event.get('tasks').split(',')):
            task, _, attempt = name.rpartition('/')
            for run in runs.get(task, {}).get(int(attempt), _NO_RUNS):
                if run.dispatch.process != event.process:
                    continue
                run.latest_expiry = max(run.latest_expiry, until)
                if event.get('verdict') == 'renewed':
                    duration = event.get_float('took')
                    run.earliest_expiry = max(
                        run.earliest_expiry, until - duration
                    )
