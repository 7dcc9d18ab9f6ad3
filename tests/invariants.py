"""Invariants, checked against the stand-ins' records alone."""

import collections
import typing as t

WATCHER = 'watcher'
BUILD = 'build'
PAUSED = 'paused'
CONTINUED = 'continued'
_STARTS = ('started', CONTINUED)
_ENDS = ('succeeded', 'failed', 'evicted', 'stopped', 'died', PAUSED)


class Broken(AssertionError):
    """An invariant does not hold."""


def find_runs(records: t.Mapping[str, list[dict]]) -> list[dict]:
    """Return each interval in which a task ran, and how it ended.

    A worker that is paused, as by SIGSTOP, runs nothing meanwhile; what
    continues when it resumes is an interval of its own.
    """
    runs = []
    for instance, record in records.items():
        latest: dict[tuple[str, int], dict] = {}
        for event in record:
            key = (event['task'], event['attempt'])
            if event['event'] in _STARTS:
                latest[key] = _begin_run(instance, event, latest.get(key))
                runs.append(latest[key])
            elif event['event'] in _ENDS and key in latest:
                _end_run(latest[key], event)
    return sorted(runs, key=lambda run: run['start'])


def _begin_run(instance: str, event: dict, previous: dict | None) -> dict:
    return {
        'instance': instance,
        'task': event['task'],
        'attempt': event['attempt'],
        'workload': previous['workload'] if previous else event['workload'],
        'start': event['at'],
        'end': float('inf'),
        'how': 'active',
    }


def _end_run(run: dict, event: dict) -> None:
    if run['how'] == 'active':
        run.update(end=event['at'], how=event['event'])
    elif run['how'] == PAUSED:
        run['how'] = event['event']


def check_single_place(runs: list[dict]) -> None:
    """I2: no task is active twice at the same time."""
    for task, found in _group_by_task(runs).items():
        for earlier, later in zip(found, found[1:], strict=False):
            if later['start'] < earlier['end']:
                raise Broken(f'I2: {task} is active twice: {earlier} {later}')


def check_resumed_once(runs: list[dict], builds: t.Collection[str]) -> None:
    """I3, I6: a build runs again only after an eviction."""
    for task, found in _group_by_task(runs).items():
        if task not in builds:
            continue
        for earlier, later in zip(found, found[1:], strict=False):
            same_attempt = earlier['attempt'] == later['attempt']
            if earlier['how'] != 'evicted' and not same_attempt:
                raise Broken(f'I6: {task} ran again: {earlier} {later}')


def check_not_run(names: t.Collection[str], ran: t.Collection[str]) -> None:
    """I5: work that was refused as not run is in no record."""
    if executed := set(names) & set(ran):
        raise Broken(f'I5: refused as not run, but ran: {sorted(executed)}')


def check_capacity(runs: list[dict], sizes: dict[str, float], cores: float):
    """I1: no instance has more cores committed than its capacity."""
    changes = collections.defaultdict(list)
    for run in runs:
        size = sizes[run['workload']]
        changes[run['instance']].append((run['start'], 1, size))
        changes[run['instance']].append((run['end'], 0, -size))
    for instance, found in changes.items():
        total = 0.0
        for at, _, size in sorted(found):
            total += size
            if total > cores:
                raise Broken(f'I1: {instance} commits {total} cores at {at}')


def _group_by_task(runs: list[dict]) -> dict[str, list[dict]]:
    grouped = collections.defaultdict(list)
    for run in runs:
        grouped[run['task']].append(run)
    return grouped
