"""Run the bench: ``make measure`` writes a table and a page of plots.

Each (scenario, policy, seed) is one run on a virtual clock; runs are
independent of each other and distributed over a few processes.
"""

import argparse
import concurrent.futures
import pathlib
import subprocess
import sys
import typing as t

from tools.bench import page
from tools.bench import registry
from tools.bench import results
from tools.bench import scenarios  # noqa: F401 - registers them
from tools.bench import table

_DEFAULT_SEEDS = 5
_DEFAULT_PROCESSES = 4


def run_one(name: str, policy: str, seed: int) -> results.Summary:
    """Run one scenario under one policy with one seed."""
    return registry.SCENARIOS[name].run(policy, seed).summarize()


def run_all(
    names: t.Sequence[str], seeds: t.Sequence[int], processes: int
) -> table.Outcomes:
    """Return all summaries by scenario and policy, ordered by seed."""
    outcomes: table.Outcomes = {}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        futures = {
            (name, policy, seed): pool.submit(run_one, name, policy, seed)
            for name in names
            for policy in registry.SCENARIOS[name].policies
            for seed in seeds
        }
        for (name, policy, _), future in futures.items():
            by_policy = outcomes.setdefault(name, {})
            by_policy.setdefault(policy, []).append(future.result())
    return outcomes


def _run_git(*arguments: str) -> str:
    git = ['git', '-C', str(pathlib.Path(__file__).parent)]
    result = subprocess.run(
        [*git, *arguments], check=False, capture_output=True, text=True
    )
    return result.stdout.strip()


def _read_commit() -> str:
    commit = _run_git('rev-parse', '--short=12', 'HEAD')
    modified = _run_git('status', '--porcelain', '--untracked-files=no')
    return (commit or 'unknown') + (' with changes' if modified else '')


def _parse(arguments: t.Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--scenario', action='append', choices=sorted(registry.SCENARIOS)
    )
    parser.add_argument('--seeds', type=int, default=_DEFAULT_SEEDS)
    parser.add_argument('--processes', type=int, default=_DEFAULT_PROCESSES)
    parser.add_argument(
        '--output', type=pathlib.Path, default=pathlib.Path('measure-out')
    )
    return parser.parse_args(arguments)


def main(arguments: t.Sequence[str] = ()) -> int:
    """Run the selected scenarios and write their measurements."""
    options = _parse(arguments)
    names = options.scenario or list(registry.SCENARIOS)
    seeds = range(1, options.seeds + 1)
    commit = _read_commit()
    outcomes = run_all(names, seeds, options.processes)
    tables = f'Commit: {commit}. {table.write_tables(outcomes, seeds)}'
    options.output.mkdir(parents=True, exist_ok=True)
    (options.output / 'measurements.md').write_text(tables, encoding='utf-8')
    (options.output / 'measurements.html').write_text(
        page.write_page(outcomes, f'persimmonsail {commit}'),
        encoding='utf-8',
    )
    print(tables)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
