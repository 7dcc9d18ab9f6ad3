"""Ablations: the scheduler's mechanisms, disabled from outside one by one.

The benefit of a mechanism is measured by playing the same days without
it. The product has no switches for that: each entry replaces a module's
constant or function while a day is played.
"""

import contextlib
import typing as t
from unittest import mock

from persimmonsail.jobs import order

# Exceeds every duration and every other value of a day.
_UNREACHABLE = 1e9

MakePatches = t.Callable[[], t.Sequence[t.Any]]

ABLATIONS: dict[str, MakePatches] = {}


def register(name: str) -> t.Callable[[MakePatches], MakePatches]:
    """Register an ablation by the function that makes its patches."""

    def decorate(make_patches: MakePatches) -> MakePatches:
        ABLATIONS[name] = make_patches
        return make_patches

    return decorate


@contextlib.contextmanager
def switch_off(name: str) -> t.Iterator[None]:
    """Disable a mechanism; an empty name disables none."""
    with contextlib.ExitStack() as stack:
        if name:
            for patch in ABLATIONS[name]():
                stack.enter_context(patch)
        yield


def _replace(target: str, value: t.Any) -> t.Any:
    return mock.patch(f'persimmonsail.jobs.{target}', value)


def _do_nothing(*arguments: t.Any) -> None:
    """Replace a disabled method."""


@register('learnt-coefficients')
def _learn_no_coefficients() -> t.Sequence[t.Any]:
    """Never learn which images interfere with each other."""
    return (_replace('regression.Regression.add', _do_nothing),)


@register('kinds-from-seen-pairs')
def _keep_prior_kinds() -> t.Sequence[t.Any]:
    """Predict unobserved pairs from the initial prior."""
    return (_replace('interference.Model._adapt_kinds', _do_nothing),)


@register('doubt-from-surprises')
def _keep_headroom() -> t.Sequence[t.Any]:
    """Keep a fixed headroom below each target."""
    return (
        _replace(
            'interference.Model.estimate_uncertainty', lambda model: 0.06
        ),
    )


@register('spread-of-loads')
def _expect_mean() -> t.Sequence[t.Any]:
    """Expect the mean load, whatever its variation."""
    return (_replace('interference.EXPECTED_MAXIMA', (0.0,)),)


@register('slope-of-loads')
def _expect_no_rise() -> t.Sequence[t.Any]:
    return (_replace('loads.Load.predict_rise', lambda load: 0.0),)


@register('bound-in-placing')
def _place_by_means() -> t.Sequence[t.Any]:
    return (_replace('regression._UPPER_BOUND_DEVIATIONS', 0.0),)


@register('least-in-pacing')
def _throttle_by_means() -> t.Sequence[t.Any]:
    return (_replace('regression._LOWER_BOUND_DEVIATIONS', 0.0),)


@register('trust-in-outliers')
def _trust_outliers() -> t.Sequence[t.Any]:
    return (_replace('interference._MAX_DEVIATIONS', _UNREACHABLE),)


@register('doubt-after-changes')
def _ignore_recent_changes() -> t.Sequence[t.Any]:
    return (_replace('gauges._CHANGE_UNCERTAINTY', 0.0),)


@register('gauge-lag')
def _assume_no_lag() -> t.Sequence[t.Any]:
    return (_replace('gauges._LAG_SECONDS', 0.001),)


@register('wait-for-speed')
def _place_at_any_speed() -> t.Sequence[t.Any]:
    return (_replace('placement.MIN_SPEED', 0.0),)


@register('limited-rise')
def _rise_without_limit() -> t.Sequence[t.Any]:
    return (_replace('throttling._MAX_RISE_FACTOR', _UNREACHABLE),)


@register('slowing-what-hardly-presses')
def _throttle_no_light_runs() -> t.Sequence[t.Any]:
    return (_replace('throttling._MIN_LIGHT_PERCENT', 100),)


@register('stop-all')
def _stop_only_interfering() -> t.Sequence[t.Any]:
    return (_replace('throttling._STOP_ALL_SECONDS', _UNREACHABLE),)


@register('starved-moves')
def _evict_no_starved() -> t.Sequence[t.Any]:
    return (_replace('eviction._MAX_THROTTLED_SECONDS', _UNREACHABLE),)


@register('beside-own-image')
def _spread_serving() -> t.Sequence[t.Any]:
    """Place serving tasks like all others, where most capacity is unused."""

    def list_scores(candidates: t.Any) -> list[t.Any]:
        return [-candidates._snapshot.unused]

    return (_replace('placement.Candidates._list_scores', list_scores),)


@register('still-instances')
def _ignore_stalls() -> t.Sequence[t.Any]:
    return (_replace('observations._STALL_SECONDS', _UNREACHABLE),)


@register('idle-jobs-start')
def _let_idle_jobs_wait() -> t.Sequence[t.Any]:
    return (_replace('scheduling._IDLE_TIMEOUT_SECONDS', _UNREACHABLE),)


@register('order-by-work')
def _order_by_priority() -> t.Sequence[t.Any]:
    """Serve each queue in the order of acceptance."""

    def rate(
        task: t.Any, queue: t.Any, now_ms: float, *others: float
    ) -> order.Urgency:
        return order.Urgency(queue.priority, 0, task.objective_start_ms)

    return (_replace('order.rate', rate),)


@register('late-class')
def _ignore_lateness() -> t.Sequence[t.Any]:
    return (_replace('order._ESTIMATE_ERROR', _UNREACHABLE),)


@register('crash-counts')
def _ignore_crashes() -> t.Sequence[t.Any]:
    """Restart tasks however often they crash their agents."""
    return (_replace('crashes.Tracker.note', _do_nothing),)


@register('suspects-apart')
def _isolate_no_suspects() -> t.Sequence[t.Any]:
    """Start crash suspects wherever there is free capacity."""

    def needs_isolation(task: t.Any, now: float) -> bool:
        return False

    return (_replace('suspects.needs_isolation', needs_isolation),)
