"""A randomized soak on real processes: `make soak SOAK='--seeds 50'`."""

import argparse
import pathlib
import shutil
import sys
import tempfile
import time

import anyio

from tools.soaking import trial


async def _run(arguments: argparse.Namespace) -> int:
    limiter = anyio.CapacityLimiter(arguments.jobs)
    reports: list[trial.Report] = []

    async def run_one(seed: int) -> None:
        async with limiter:
            directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            plan = trial.Plan(seed, arguments.seconds)
            report = await trial.Trial(plan, directory / 'site').run()
            reports.append(report)
            verdict = 'BROKEN' if report.violations else 'held'
            print(
                f'seed={seed} jobs={report.jobs} starts={report.starts} '
                f'faults={report.faults} {verdict}',
                flush=True,
            )
            for text in report.violations:
                print(f'  {text}')
            if report.violations:
                print(f'  logs are kept in {directory}')
            else:
                shutil.rmtree(directory)

    async with anyio.create_task_group() as group:
        for seed in range(arguments.first, arguments.first + arguments.seeds):
            group.start_soon(run_one, seed)
    failed = sum(bool(report.violations) for report in reports)
    print(f'seeds={len(reports)} broken={failed}')
    return 1 if failed else 0


def main() -> int:
    """Run the seeds and return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument(
        '--first', type=int, default=int(time.time()) % 1_000_000
    )
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--jobs', type=int, default=2)
    return anyio.run(_run, parser.parse_args())


if __name__ == '__main__':
    sys.exit(main())
