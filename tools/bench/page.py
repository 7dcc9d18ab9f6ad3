"""A stand-alone HTML page with one bar plot for each figure."""

import html
import statistics

from tools.bench import registry
from tools.bench import table

_WIDTH = 420
_LABEL = 130
_BAR = 16
_GAP = 6
_STYLE = (
    'body{font-family:sans-serif;max-width:1000px;margin:2em auto}'
    'svg{margin:0 1em 1em 0}text{font-size:11px}'
)


def write_page(outcomes: table.Outcomes, title: str) -> str:
    """Return the whole page; it loads nothing from elsewhere."""
    parts = [
        '<!doctype html><meta charset="utf-8">',
        f'<title>{html.escape(title)}</title><style>{_STYLE}</style>',
        f'<h1>{html.escape(title)}</h1>',
        '<p>A bar is the median over the seeds; its whisker the lowest'
        ' and the highest seed.</p>',
    ]
    for name, by_policy in outcomes.items():
        scenario = registry.SCENARIOS[name]
        parts.append(f'<h2>{html.escape(name)}</h2>')
        parts.append(f'<p>{html.escape(scenario.story)}</p>')
        parts.extend(_plot_scenario(scenario, by_policy))
    return '\n'.join(parts) + '\n'


def _plot_scenario(
    scenario: registry.Scenario, by_policy: registry.Outcomes
) -> list[str]:
    first = by_policy[scenario.subject][0]
    plots = []
    for field in table.list_fields(first):
        values = {
            policy: [table.list_fields(run)[field] for run in runs]
            for policy, runs in by_policy.items()
        }
        plots.append(_plot_bars(field, values, scenario.subject))
    return plots


def _plot_bars(
    title: str, values: dict[str, list[float]], subject: str
) -> str:
    highest = max((max(v) for v in values.values()), default=0) or 1.0
    scale = (_WIDTH - _LABEL - 60) / highest
    height = (len(values) + 1) * (_BAR + _GAP)
    parts = [
        f'<svg width="{_WIDTH}" height="{height}" role="img">',
        f'<text x="0" y="12" font-weight="bold">{html.escape(title)}</text>',
    ]
    top = _BAR + _GAP
    for policy, found in values.items():
        middle = statistics.median(found)
        length = middle * scale
        low = _LABEL + min(found) * scale
        high = _LABEL + max(found) * scale
        y = top + _BAR / 2
        color = '#c0392b' if policy == subject else '#7f8c8d'
        parts.append(
            f'<text x="0" y="{top + 12}">{html.escape(policy)}</text>'
            f'<rect x="{_LABEL}" y="{top}" width="{length:.1f}"'
            f' height="{_BAR}" fill="{color}"/>'
            f'<line x1="{low:.1f}" x2="{high:.1f}" y1="{y}" y2="{y}"'
            ' stroke="black"/>'
            f'<text x="{high + 4:.1f}" y="{top + 12}">{middle:.4g}</text>'
        )
        top += _BAR + _GAP
    parts.append('</svg>')
    return ''.join(parts)
