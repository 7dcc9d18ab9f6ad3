"""How an audit's time and memory grow with the evidence.

``make measure-audit``: writes logs of a growing number of quick requests
and tasks, audits each in a process of its own, and prints the slopes.
"""

import dataclasses
import pathlib
import subprocess
import sys
import tempfile

from tests import scenarios

_COPIES = (1000, 2000, 4000, 8000, 16000)
_STEP = 5.0
_FIRST = ('takeover', 'listening', 'catalogue', 'catalogue-accepted')
_FIRST_SECONDS = 2.0
_MEASURE = """
import resource, sys, time
from persimmonsail import cli
began = time.perf_counter()
code = cli.main(['audit', *sys.argv[1:]])
seconds = time.perf_counter() - began
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
print(code, seconds, peak)
"""


def write_logs(directory: pathlib.Path, copies: int) -> int:
    """Write a story's quick requests many times over.

    Returns
    -------
    int
        How many lines were written.
    """
    scenario = scenarios.make_scenario()
    repeated = [line for line in scenario.lines if 'request-' in line.format()]
    other = [line for line in scenario.lines if line not in repeated]
    paths = {}
    lines = 0
    first = -_STEP * copies
    for line in other:
        if line.event in _FIRST and line.time <= _FIRST_SECONDS:
            line.time += first
            paths.setdefault(line.process, []).append(line.format())
            lines += 1
    for number in range(copies):
        for line in repeated:
            copy = dataclasses.replace(line, time=line.time - number * _STEP)
            text = copy.format().replace('request-', f'request-{number}-')
            paths.setdefault(line.process, []).append(text)
            lines += 1
    for line in other:
        if line.event in _FIRST and line.time <= _FIRST_SECONDS:
            continue
        paths.setdefault(line.process, []).append(line.format())
        lines += 1
    for process, texts in paths.items():
        path = directory / f'{process}.log'
        path.write_text('\n'.join(texts) + '\n')
    return lines


def measure(copies: int) -> None:
    """Audit one size and print what it took."""
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as name:
        directory = pathlib.Path(name)
        lines = write_logs(directory, copies)
        files = sorted(map(str, directory.glob('*.log')))
        size = sum(pathlib.Path(f).stat().st_size for f in files) / 1e6
        result = subprocess.run(
            [sys.executable, '-c', _MEASURE, *files],
            capture_output=True,
            text=True,
            check=True,
        )
    code, seconds, peak = result.stdout.splitlines()[-1].split()
    print(
        f'lines={lines} megabytes={size:.1f} seconds={float(seconds):.2f} '
        f'peak_megabytes={float(peak):.0f} code={code}'
    )


def main() -> None:
    """Measure every size."""
    for copies in _COPIES:
        measure(copies)


if __name__ == '__main__':
    main()
