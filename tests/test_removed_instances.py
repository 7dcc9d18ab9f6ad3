"""Instances that are removed for good, in virtual time."""

from persimmonsail.jobs import mandate
from tests import restartplay

ID = '00000000000000aa'
# A task that lasts runs again within 6 s, and for 3 s more it may be away.
AWAY_SECONDS = 9.0
LEASE_SECONDS = restartplay.LEASE_SECONDS


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


class IsolatedLeaderTest(restartplay.SiteTestCase):
    """A leader lives on, cut off from the store and from its successor."""

    def isolate(self, *entries):
        """Cut the leader off with its task's instance and these entries."""
        self.site.submit(ID, 'lasts', 1, long_running=True)
        self.site.run_for(2.0)
        leader = self.site.entry_by_epoch[self.site.epoch]
        self.site.isolated = {self.find_address(), leader, *entries}
        self.site.run_for(0.5)
        self.site.change_leader()

    def find_other_entry(self):
        leader = self.site.entry_by_epoch[self.site.epoch]
        return next(name for name in restartplay.ENTRIES if name != leader)

    def assert_never_twice(self):
        first, second = self.site.list_starts()
        self.assertTrue(first['ended'])
        self.assertLess(first['ended'], second['began'])

    def test_a_task_of_an_isolated_leader_runs_again_in_time(self):
        """A task runs twice, or stays away, as its old leader lives on."""
        self.isolate()
        self.site.run_for(AWAY_SECONDS)
        self.assert_never_twice()

    def test_an_isolated_leader_with_most_entries_is_awaited(self):
        """A task runs twice: most entries confirm an isolated leader."""
        self.isolate(self.find_other_entry())
        self.site.run_for(AWAY_SECONDS)
        (start,) = self.site.list_starts()
        # Its leader goes on for as long as it may without the store.
        self.assertFalse(start['ended'])
        self.site.run_for(AWAY_SECONDS)
        self.assert_never_twice()

    def test_a_second_change_of_leader_forgets_no_isolated_one(self):
        """A task runs twice, as the first successor's leases are awaited."""
        self.isolate(self.find_other_entry())
        self.site.run_for(1.0)
        self.site.change_leader()
        self.site.run_for(2 * AWAY_SECONDS)
        self.assert_never_twice()

    def test_an_outage_of_the_store_costs_no_work(self):
        """Work ends with its leases while no entry reaches the store."""
        self.site.submit(ID, 'lasts', 1, long_running=True)
        self.site.run_for(2.0)
        self.site.store_silent = True
        self.site.run_for(mandate.GRACE_SECONDS)
        self.site.store_silent = False
        self.site.run_for(2.0)
        (start,) = self.site.list_starts()
        self.assertFalse(start['ended'])

    def test_an_outage_ends_the_work_of_a_leader_without_others(self):
        """Work goes on under a leader that none of the others hears."""
        self.isolate()
        self.site.run_for(mandate.CONFIRMATION_SECONDS + LEASE_SECONDS)
        (start, *_) = self.site.list_starts()
        self.assertTrue(start['ended'])
