"""Quarantine of instances on which tasks keep failing.

Two mechanisms work together. A sidecar's ``Probation`` limits how many
tasks can fail on an instance before its health has been assessed. An
entry's ``Tracker`` correlates failures by job and instance: a job that
fails on several instances is faulty itself, while several jobs failing
on one instance point to a faulty instance.
"""

import collections
import dataclasses
import math
import time
import typing as t

from persimmonsail import logs

# Failed tasks after which an instance receives no more.
MAX_FAILURES = 3
# The largest part of the fleet in quarantine at any time; in a fleet of
# two to four, one instance is allowed nevertheless.
MAX_SHARE = 0.2
# A task that has run for this long counts as started successfully.
PROVED_AFTER_SECONDS = 1.0
# A start without any report for this long is not evidence either way.
UNREPORTED_TIMEOUT_SECONDS = 30.0
# Delay before a canary may test an instance in quarantine (seconds);
# doubled with each canary sent.
CANARY_DELAY_SECONDS = 30.0
MAX_CANARY_DELAY_SECONDS = 600.0

# Prior odds that an instance is bad: about one in a hundred is.
_PRIOR_LOG_ODDS = math.log(0.01 / 0.99)
# Probability that a task fails on a bad instance.
_BAD_INSTANCE_FAILURE_RATE = 0.95
# Weak prior for the failure rate of a job: one in ten.
_PRIOR_JOB_FAILURES = 0.2
_PRIOR_JOB_RUNS = 2.0
_MIN_FAILURE_RATE = 0.02
_BAD_LOG_ODDS = math.log(0.8 / 0.2)
# A job's counts are halved at this many runs, so that recent ones weigh
# more and a change becomes visible.
_MAX_JOB_RUNS = 64
# Number of latest outcomes that an instance is assessed by.
_MAX_OUTCOMES = 16


class Probation:
    """A sidecar's limit on tasks not yet known to run successfully.

    An instance on which every task fails immediately looks idle, so
    several entries send it work before the first failure is reported.
    Unproved starts (neither ended nor running for long enough) and
    consecutive failures together never exceed the limit.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic seconds.
    limit : int, optional
        The limit.
    """

    def __init__(
        self,
        clock: t.Callable[[], float] = time.monotonic,
        limit: int = MAX_FAILURES,
    ) -> None:
        self.failures = 0
        self._clock = clock
        self._limit = limit
        self._unproved: dict[tuple[str, int], float] = {}

    @property
    def unproved(self) -> int:
        """Number of starts that are still unproved."""
        return len(self._unproved)

    def find_refusal(self, canary: bool) -> str:
        """Return why a start is rejected now; empty if it is not."""
        self._drop_expired()
        if canary:
            return 'a canary is running' if self._unproved else ''
        if self.failures >= self._limit:
            return 'in quarantine'
        if self.failures + len(self._unproved) >= self._limit:
            return 'too many unproved starts'
        return ''

    def note_start(self, task: str, attempt: int) -> None:
        """Count a start as unproved."""
        self._unproved[task, attempt] = self._clock()

    def note_phase(self, task: str, attempt: int, phase: str) -> None:
        """Handle the phase that the worker reports for an attempt."""
        if phase == 'active':
            self.note_active(task, attempt)
        elif phase == 'succeeded':
            self.note_success(task, attempt)
        elif phase == 'failed':
            self.note_failure(task, attempt)
        else:
            self.forget(task, attempt)

    def note_active(self, task: str, attempt: int) -> None:
        """Count a task that still runs after a while as a success."""
        started_at = self._unproved.get((task, attempt))
        if (
            started_at is not None
            and self._clock() - started_at >= PROVED_AFTER_SECONDS
        ):
            self.note_success(task, attempt)

    def note_success(self, task: str, attempt: int) -> None:
        """Handle a task's success, or that it has run long enough."""
        if self._unproved.pop((task, attempt), None) is not None:
            self.failures = 0

    def note_failure(self, task: str, attempt: int) -> None:
        """Handle a task's failure, counted only while it is unproved."""
        if self._unproved.pop((task, attempt), None) is not None:
            self.failures += 1

    def forget(self, task: str, attempt: int) -> None:
        """Discard a start that is no evidence about the instance."""
        self._unproved.pop((task, attempt), None)

    def _drop_expired(self) -> None:
        # The holder that polled these tasks may be gone, and they with
        # it; they must not block the instance forever.
        cutoff = self._clock() - UNREPORTED_TIMEOUT_SECONDS
        for key, started_at in list(self._unproved.items()):
            if started_at < cutoff:
                del self._unproved[key]


@dataclasses.dataclass
class _JobHistory:
    """Runs of one job, and its failures by instance."""

    runs: float = 0.0
    failures: dict[str, float] = dataclasses.field(default_factory=dict)

    def halve(self) -> None:
        self.runs /= 2
        self.failures = {k: v / 2 for k, v in self.failures.items()}


@dataclasses.dataclass(frozen=True)
class _Outcome:
    job: str
    failed: bool


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The assessed health of an instance, and what it is based on.

    Attributes
    ----------
    log_odds : float
        Natural logarithm of the odds that the instance is bad.
    streak : int
        Latest consecutive failures that this entry observed there.
    jobs : int
        Number of distinct jobs that failed in that streak.
    """

    log_odds: float
    streak: int
    jobs: int

    @property
    def is_bad(self) -> bool:
        """Whether the instance, not its jobs, causes the failures."""
        return self.streak > 1 and self.log_odds >= _BAD_LOG_ODDS


@dataclasses.dataclass
class _Quarantine:
    since: float
    tested_at: float
    delay: float = CANARY_DELAY_SECONDS


POLICIES: dict[str, type['Tracker']] = {}


def register(name: str) -> t.Callable[[type], type]:
    """Register a tracker class under a name."""

    def add(kind: type) -> type:
        POLICIES[name] = kind
        return kind

    return add


@register('crossings')
class Tracker:
    """An entry's correlation of failures by job and instance.

    Parameters
    ----------
    max_share : float, optional
        The largest part of the fleet in quarantine at any time.

    Attributes
    ----------
    max_failures : int
        Limit on failed and unproved starts on one instance.
    """

    max_failures = MAX_FAILURES

    def __init__(self, max_share: float = MAX_SHARE) -> None:
        self._max_share = max_share
        self._outcomes: dict[str, collections.deque[_Outcome]] = {}
        self._jobs: dict[str, _JobHistory] = {}
        self._quarantined: dict[str, _Quarantine] = {}

    def note(self, job: str, instance: str, failed: bool) -> None:
        """Record the outcome of one attempt."""
        outcomes = self._outcomes.setdefault(
            instance, collections.deque(maxlen=_MAX_OUTCOMES)
        )
        outcomes.append(_Outcome(job, failed))
        history = self._jobs.setdefault(job, _JobHistory())
        if history.runs >= _MAX_JOB_RUNS:
            history.halve()
        history.runs += 1
        if failed:
            previous = history.failures.get(instance, 0.0)
            history.failures[instance] = previous + 1

    def judge(self, instance: str) -> Verdict:
        """Assess an instance relative to its jobs' results elsewhere.

        The log odds are a cumulative sum (CUSUM) that never falls below
        the prior: an instance that breaks after a week without failures
        is assessed by its outcomes since, not by that week.
        """
        log_odds = _PRIOR_LOG_ODDS
        streak: list[str] = []
        for outcome in self._outcomes.get(instance, ()):
            rate = self.estimate_failures(outcome.job, excluding=instance)
            if outcome.failed:
                log_odds += math.log(_BAD_INSTANCE_FAILURE_RATE / rate)
                streak.append(outcome.job)
            else:
                log_odds += math.log(
                    (1 - _BAD_INSTANCE_FAILURE_RATE) / (1 - rate)
                )
                streak.clear()
            log_odds = max(log_odds, _PRIOR_LOG_ODDS)
        return Verdict(log_odds, len(streak), len(set(streak)))

    def estimate_failures(self, job: str, excluding: str = '') -> float:
        """Return a job's failure rate, excluding one instance.

        The exclusion separates the two causes: a bad instance's own
        failures would otherwise make each of its jobs look faulty.
        """
        history = self._jobs.get(job, _JobHistory())
        excluded = history.failures.get(excluding, 0.0)
        failures = sum(history.failures.values()) - excluded
        rate = (failures + _PRIOR_JOB_FAILURES) / (
            max(history.runs - excluded, failures) + _PRIOR_JOB_RUNS
        )
        return min(max(rate, _MIN_FAILURE_RATE), 1 - _MIN_FAILURE_RATE)

    def is_job_faulty(self, job: str) -> bool:
        """Whether a job failed on several healthy instances."""
        failed = self._jobs.get(job, _JobHistory()).failures
        good = [name for name in failed if not self.judge(name).is_bad]
        return len(good) > 1 and self.estimate_failures(job) > 0.5

    def select(
        self, reported: t.Mapping[str, int], now: float
    ) -> dict[str, Verdict]:
        """Return the instances in quarantine now, worst first.

        Parameters
        ----------
        reported : mapping of str to int
            The consecutive failures that each live instance reports;
            they include tasks from other entries.
        now : float
            Monotonic seconds.
        """
        suspects = {
            name: verdict
            for name, failures in reported.items()
            if self._is_suspect(verdict := self.judge(name), failures)
        }
        worst = sorted(
            suspects,
            key=lambda name: (
                -reported[name],
                -suspects[name].log_odds,
                name,
            ),
        )
        limit = self._find_max_quarantined(len(reported))
        chosen = {name: suspects[name] for name in worst[:limit]}
        for name in set(self._quarantined) - set(chosen):
            del self._quarantined[name]
            logs.write_event('quarantine-ended', instance=name)
        for name in chosen.keys() - self._quarantined.keys():
            self._quarantined[name] = _Quarantine(now, now)
            _log_quarantine(name, chosen[name], reported[name], len(suspects))
        return chosen

    def _find_max_quarantined(self, live: int) -> int:
        minimum = 1 if live > 1 else 0
        return max(math.floor(live * self._max_share), minimum)

    def count_quarantined(self) -> int:
        """Return how many instances are in quarantine."""
        return len(self._quarantined)

    def may_test(self, instance: str, now: float) -> bool:
        """Whether a canary may test an instance in quarantine now."""
        quarantine = self._quarantined.get(instance)
        return (
            quarantine is not None
            and now - quarantine.tested_at >= quarantine.delay
        )

    def note_canary(self, instance: str, now: float) -> None:
        """Record that a canary was sent and double the next delay."""
        quarantine = self._quarantined.setdefault(
            instance, _Quarantine(now, now)
        )
        quarantine.tested_at = now
        quarantine.delay = min(quarantine.delay * 2, MAX_CANARY_DELAY_SECONDS)

    def _is_suspect(self, verdict: Verdict, failures: int) -> bool:
        if verdict.is_bad:
            return True
        # Faulty jobs make a healthy instance report failures. An entry
        # that observed all of them has already attributed them.
        return failures >= MAX_FAILURES and verdict.streak < failures


def _log_quarantine(
    instance: str, verdict: Verdict, reported: int, suspects: int
) -> None:
    logs.write_warning(
        'quarantine',
        instance=instance,
        log_odds=verdict.log_odds,
        streak=verdict.streak,
        jobs=verdict.jobs,
        reported=reported,
        suspects=suspects,
    )


@register('none')
class NullTracker(Tracker):
    """Never puts an instance in quarantine; the baseline."""

    max_failures = 1 << 30

    def select(
        self, reported: t.Mapping[str, int], now: float
    ) -> dict[str, Verdict]:
        """Return no instance, whatever was reported."""
        return {}

    def is_job_faulty(self, job: str) -> bool:
        """Return false for every job."""
        return False
