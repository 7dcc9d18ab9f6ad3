"""How often what keeps leases of runs alive is sent."""

# A lease goes on by a sidecar's report, the leader's word on it and the
# renewal, one after the other. With so many of each in its time, one that is
# late by half of the lease costs no run; a lease of 1 s that was renewed as
# rarely as one of 6 s ran out with a renewal that was late by 0.15 s.
_RENEWALS = 8


def choose_period(lease_seconds: float, longest: float) -> float:
    """Return the seconds between two renewals, reports or words.

    Parameters
    ----------
    lease_seconds : float
        How long a lease lasts.
    longest : float
        Seconds that are often enough for anything else.
    """
    return min(longest, lease_seconds / _RENEWALS)
