"""Agents that list only some of their ends at a time, in virtual time."""

from persimmonsail.jobs import specification
from standins import platform_deployment
from tests import restartplay

ID = '00000000000000aa'
COUNT = 60
MAX_LISTED = 4
SMALL = specification.Size(100, 10)


class UnlistedEndsTest(restartplay.SiteTestCase):
    def setUp(self):
        super().setUp()
        for agent in self.site.agents.values():
            agent.max_ends_listed = MAX_LISTED

    def end_behind_a_silent_store(self):
        """End all tasks of a job while no end can be committed."""
        self.site.submit(ID, '1', COUNT, size=SMALL)
        self.site.run_for(0.8)
        self.assertEqual(COUNT, len(self.site.list_starts()))
        self.site.store_silent = True
        self.site.run_for(1.0)

    def assert_done_once(self):
        self.site.store_silent = False
        self.site.run_for(10.0)
        self.assertEqual(set(), self.site.list_unfinished())
        starts = self.site.list_starts()
        self.assertEqual([], platform_deployment.find_overlaps(starts))
        self.assertEqual({'done'}, {start['how'] for start in starts})
        self.assertEqual(COUNT, len(starts))

    def test_tasks_with_unlisted_ends_are_not_run_again(self):
        """Done tasks run again: ends that are not listed yet count as none."""
        self.end_behind_a_silent_store()
        self.assert_done_once()

    def test_a_new_leader_waits_for_unlisted_ends(self):
        """Done tasks run again: a new leader knows nothing of their ends."""
        self.end_behind_a_silent_store()
        self.site.change_leader()
        self.assert_done_once()

    def test_a_restarted_sidecar_waits_for_unlisted_ends(self):
        """Done tasks run again: a restarted sidecar lists the first ends."""
        self.end_behind_a_silent_store()
        for address in self.site.agents:
            self.site.restart_sidecar(address)
        self.site.run_for(1.0)
        self.assert_done_once()

    def test_a_stop_is_settled_by_the_end_of_its_run(self):
        """A done task runs again: its stop was answered, its end unlisted."""
        self.end_behind_a_silent_store()
        self.site.stop_all()
        self.site.run_for(1.0)
        self.assert_done_once()
