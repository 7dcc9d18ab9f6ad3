"""Measures how the cost of each role grows: ``make slopes``.

Every series starts real processes and small stand-ins on loopback,
grows one driver over at least four points, and prints the fitted line
and the residual of each cost. Bytes are those of the TCP streams.
"""

import argparse
import datetime
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

import anyio
import psutil

from tools import slope_commands  # noqa: F401
from tools import slope_fit
from tools import slope_meter
from tools import slope_recovery  # noqa: F401
from tools import slope_series
from tools import slope_sidecar  # noqa: F401
from tools import slope_sizes

_QUICK_WINDOW_SECONDS = 2.0
_MIN_SLOPE = 1e-12


def print_series(
    series: slope_series.Series,
) -> dict[str, slope_fit.Fit]:
    """Print the points of one series and return the fit of each cost."""
    print(f'\n## {series.role} by {series.driver}')
    print('driver ' + ' '.join(slope_meter.COSTS))
    for driver, sample in series.points:
        values = (getattr(sample, cost) for cost in slope_meter.COSTS)
        print(f'{driver:g} ' + ' '.join(f'{value:.4f}' for value in values))
    fits = {}
    for cost in slope_meter.COSTS:
        fit = fits[cost] = slope_fit.fit_line(
            (driver, getattr(sample, cost)) for driver, sample in series.points
        )
        if abs(fit.slope) > _MIN_SLOPE:
            print(
                f'fit {cost} slope={fit.slope:.6g} '
                f'intercept={fit.intercept:.6g} residual={fit.residual:.3g}'
            )
    return fits


def print_header(window_seconds: float) -> None:
    """Print the commit, the machine and the settings of the run."""
    commit = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    now = datetime.datetime.now(datetime.UTC)
    print(f'# slopes run={now:%Y-%m-%dT%H:%MZ} commit={commit}')
    print(
        f'# python={sys.version.split()[0]} cores={psutil.cpu_count()} '
        f'load={psutil.getloadavg()[0]:.1f} window={window_seconds}'
    )


async def run(names: list[str], window_seconds: float) -> None:
    """Run the named series one after another."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix='persimmonsail-slopes-'))
    fits: slope_sizes.Fits = {}
    try:
        for name in names:
            plan = slope_series.Plan(directory / name, window_seconds)
            for series in await slope_series.SERIES[name](plan):
                key = (series.role, series.driver)
                fits[key] = print_series(series)
            sys.stdout.flush()
            shutil.rmtree(directory / name, ignore_errors=True)
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    print('\n## at the size designed for: role | cost | is | budget')
    for line in slope_sizes.format_sizes(fits, slope_sizes.DesignSize()):
        print(line)


def count_leftover_processes() -> int:
    """Return the number of child processes that still run."""
    return len(psutil.Process().children(recursive=True))


def main() -> int:
    """Run the measurements; fail if a child process is left running."""
    series_names = list(slope_series.SERIES)
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--quick', action='store_true', help='short windows')
    parser.add_argument(
        '--only', nargs='+', choices=series_names, default=series_names
    )
    arguments = parser.parse_args()
    window_seconds = _QUICK_WINDOW_SECONDS if arguments.quick else 6.0
    # By default SIGTERM would leave the measured processes running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    print_header(window_seconds)
    anyio.run(run, arguments.only, window_seconds)
    leftover = count_leftover_processes()
    print(f'\n# processes left behind: {leftover}')
    return 1 if leftover else 0


if __name__ == '__main__':
    sys.exit(main())
