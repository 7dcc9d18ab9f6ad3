"""Measures how an audit's time and memory grow with the evidence.

``make measure-audit``: writes logs of a growing number of quick requests
and tasks, audits each in a separate process, and prints its costs.
"""

import dataclasses
import pathlib
import subprocess
import sys
import tempfile

from tests import scenarios

_COPY_COUNTS = (1000, 2000, 4000, 8000, 16000)
_STEP_SECONDS = 5.0
_STARTUP_EVENTS = ('takeover', 'listening', 'catalogue', 'catalogue-accepted')
_STARTUP_SECONDS = 2.0
_MEASURE_SCRIPT = """
import resource, sys, time
from persimmonsail import cli
began = time.perf_counter()
code = cli.main(['audit', *sys.argv[1:]])
seconds = time.perf_counter() - began
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
print(code, seconds, peak)
"""


def write_logs(directory: pathlib.Path, copies: int) -> int:
    """Write logs in which a scenario's quick requests are repeated.

    Returns
    -------
    int
        Number of lines written.
    """
    scenario = scenarios.make_scenario()
    repeated_lines = [
        line for line in scenario.lines if 'request-' in line.format()
    ]
    other_lines = [
        line for line in scenario.lines if line not in repeated_lines
    ]
    lines_by_process = {}
    lines = 0
    start_time = -_STEP_SECONDS * copies
    for line in other_lines:
        if line.event in _STARTUP_EVENTS and line.time <= _STARTUP_SECONDS:
            line.time += start_time
            lines_by_process.setdefault(line.process, []).append(line.format())
            lines += 1
    for number in range(copies):
        for line in repeated_lines:
            copy = dataclasses.replace(
                line, time=line.time - number * _STEP_SECONDS
            )
            text = copy.format().replace('request-', f'request-{number}-')
            lines_by_process.setdefault(line.process, []).append(text)
            lines += 1
    for line in other_lines:
        if line.event in _STARTUP_EVENTS and line.time <= _STARTUP_SECONDS:
            continue
        lines_by_process.setdefault(line.process, []).append(line.format())
        lines += 1
    for process, texts in lines_by_process.items():
        path = directory / f'{process}.log'
        path.write_text('\n'.join(texts) + '\n')
    return lines


def measure(copies: int) -> None:
    """Audit logs of one size and print the costs."""
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as name:
        directory = pathlib.Path(name)
        lines = write_logs(directory, copies)
        files = sorted(map(str, directory.glob('*.log')))
        size = sum(pathlib.Path(f).stat().st_size for f in files) / 1e6
        result = subprocess.run(
            [sys.executable, '-c', _MEASURE_SCRIPT, *files],
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
    """Measure all sizes."""
    for copies in _COPY_COUNTS:
        measure(copies)


if __name__ == '__main__':
    main()
