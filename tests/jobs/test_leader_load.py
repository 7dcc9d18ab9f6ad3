import statistics
from unittest import mock

from persimmonsail.jobs import election
from tests import base
from tools.emulator import day
from tools.emulator import load
from tools.emulator import metered

# A renewal that is later than this costs the leader its term when the next
# one is as late.
MOST_LAG = 0.25 * (election.LEASE_SECONDS - 2 * election.RENEW_SECONDS)


class LeaderLoadTest(base.TestCase):
    """Replays the first seconds of a calm day on a large fleet.

    Every sidecar reports twice a second and more when runs end, callers
    hand in 40 jobs a second, and the leader pays for what it computes.
    """

    def play(self, instances, lead=6.0, seconds=4.0):
        with (
            mock.patch.object(load, 'DAY_SECONDS', seconds),
            mock.patch.object(day, '_LEAD_SECONDS', lead),
            mock.patch.object(day, '_AFTER_SECONDS', 0.0),
        ):
            played = metered.MeteredDay(metered.make_large(instances), 1)
            played.play()
        return played

    def test_a_leader_keeps_up_with_a_large_fleet(self):
        """Half of all checks begin after 3 s, and leaders change by turns.

        The leader compared each gauge with all others and rated each
        instance for each task, fell behind, renewed its lease too late
        and was replaced by one that knew less and had more to do.
        """
        played = self.play(160)
        # 3.4 of a processor and 20 s behind, one by one; 0.34 as vectors.
        self.assertLess(sum(played.used) / 10.0, 0.5)
        self.assertLess(max(played.lags), MOST_LAG)
        waits = sorted(played.starts.values())
        self.assertGreater(len(waits), 100)
        self.assertLess(statistics.median(waits), 0.1)

    def test_a_leader_loads_the_largest_fleet(self):
        """No leader lasts on a fleet of the size to design for.

        Hundreds of watchers and builds wait when it begins, and all
        instances are empty.
        """
        played = self.play(840, lead=2.0, seconds=1.0)
        self.assertLess(sum(played.used) / 3.0, 1.0)
        self.assertLess(max(played.lags), MOST_LAG)
