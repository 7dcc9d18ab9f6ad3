"""Markdown tables of a bench run."""

import statistics
import typing as t

from tools.bench import registry
from tools.bench import results

Outcomes = dict[str, registry.Outcomes]

_HEADER = (
    '| policy | p50 ms | p99 ms | p99.9 ms | p99 ratio | batch core-h |'
    ' batch ratio | batch ended | evicted | throttled | refused |'
    ' doubled | lost |'
)
_MILLISECONDS = 1000.0
_SECONDS_PER_HOUR = 3600.0


def write_tables(outcomes: Outcomes, seeds: t.Sequence[int]) -> str:
    """Return one table per scenario, followed by the goals.

    Each figure is the median over the seeds, with the lowest and highest
    in parentheses. A ratio is the subject's figure divided by the
    row's, per seed.
    """
    parts = []
    for name, by_policy in outcomes.items():
        scenario = registry.SCENARIOS[name]
        parts.append(f'### {name}\n\n{scenario.description}\n')
        parts.append(_write_scenario(scenario, by_policy))
    parts.append('### Goals\n\n' + write_goals(outcomes))
    text = '\n'.join(parts)
    seed_list = ', '.join(str(seed) for seed in seeds)
    return f'Seeds: {seed_list}.\n\n{text}'


def _write_scenario(
    scenario: registry.Scenario, by_policy: registry.Outcomes
) -> str:
    lines = [_HEADER, '| --- |' + ' ---: |' * (_HEADER.count('|') - 2)]
    for policy in scenario.policies:
        lines.append(_write_row(scenario, by_policy, policy))
    lines.extend(_write_extras(scenario, by_policy))
    return '\n'.join(lines) + '\n'


def _write_row(
    scenario: registry.Scenario, by_policy: registry.Outcomes, policy: str
) -> str:
    runs = by_policy[policy]

    def spread(field: str, factor: float = 1.0, digits: int = 0) -> str:
        return _format_spread(
            [getattr(r, field) * factor for r in runs], digits
        )

    def ratio(field: str) -> str:
        if policy == scenario.subject:
            return '1'
        return _format_spread(
            registry.divide(by_policy, field, scenario.subject, policy), 2
        )

    cells = [
        f'**{policy}**' if policy == scenario.subject else policy,
        spread('p50', _MILLISECONDS),
        spread('p99', _MILLISECONDS),
        spread('p999', _MILLISECONDS),
        ratio('p99'),
        spread('batch_work', 1 / _SECONDS_PER_HOUR, 1),
        ratio('batch_work'),
        spread('batch_finished'),
        spread('evictions'),
        spread('throttles'),
        spread('refused'),
        spread('doubled'),
        spread('lost'),
    ]
    return '| ' + ' | '.join(cells) + ' |'


def _write_extras(
    scenario: registry.Scenario, by_policy: registry.Outcomes
) -> list[str]:
    lines = []
    for policy in scenario.policies:
        runs = by_policy[policy]
        names = sorted({name for run in runs for name in run.extras})
        if names:
            figures = ', '.join(
                f'{name} '
                f'{_format_spread([r.extras.get(name, 0) for r in runs], 2)}'
                for name in names
            )
            lines.append(f'- {policy}: {figures}')
    return ['', *lines] if lines else []


def write_goals(outcomes: Outcomes) -> str:
    """Return the goals of the scenarios that were run, with results."""
    lines = [
        '| scenario | goal | limit | median (spread) | seeds that meet it |',
        '| --- | --- | ---: | ---: | ---: |',
    ]
    for goal in registry.GOALS:
        if goal.scenario not in outcomes:
            continue
        figures = goal.measure(outcomes[goal.scenario])
        met = sum(goal.is_met(figure) for figure in figures)
        operator = '>=' if goal.at_least else '<='
        lines.append(
            f'| {goal.scenario} | {goal.text} | {operator} {goal.limit:g} |'
            f' {_format_spread(figures, 2)} | {met} of {len(figures)} |'
        )
    return '\n'.join(lines) + '\n'


def _format_spread(values: t.Sequence[float], digits: int) -> str:
    median, low, high = statistics.median(values), min(values), max(values)
    texts = [f'{value:.{digits}f}' for value in (median, low, high)]
    if texts[1] == texts[2]:
        return texts[0]
    return f'{texts[0]} ({texts[1]}-{texts[2]})'


def list_fields(run: results.Summary) -> dict[str, float]:
    """Return the figures of a run to plot, by name."""
    return {
        'p99 (ms)': run.p99 * _MILLISECONDS,
        'p99.9 (ms)': run.p999 * _MILLISECONDS,
        'batch work (core-h)': run.batch_work / _SECONDS_PER_HOUR,
        'evictions': run.evictions,
    }
