"""Metrics as log lines, for a role without an HTTP interface.

A sidecar is one small process with 64 MB of memory, of which an HTTP
server would take some megabytes, so it logs its metrics instead.
"""

import typing as t

import anyio

from persimmonsail import logs
from persimmonsail import metrics

PERIOD_SECONDS = 60.0

_Labels = tuple[tuple[str, str], ...]


async def run(period: float = PERIOD_SECONDS) -> t.NoReturn:
    """Log all metrics once per period, until cancelled."""
    while True:
        await anyio.sleep(period)
        write_all()


def write_all() -> None:
    """Log one line for each metric and label set that has values."""
    for metric in metrics.list_metrics():
        for labels, values in _group_samples(metric).items():
            logs.write_event(
                'metric', metric=metric.name, **dict(labels), **values
            )


def _group_samples(metric: metrics.Metric) -> dict[_Labels, dict[str, float]]:
    grouped: dict[_Labels, dict[str, float]] = {}
    for sample in metric.collect():
        labels = dict(sample.labels)
        name = _make_key(metric, sample, labels.pop('quantile', ''))
        values = grouped.setdefault(tuple(labels.items()), {})
        values[name] = sample.value
    return grouped


def _make_key(
    metric: metrics.Metric, sample: metrics.Sample, quantile: str
) -> str:
    if quantile:
        return 'p' + f'{float(quantile) * 100:g}'.replace('.', '_')
    return sample.name.removeprefix(metric.name).strip('_') or 'value'
