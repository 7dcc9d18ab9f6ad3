"""Gauges of an entry's current state."""

import typing as t

from persimmonsail import metrics


def make_gauges(entry: t.Any) -> tuple[metrics.Gauge, ...]:
    """Return gauges that read an entry's state when scraped."""
    return (
        metrics.Gauge(
            'persimmonsail_catalogue_revision',
            'The catalogue revision in force here.',
            lambda: entry.view.revision,
        ),
        metrics.Gauge(
            'persimmonsail_catalogue_age_seconds',
            'Time since the revision was confirmed to be the newest.',
            lambda: entry.view.age,
        ),
        metrics.Gauge(
            'persimmonsail_instances_live',
            'Instances that may get new work from this entry.',
            lambda: len(entry.fleet.list_live()),
        ),
        metrics.Gauge(
            'persimmonsail_partitions_held',
            'Partitions of the task ledger held here.',
            lambda: len(entry.partitions.held),
        ),
        metrics.Gauge(
            'persimmonsail_ready',
            'One if callers may be sent here.',
            lambda: not entry.find_unready_reason(),
        ),
    )
