"""Instances that are removed for good, in virtual time."""

from tests import restartplay

ID = '00000000000000aa'
# A task that lasts runs again within 6 s, and for 3 s more it may be away.
AWAY_SECONDS = 9.0


class RemovedInstancesTest(restartplay.SiteTestCase):
    def setUp(self):
        super().setUp()
        self.site.submit(ID, 'lasts', 1, long_running=True)
        self.site.run_for(1.0)

    def remove_instance(self):
        address = self.find_address()
        self.site.agents[address].leave_for_good()
        self.site.cut.add(address)

    def assert_runs_again(self):
        self.site.run_for(AWAY_SECONDS)
        running = [s for s in self.site.list_starts() if not s['ended']]
        self.assertEqual([2], [start['run'] for start in running])

    def test_a_watcher_of_a_removed_instance_runs_again(self):
        """A watcher stays away although other instances are free."""
        self.remove_instance()
        self.assert_runs_again()

    def test_a_watcher_runs_again_although_the_leader_ends_as_well(self):
        """A watcher stays away while a new leader waits for an old one."""
        self.remove_instance()
        self.site.change_leader()
        self.assert_runs_again()
