"""Checks of the users' rules on what runners and callers have seen."""

import typing as t

from smallsite import runner as runner_module

# RULES, LOST: a task that lasts has nothing running for so long.
IDLE_SECONDS = 3.0
# Counted from so long after its last run.
RESTART_SECONDS = 6.0
# Before the idle time, so long without a disruption.
CALM_SECONDS = 4.0


def find_first_check(ended_at: float, calm_since: float) -> float:
    """Return from when on a task that lasts must not be idle for 3 s.

    Parameters
    ----------
    ended_at : float
        When its last run ended.
    calm_since : float
        When the last disruption ended.
    """
    return max(ended_at + RESTART_SECONDS, calm_since + CALM_SECONDS)


def find_idle_seconds(
    runs: t.Iterable[runner_module.Run], begin: float, end: float
) -> float:
    """Return the longest time between two moments without a run.

    Parameters
    ----------
    runs : iterable of Run
        All runs of one task.
    begin, end : float
        The two moments.
    """
    longest = 0.0
    idle_since = begin
    for run in sorted(runs, key=lambda run: run.began):
        ended = run.ended or end
        if ended <= idle_since or run.began >= end:
            continue
        longest = max(longest, run.began - idle_since)
        idle_since = max(idle_since, ended)
    return max(longest, end - idle_since)
