"""Agents that answer nothing while their sidecars restart, in virtual time."""

from standins import platform_deployment
from tests import restartplay

ID = '00000000000000aa'
# Longer than a lease with its margin, and a heartbeat.
LAPSE_SECONDS = 6.0


class SilentAgentsTest(restartplay.SiteTestCase):
    def run_task(self, payload):
        """Start a task; return its agent and its sidecar's address."""
        self.site.submit(ID, payload, 1, long_running=payload == 'lasts')
        self.site.run_for(1.0)
        address = self.find_address()
        return self.site.agents[address], address

    def restart_sidecar_of_silent_agent(self, payload):
        agent, address = self.run_task(payload)
        agent.silent = True
        self.site.run_for(1.5)
        self.site.restart_sidecar(address)
        self.site.run_for(1.0)
        return agent

    def test_a_task_outlives_its_agent_and_its_sidecar(self):
        """A task is never started again: no list of its runs ever comes."""
        agent = self.restart_sidecar_of_silent_agent('30')
        agent.leave_for_good()
        self.site.run_for(LAPSE_SECONDS)
        self.assertNotEqual(agent, self.site.agents[self.find_address()])
        self.site.run_for(31.0)
        self.assertEqual(set(), self.site.list_unfinished())

    def test_a_task_outlives_a_leader_as_well(self):
        """A task is never started again by the next leader either."""
        agent = self.restart_sidecar_of_silent_agent('lasts')
        agent.leave_for_good()
        self.site.change_leader()
        self.site.run_for(LAPSE_SECONDS)
        self.assertNotEqual(agent, self.site.agents[self.find_address()])

    def test_a_silent_agent_runs_on_until_its_lease_ends(self):
        """A task runs in two places: its first lease was not waited for."""
        self.restart_sidecar_of_silent_agent('lasts')
        self.site.run_for(LAPSE_SECONDS)
        starts = self.site.list_starts()
        self.assertEqual(2, len(starts))
        self.assertEqual([], platform_deployment.find_overlaps(starts))

    def test_a_restarted_sidecar_knows_no_earlier_lease(self):
        """A task runs in two places: its agent answers once and no more."""
        agent, address = self.run_task('lasts')
        agent.silent_after_poll = True
        self.site.restart_sidecar(address)
        # The leader attaches and is cut off before it allows any lease.
        self.site.run_for(0.3)
        self.site.cut.add(address)
        while not agent.silent:
            self.site.run_for(0.02)
        self.site.run_for(1.1)
        self.site.cut.discard(address)
        self.site.run_for(LAPSE_SECONDS)
        starts = self.site.list_starts()
        self.assertEqual(2, len(starts))
        self.assertEqual([], platform_deployment.find_overlaps(starts))

    def test_work_done_without_a_leader_is_not_done_again(self):
        """Done tasks run again: polls without authority count as silence."""
        _, address = self.run_task('1.5')
        self.site.cut.update(self.site.agents)
        self.site.store_silent = True
        self.site.restart_sidecar(address)
        self.site.run_for(LAPSE_SECONDS)
        self.site.cut.clear()
        self.site.store_silent = False
        self.site.change_leader()
        self.site.run_for(LAPSE_SECONDS)
        self.assertEqual(set(), self.site.list_unfinished())
        self.assertEqual(1, len(self.site.list_starts()))
