import signal

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))
# Clocks that read less and more than that of any start before.
EARLIER_CLOCK_MS = 1
LATER_CLOCK_MS = 2_000_000


def count_done(starts):
    """Return how often each task has been executed to its end."""
    counts = {}
    for start in starts:
        counts[start['task']] = counts.get(start['task'], 0)
        counts[start['task']] += start['how'] == 'done'
    return counts


@pytest.mark.processes
class RestartTest(base.TestCase):
    """Agents crash and start again under the ids that they had."""

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def start(self, running, *names):
        await running.start_entry('entry-1')
        for name in names:
            await running.start_instance(name)

    async def restart_agents(self, running, **faults):
        for runner in running.runners.values():
            await running.set_faults(runner, restart=True, **faults)

    async def restart_agents_and_wait(self, running, **faults):
        """Restart all agents and wait until their sidecars know it."""
        processes = [
            running.running.processes[name] for name in running.runners
        ]
        counts = [len(one.find('worker-boot')) for one in processes]
        await self.restart_agents(running, **faults)
        for process, count in zip(processes, counts, strict=True):
            await process.wait_event('worker-boot', count + 1)

    async def wait_running(self, running, id, count, seconds=20.0):
        """Wait until this many tasks of a job are running."""
        with anyio.fail_after(seconds):
            while True:
                starts = await running.list_starts()
                own = [s for s in starts if s['task'].startswith(id)]
                if sum(not start['ended'] for start in own) == count:
                    return
                await anyio.sleep(0.05)

    async def complete(self, running, id, *counts, **fields):
        body = deployed.make_body(*counts, **fields)
        await running.submit('entry-1', id, body)
        await running.wait_state('entry-1', id, 'complete')

    async def assert_done_once(self, running):
        starts = await running.list_starts()
        self.assertEqual([], deployed.find_overlaps(starts))
        self.assertEqual({1}, set(count_done(starts).values()))

    async def test_ends_after_a_restart_are_read(self):
        """A completed task is executed again after its agent restarted.

        Its end was discarded unread: its number had been acknowledged to
        the start before.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            await self.complete(running, IDS[0], 12)
            await self.restart_agents(running, clock_ms=LATER_CLOCK_MS)
            for id in IDS[1:4]:
                await self.complete(running, id, 6, payload='300')
            await self.assert_done_once(running)

    async def test_a_watcher_runs_again_after_a_restart(self):
        """A watcher never runs again after its agent restarted.

        The agent's clock read less than before, and its lists of runs were
        ignored as old ones.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1')
            body = deployed.make_body(2, payload='lasts', longRunning=True)
            await running.submit('entry-1', IDS[0], body)
            await running.wait_starts(2)
            await self.restart_agents(running, clock_ms=EARLIER_CLOCK_MS)
            await running.wait_starts(4, 8.0)
            await self.wait_running(running, IDS[0], 2, 1.0)

    async def test_a_late_start_runs_nothing_twice(self):
        """A task runs on two instances after its agent restarted.

        Its start got no answer and was executed by the agent's next start,
        to which it seemed to be meant.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            await self.complete(running, IDS[0], 4)
            for runner in running.runners.values():
                await running.set_faults(
                    runner, late_starts=6, late_seconds=1.5
                )
            body = deployed.make_body(6, payload='700')
            await running.submit('entry-1', IDS[1], body)
            await anyio.sleep(0.3)
            await self.restart_agents(running, clock_ms=EARLIER_CLOCK_MS)
            await running.wait_state('entry-1', IDS[1], 'complete')
            await anyio.sleep(2.0)
            starts = await running.list_starts()
            self.assertEqual([], deployed.find_overlaps(starts))

    async def test_a_late_acknowledgement_discards_no_end(self):
        """A completed task is executed again after its agent restarted.

        A call that acknowledged ends of the start before got no answer and
        was executed when the present one had ends of its own.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            for runner in running.runners.values():
                await running.set_faults(
                    runner, late_holds=1, late_seconds=1.0
                )
            await self.complete(running, IDS[0], 16)
            await self.restart_agents(running, clock_ms=LATER_CLOCK_MS)
            for id in IDS[1:3]:
                await self.complete(running, id, 8, payload='300')
            await self.assert_done_once(running)

    async def test_all_agents_restart_twice_behind_a_silent_store(self):
        """Tasks of a zone run twice after its agents restarted twice."""
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            body = deployed.make_body(2, payload='lasts', longRunning=True)
            await running.submit('entry-1', IDS[0], body)
            await self.complete(running, IDS[1], 12, payload='200')
            await running.set_faults(running.store, down='silent')
            await self.restart_agents(running, clock_ms=LATER_CLOCK_MS)
            await anyio.sleep(0.7)
            await self.restart_agents(running, clock_ms=EARLIER_CLOCK_MS)
            await anyio.sleep(0.7)
            await running.set_faults(running.store)
            await self.complete(running, IDS[2], 12, payload='200')
            starts = await running.list_starts()
            self.assertEqual([], deployed.find_overlaps(starts))
            await self.wait_running(running, IDS[0], 2)

    async def test_leader_and_sidecar_change_with_the_agent(self):
        """A task runs on two instances.

        Neither the next leader nor the restarted sidecar has known the
        agent's start before.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            await running.start_entry('entry-2')
            await self.complete(running, IDS[0], 8)
            body = deployed.make_body(8, payload='1500')
            await running.submit('entry-2', IDS[1], body)
            await running.wait_starts(16)
            control = running.running.processes['side-1'].find('listening')
            await running.running.processes['side-1'].stop(signal.SIGKILL)
            await running.running.processes['entry-1'].stop(signal.SIGKILL)
            await self.restart_agents(running, clock_ms=LATER_CLOCK_MS)
            await running.start_sidecar('side-1', control[-1]['control'])
            await running.wait_state('entry-2', IDS[1], 'complete')
            await running.submit('entry-2', IDS[2], deployed.make_body(8))
            await running.wait_state('entry-2', IDS[2], 'complete')
            await self.assert_done_once(running)

    async def test_an_agent_that_reports_no_birth_gets_new_ids(self):
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            older = {'new_ids': True, 'sends_born': False}
            await self.restart_agents(running, **older)
            await self.complete(running, IDS[0], 12)
            await self.restart_agents(running, **older)
            await self.complete(running, IDS[1], 12)
            await self.assert_done_once(running)

    async def test_a_permit_is_asked_for_each_start(self):
        """A step never starts: the advisor does not know its workers."""
        async with self.deploy() as running:
            await running.start_advisor()
            await self.start(running, 'side-1', 'side-2')
            for id in IDS[:2]:
                await self.restart_agents_and_wait(running, needs_ticket=True)
                await self.complete(running, id, 3)
            await self.assert_done_once(running)
