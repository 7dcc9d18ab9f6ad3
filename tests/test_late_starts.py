"""Starts that are executed long after they were sent, in virtual time."""

from standins import platform_deployment
from tests import restartplay

ID = '00000000000000aa'


class LateStartsTest(restartplay.SiteTestCase):
    INSTANCES = 1

    def setUp(self):
        super().setUp()
        (self.agent,) = self.site.agents.values()

    def execute_late(self, seconds, restart_seconds):
        """Execute a start late, on an agent that has restarted before."""
        self.agent.late_calls = 1
        self.agent.late_seconds = seconds
        self.site.submit(ID, '0.5', 1)
        self.site.run_for(seconds - restart_seconds)
        self.assertEqual(set(), self.site.list_unfinished())
        self.agent.restart(2, 1_000)
        self.site.run_for(restart_seconds + 1.0)

    def assert_done_once(self):
        starts = self.site.list_starts()
        self.assertEqual([], platform_deployment.find_overlaps(starts, True))

    def test_a_late_start_repeats_nothing(self):
        """A done task runs again: its start was executed late."""
        self.execute_late(6.0, 0.9)
        self.assert_done_once()

    def test_a_start_that_is_later_than_expected_repeats_nothing(self):
        """A done task runs again: its start was executed after 10 s."""
        self.execute_late(11.9, 0.9)
        self.assert_done_once()
