"""The interval of the messages that extend the leases of runs."""

# A lease is extended by a sidecar's report, the leader's reply and the
# renewal, in sequence. With this many of each per lease, a delay of half the
# lease costs no run; a lease of 1 s renewed at the interval for one of 6 s
# expired when a renewal was late by 0.15 s.
_RENEWALS_PER_LEASE = 8


def choose_period(lease_seconds: float, max_seconds: float) -> float:
    """Return the seconds between two renewals, reports or replies.

    Parameters
    ----------
    lease_seconds : float
        How long a lease lasts.
    max_seconds : float
        Upper bound of the interval.
    """
    return min(max_seconds, lease_seconds / _RENEWALS_PER_LEASE)
