"""A self-contained HTML page with a bar plot for each figure."""

import html
import statistics

from tools.bench import registry
from tools.bench import table

_PLOT_WIDTH = 420
_LABEL_WIDTH = 130
_BAR_HEIGHT = 16
_BAR_GAP = 6
_STYLE = (
    'body{font-family:sans-serif;max-width:1000px;margin:2em auto}'
    'svg{margin:0 1em 1em 0}text{font-size:11px}'
)


def write_page(outcomes: table.Outcomes, title: str) -> str:
    """Return the page, which loads no external resources."""
    parts = [
        '<!doctype html><meta charset="utf-8">',
        f'<title>{html.escape(title)}</title><style>{_STYLE}</style>',
        f'<h1>{html.escape(title)}</h1>',
        '<p>Bars show the median over the seeds, whiskers the lowest and'
        ' the highest seed.</p>',
    ]
    for name, by_policy in outcomes.items():
        scenario = registry.SCENARIOS[name]
        parts.append(f'<h2>{html.escape(name)}</h2>')
        parts.append(f'<p>{html.escape(scenario.description)}</p>')
        parts.extend(_plot_scenario(scenario, by_policy))
    return '\n'.join(parts) + '\n'


def _plot_scenario(
    scenario: registry.Scenario, by_policy: registry.Outcomes
) -> list[str]:
    first = by_policy[scenario.subject][0]
    plots = []
    for field in table.list_fields(first):
        figures = {
            policy: [table.list_fields(run)[field] for run in runs]
            for policy, runs in by_policy.items()
        }
        plots.append(_plot_bars(field, figures, scenario.subject))
    return plots


def _plot_bars(
    title: str, by_policy: dict[str, list[float]], subject: str
) -> str:
    max_figure = max((max(v) for v in by_policy.values()), default=0) or 1.0
    scale = (_PLOT_WIDTH - _LABEL_WIDTH - 60) / max_figure
    height = (len(by_policy) + 1) * (_BAR_HEIGHT + _BAR_GAP)
    parts = [
        f'<svg width="{_PLOT_WIDTH}" height="{height}" role="img">',
        f'<text x="0" y="12" font-weight="bold">{html.escape(title)}</text>',
    ]
    top = _BAR_HEIGHT + _BAR_GAP
    for policy, figures in by_policy.items():
        median = statistics.median(figures)
        length = median * scale
        low = _LABEL_WIDTH + min(figures) * scale
        high = _LABEL_WIDTH + max(figures) * scale
        y = top + _BAR_HEIGHT / 2
        color = '#c0392b' if policy == subject else '#7f8c8d'
        parts.append(
            f'<text x="0" y="{top + 12}">{html.escape(policy)}</text>'
            f'<rect x="{_LABEL_WIDTH}" y="{top}" width="{length:.1f}"'
            f' height="{_BAR_HEIGHT}" fill="{color}"/>'
            f'<line x1="{low:.1f}" x2="{high:.1f}" y1="{y}" y2="{y}"'
            ' stroke="black"/>'
            f'<text x="{high + 4:.1f}" y="{top + 12}">{median:.4g}</text>'
        )
        top += _BAR_HEIGHT + _BAR_GAP
    parts.append('</svg>')
    return ''.join(parts)
