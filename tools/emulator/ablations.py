"""Mechanisms of the scheduler, switched off from outside, one by one.

What a mechanism is worth is measured by playing the same days without
it. The product has no switches for that: each entry replaces a module's
constant or function while a day is played.
"""

import contextlib
import typing as t
from unittest import mock

from persimmonsail.jobs import order

# Longer than any day, and more than any figure.
_NEVER = 1e9

Patches = t.Callable[[], t.Sequence[t.Any]]

ABLATIONS: dict[str, Patches] = {}


def register(name: str) -> t.Callable[[Patches], Patches]:
    """Add an ablation, by what it replaces."""

    def decorate(patches: Patches) -> Patches:
        ABLATIONS[name] = patches
        return patches

    return decorate


@contextlib.contextmanager
def switch_off(name: str) -> t.Iterator[None]:
    """Play without a mechanism; with all of them for an empty name."""
    with contextlib.ExitStack() as stack:
        if name:
            for patch in ABLATIONS[name]():
                stack.enter_context(patch)
        yield


def _replace(target: str, value: t.Any) -> t.Any:
    return mock.patch(f'persimmonsail.jobs.{target}', value)


def _do_nothing(*arguments: t.Any) -> None:
    """Stand in for what is switched off."""


@register('learnt-coefficients')
def _guess_coefficients() -> t.Sequence[t.Any]:
    """Never learn which images press on which."""
    return (_replace('regression.Regression.add', _do_nothing),)


@register('kinds-from-seen-pairs')
def _keep_kinds() -> t.Sequence[t.Any]:
    """Guess pairs that were not seen as on the first day."""
    return (_replace('interference.Model._adapt_kinds', _do_nothing),)


@register('doubt-from-surprises')
def _keep_margin() -> t.Sequence[t.Any]:
    """Keep the same room free below each target."""
    return (
        _replace(
            'interference.Model.estimate_uncertainty', lambda model: 0.06
        ),
    )


@register('spread-of-loads')
def _expect_mean() -> t.Sequence[t.Any]:
    """Expect the mean load, however much it swings."""
    return (_replace('interference.EXPECTED_MAXIMA', (0.0,)),)


@register('slope-of-loads')
def _expect_no_rise() -> t.Sequence[t.Any]:
    return (_replace('loads.Load.predict_rise', lambda load: 0.0),)


@register('bound-in-placing')
def _place_by_means() -> t.Sequence[t.Any]:
    return (_replace('regression._UPPER_BOUND_DEVIATIONS', 0.0),)


@register('least-in-pacing')
def _pace_by_means() -> t.Sequence[t.Any]:
    return (_replace('regression._LOWER_BOUND_DEVIATIONS', 0.0),)


@register('trust-in-outliers')
def _trust_outliers() -> t.Sequence[t.Any]:
    return (_replace('interference._MAX_DEVIATIONS', _NEVER),)


@register('doubt-after-changes')
def _trust_changes() -> t.Sequence[t.Any]:
    return (_replace('gauges._CHANGE_UNCERTAINTY', 0.0),)


@register('gauge-lag')
def _assume_no_lag() -> t.Sequence[t.Any]:
    return (_replace('gauges._LAG_SECONDS', 0.001),)


@register('wait-for-speed')
def _place_at_any_speed() -> t.Sequence[t.Any]:
    return (_replace('placement.MIN_SPEED', 0.0),)


@register('limited-rise')
def _rise_at_once() -> t.Sequence[t.Any]:
    return (_replace('throttling._MAX_RISE_FACTOR', _NEVER),)


@register('slowing-what-hardly-presses')
def _leave_light_alone() -> t.Sequence[t.Any]:
    return (_replace('throttling._MIN_LIGHT_PERCENT', 100),)


@register('stop-all')
def _stop_only_what_presses() -> t.Sequence[t.Any]:
    return (_replace('throttling._STOP_ALL_SECONDS', _NEVER),)


@register('starved-moves')
def _move_nothing() -> t.Sequence[t.Any]:
    return (_replace('eviction._MAX_THROTTLED_SECONDS', _NEVER),)


@register('beside-own-image')
def _spread_serving() -> t.Sequence[t.Any]:
    """Place serving tasks like all others, where most is unused."""

    def list_scores(candidates: t.Any) -> list[t.Any]:
        return [-candidates._snapshot.unused]

    return (_replace('placement.Candidates._list_scores', list_scores),)


@register('still-instances')
def _ignore_still() -> t.Sequence[t.Any]:
    return (_replace('observations._STALL_SECONDS', _NEVER),)


@register('idle-jobs-start')
def _let_idle_wait() -> t.Sequence[t.Any]:
    return (_replace('scheduling._IDLE_TIMEOUT_SECONDS', _NEVER),)


@register('order-by-work')
def _order_by_priority() -> t.Sequence[t.Any]:
    """Serve each queue in the order of acceptance."""

    def rate(
        task: t.Any, queue: t.Any, now_ms: float, *others: float
    ) -> order.Urgency:
        return order.Urgency(queue.priority, 0, task.objective_start_ms)

    return (_replace('order.rate', rate),)


@register('late-class')
def _forget_lateness() -> t.Sequence[t.Any]:
    return (_replace('order._ESTIMATE_ERROR', _NEVER),)


@register('crash-counts')
def _count_no_crash() -> t.Sequence[t.Any]:
    """Start tasks again however often their agents crash."""
    return (_replace('crashes.Tracker.note', _do_nothing),)


@register('suspects-apart')
def _mix_suspects() -> t.Sequence[t.Any]:
    """Start suspects wherever there is room."""

    def needs_isolation(task: t.Any, now: float) -> bool:
        return False

    return (_replace('suspects.needs_isolation', needs_isolation),)
