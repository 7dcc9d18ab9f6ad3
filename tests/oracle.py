"""Compares the stand-ins' records with the audit's verdicts.

The audit reads the system's own logs and ledger. Workers' and backend
servers' records are independent of both, so a fault that the system
does not log is still found.
"""

import collections
import itertools
import typing as t

from persimmonsail import exits
from standins import deployment
from tests import base

# The evidence itself, I1 to I9, J1 to J4. Compared with the number of
# verdicts, as a check that the audit leaves out would go unnoticed.
_CHECK_COUNT = 14
_ENDS = frozenset({'succeeded', 'failed', 'evicted', 'stopped'})


class StandInRecords:
    """The records of one deployment's stand-ins."""

    def __init__(
        self,
        running: deployment.Deployment,
        workers: t.Sequence[str] = (),
        backends: t.Sequence[str] = (),
    ) -> None:
        self._running = running
        self._workers = workers
        self._backends = backends

    async def find_overlaps(self) -> list[str]:
        """Return the tasks with two attempts that ran simultaneously."""
        spans: dict[str, list[tuple[float, float]]] = collections.defaultdict(
            list
        )
        for address in self._workers:
            open_spans: dict[tuple[str, int], float] = {}
            for event in await self._read_record(address):
                key = (event['task'], event['attempt'])
                if event['event'] == 'started':
                    open_spans[key] = event['at']
                elif event['event'] in _ENDS and key in open_spans:
                    start = open_spans.pop(key)
                    spans[event['task']].append((start, event['at']))
            for (task, _), start in open_spans.items():
                spans[task].append((start, float('inf')))
        return sorted(
            task
            for task, found in spans.items()
            if any(_overlap(a, b) for a, b in itertools.combinations(found, 2))
        )

    async def count_runs(self) -> collections.Counter[str]:
        """Return how often backend servers ran each request."""
        return collections.Counter(
            [
                event['request']
                for address in self._backends
                for event in await self._read_record(address)
            ]
        )

    async def _read_record(self, address: str) -> list[dict]:
        answer = await self._running.client.get(f'http://{address}/record')
        return answer.json()


def _overlap(one: tuple[float, float], other: tuple[float, float]) -> bool:
    return max(one[0], other[0]) < min(one[1], other[1])


async def find_violations(running: deployment.Deployment) -> list[str]:
    """Return the audit's violations while the processes still run.

    A test may leave the store down or slow; the audit then runs without.
    """
    files = [str(path) for path in running.system_log_files]
    code, output = await running.run_command(
        'audit', '--store', running.store, *files
    )
    if code == exits.UNAVAILABLE:
        _, output = await running.run_command('audit', *files)
    found = [
        line for line in output.splitlines() if line.startswith('violation=')
    ]
    return found if 'check=I9' in output else [output]


async def check_evidence(
    case: base.TestCase,
    running: deployment.Deployment,
    workers: t.Sequence[str] = (),
    backends: t.Sequence[str] = (),
    at_most_once: t.Iterable[str] = (),
    refused: t.Iterable[str] = (),
    open_checks: t.Iterable[str] = (),
) -> dict[str, str]:
    """Check the audit and the stand-ins' records at the end of a test.

    Parameters
    ----------
    case : TestCase
        The test, which fails on any contradiction or missing verdict.
    running : Deployment
        The deployment; its system processes may have ended.
    workers, backends : sequence of str
        The addresses of the stand-ins whose records count.
    at_most_once : iterable of str
        Requests that may have run once at most.
    refused : iterable of str
        Requests that were answered as not run.
    open_checks : iterable of str
        Checks that this test's faults may leave ``not-shown``; every
        other one must be ``held``.

    Returns
    -------
    dict
        The verdict of each check.
    """
    files = [str(path) for path in running.system_log_files]
    code, output = await running.run_command(
        'audit', '--store', running.store, *files
    )
    verdicts = dict(_read_verdicts(output))
    allowed = {'held', 'not-shown'}
    for check, verdict in verdicts.items():
        expected = allowed if check in set(open_checks) else {'held'}
        case.assertIn(verdict, expected, f'{check}: {output}')
    case.assertEqual(_CHECK_COUNT, len(verdicts), output)
    case.assertIn(code, (exits.OK, exits.EVIDENCE), output)
    records = StandInRecords(running, workers, backends)
    case.assertEqual([], await records.find_overlaps())
    runs = await records.count_runs()
    case.assertEqual([], [r for r in at_most_once if runs[r] > 1])
    case.assertEqual([], [r for r in refused if runs[r]])
    return verdicts


def _read_verdicts(output: str) -> t.Iterator[tuple[str, str]]:
    for line in output.splitlines():
        if line.startswith('check='):
            check, verdict = line.split()[:2]
            yield check.partition('=')[2], verdict.partition('=')[2]
