import contextlib
import dataclasses
import statistics
from unittest import mock

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import agent
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import leases
from persimmonsail.jobs import worker
from tests import base


def make_heartbeat(boot, sequence=1) -> worker.Heartbeat:
    return worker.Heartbeat(boot=boot, sequence=sequence, service='planner')


class IdleWorker:
    """A worker's agent that runs nothing and records lease renewals."""

    def __init__(self):
        self.renewed_at = []
        self.calls = []

    async def start(self, boot, epoch, order):
        self.calls.append('start')
        return round(clock.read() * 1000)

    async def stop(self, boot, epoch, task, run):
        self.calls.append('stop')

    async def poll(self, boot, epoch, acknowledged, until_ms=None, wait=0.0):
        await anyio.sleep(wait)
        if until_ms is not None:
            self.renewed_at.append(clock.read())
        return worker.Snapshot(round(clock.read() * 1000), (), ())


class RestartingWorker(IdleWorker):
    """A worker's agent that leaves starts or holds unanswered."""

    def __init__(self, *unanswered):
        super().__init__()
        self.unanswered = unanswered
        self.discarded = []

    def _answer(self, name):
        if name in self.unanswered:
            raise exceptions.WorkerUnavailable('no answer')

    async def start(self, boot, epoch, order):
        self._answer('start')
        return await super().start(boot, epoch, order)

    async def stop(self, boot, epoch, task, run):
        self.calls.append(('stop', boot, task, run))
        self._answer('stop')

    async def poll(self, boot, epoch, acknowledged, until_ms=None, wait=0.0):
        if acknowledged:
            self.discarded.append((boot, acknowledged))
            self._answer('discard')
        return await super().poll(boot, epoch, acknowledged, until_ms, wait)


class AgentTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.agent = agent.Agent(None, 6.0)

    @property
    def boot(self):
        incarnation = self.agent._incarnation
        return incarnation.boot if incarnation else ''

    def test_a_late_heartbeat_ends_no_boot(self):
        """A long-running task runs twice after a network partition.

        A delayed heartbeat of an earlier boot reaches a restarted sidecar
        that never knew that boot; the current boot is considered ended, and
        its task is started elsewhere.
        """
        self.agent.note_heartbeat(make_heartbeat('new', 5))
        self.agent.note_heartbeat(make_heartbeat('old', 9))
        self.assertEqual('new', self.boot)
        self.assertEqual([], self.agent._ended_boots)

    def make_foreign(self, sequence):
        return dataclasses.replace(
            make_heartbeat('first', sequence), service='other', leaving=True
        )

    def test_nothing_of_a_foreign_heartbeat_is_kept(self):
        """An agent gets no work: its own heartbeats are taken for old ones.

        Another program had sent one under its id, with a high number.
        """
        self.agent.note_heartbeat(make_heartbeat('first', 5))
        self.agent.note_heartbeat(self.make_foreign(900))
        self.agent.note_heartbeat(make_heartbeat('first', 6))
        heartbeat = self.agent._incarnation.heartbeat
        self.assertEqual(make_heartbeat('first', 6), heartbeat)

    def test_an_agent_is_accepted_after_a_foreign_heartbeat(self):
        """An agent gets no work: another program's heartbeat came first."""
        with mock.patch.object(clock, 'read', return_value=100.0) as read:
            self.agent.note_heartbeat(self.make_foreign(900))
            for second in range(8):
                read.return_value = 100.0 + second
                self.agent.note_heartbeat(make_heartbeat('first', 5 + second))
        heartbeat = self.agent._incarnation.heartbeat
        self.assertEqual(make_heartbeat('first', 12), heartbeat)

    def test_a_successor_takes_over_once_the_boot_has_ended(self):
        self.agent.note_heartbeat(make_heartbeat('first'))
        self.agent.note_heartbeat(make_heartbeat('second'))
        self.agent.note_boot_ended('first')
        self.assertEqual('second', self.boot)
        self.agent.note_heartbeat(make_heartbeat('first', 2))
        self.assertEqual('second', self.boot)

    def test_an_earlier_heartbeat_changes_nothing(self):
        self.agent.note_heartbeat(make_heartbeat('first', 5))
        self.agent.note_heartbeat(make_heartbeat('first', 4))
        self.assertEqual(5, self.agent._incarnation.heartbeat.sequence)

    def test_an_ended_boot_is_forgotten(self):
        self.agent.note_heartbeat(make_heartbeat('first'))
        self.agent.note_boot_ended('first')
        self.assertEqual('', self.boot)

    def test_leases_of_an_earlier_process_have_not_lapsed(self):
        """A task runs in two places after its sidecar has restarted."""
        started_at = clock.read()
        sidecar_agent = agent.Agent(None, 6.0)
        for boot in ('first', 'second'):
            sidecar_agent.note_heartbeat(make_heartbeat(boot))
            incarnation = sidecar_agent._incarnation
            self.assertFalse(incarnation.is_lapsed(started_at + 6.0))
            self.assertTrue(incarnation.is_lapsed(clock.read() + 7.0))
            sidecar_agent.note_boot_ended(boot)

    async def test_a_delayed_order_is_not_executed(self):
        """A resumed sidecar starts a task seconds after its cancel."""
        self.agent.note_heartbeat(make_heartbeat('first'))
        link = self.agent._link = agent._Link()
        orders = fleet_pb2.Orders(sequence=1)
        orders.starts.add(
            task='a.0.0.0', run=1, boot='first', deadline=clock.read() - 0.01
        )
        self.agent._apply_orders(link, orders)
        self.assertEqual(['expired'], [row.reason for row in link.barred])

    async def test_a_start_sent_with_its_stop_is_not_executed(self):
        """A cancelled task starts: its start arrived with its stop."""
        idle_worker = IdleWorker()
        sidecar_agent = agent.Agent(idle_worker, 6.0)
        sidecar_agent.note_heartbeat(make_heartbeat('first'))
        sidecar_agent._authority.until = clock.read() + 60.0
        orders = fleet_pb2.Orders(sequence=1)
        orders.starts.add(task='a.0.0.0', run=1, boot='first')
        orders.stops.add(task='a.0.0.0', run=1)
        link = sidecar_agent._link = agent._Link()
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                sidecar_agent._group = group
                await sidecar_agent._executor.poll(sidecar_agent._incarnation)
                sidecar_agent._apply_orders(link, orders)
        self.assertEqual(['stop'], idle_worker.calls)
        self.assertEqual(['absent'], [row.reason for row in link.barred])

    async def restart_after(
        self, fake_worker, orders, wanted=lambda _: True, boot='i@2'
    ):
        """Restart the agent once orders were sent to it.

        Parameters
        ----------
        fake_worker : RestartingWorker
            The agent.
        orders : fleet_pb2.Orders
            Orders to its first start, ``i@1``.
        wanted : callable, optional
            Returns whether the test is over.
        boot : str, optional
            The boot that the agent starts anew as.
        """
        sidecar_agent = agent.Agent(fake_worker, 6.0)
        sidecar_agent.note_heartbeat(make_heartbeat('i@1'))
        sidecar_agent._authority.until = clock.read() + 60.0
        sidecar_agent._link = agent._Link()
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                sidecar_agent._group = group
                executor = sidecar_agent._executor
                await executor.poll(sidecar_agent._incarnation)
                sidecar_agent._apply_orders(sidecar_agent._link, orders)
                await anyio.sleep(0.1)
                with contextlib.suppress(exceptions.WorkerUnavailable):
                    await executor.poll(sidecar_agent._incarnation)
                sidecar_agent.note_boot_ended('i@1')
                sidecar_agent.note_heartbeat(make_heartbeat(boot))
                with anyio.move_on_after(1.0):
                    while not wanted(sidecar_agent):  # noqa: ASYNC110
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        return sidecar_agent

    async def test_a_late_start_is_barred_at_the_next_boot(self):
        """A task runs on two instances after its agent restarted.

        A start without an answer is executed by the agent's next boot,
        which knows of no run that was stopped or ended before.
        """
        fake_worker = RestartingWorker('start', 'stop')
        orders = fleet_pb2.Orders(sequence=1)
        orders.starts.add(task='a.0.0.0', run=1, boot='i', born_ms=1)
        barred = ('stop', 'i@2', 'a.0.0.0', 1)
        sidecar_agent = await self.restart_after(
            fake_worker, orders, lambda _: fake_worker.calls.count(barred) > 1
        )
        report = sidecar_agent._build_report(agent._Link())
        self.assertEqual(('i', 2), (report.boot, report.born_ms))
        self.assertEqual(['i@1'], list(report.ended_boots))
        self.assertEqual([], list(report.over))
        self.assertEqual(['a.0.0.0'], [row.task for row in report.pending])

    async def test_an_acknowledgement_ends_with_its_boot(self):
        """Ends of a restarted agent are discarded unread."""
        fake_worker = RestartingWorker()
        orders = fleet_pb2.Orders(
            sequence=1, boot='i', born_ms=1, acknowledged=7
        )
        sidecar_agent = await self.restart_after(fake_worker, orders)
        incarnation = sidecar_agent._incarnation
        await sidecar_agent._executor.poll(incarnation)
        sidecar_agent._apply_orders(agent._Link(), orders)
        await sidecar_agent._executor.poll(incarnation)
        self.assertEqual([('i@1', 7)], fake_worker.discarded)

    async def test_a_boot_whose_ends_may_be_discarded_is_not_used(self):
        """Ends of a restarted agent are discarded unread.

        A call to its earlier boot that acknowledged ends got no answer and
        is executed late.
        """
        fake_worker = RestartingWorker('discard')
        orders = fleet_pb2.Orders(
            sequence=1, boot='i', born_ms=1, acknowledged=7
        )
        sidecar_agent = await self.restart_after(fake_worker, orders)
        link = agent._Link()
        self.assertTrue(sidecar_agent._build_report(link).deferred)
        orders.starts.add(task='a.0.0.0', run=1, boot='i', born_ms=2)
        sidecar_agent._link = link
        sidecar_agent._apply_orders(link, orders)
        self.assertEqual(['deferred'], [row.reason for row in link.barred])
        sidecar_agent._incarnation.usable_at = clock.read()
        self.assertFalse(sidecar_agent._build_report(link).deferred)

    async def test_another_agent_is_used_at_once(self):
        """It refuses calls that name the agent before."""
        fake_worker = RestartingWorker('start', 'discard')
        orders = fleet_pb2.Orders(
            sequence=1, boot='i', born_ms=1, acknowledged=7
        )
        orders.starts.add(task='a.0.0.0', run=1, boot='i', born_ms=1)
        sidecar_agent = await self.restart_after(
            fake_worker, orders, boot='k@3'
        )
        report = sidecar_agent._build_report(agent._Link())
        self.assertEqual('k', report.boot)
        self.assertFalse(report.deferred)
        self.assertEqual([], list(report.pending))

    def test_a_late_departure_ends_no_later_boot(self):
        """A watcher runs on two instances.

        The announcement of its agent's earlier boot arrives after the agent
        has started anew; it names only the agent.
        """
        self.agent.note_heartbeat(make_heartbeat('i@1'))
        self.agent.note_boot_ended('i@1')
        self.agent.note_heartbeat(make_heartbeat('i@2'))
        self.agent.note_departure('i')
        self.assertEqual('i@2', self.boot)

    def test_a_drained_agent_has_ended_when_it_departs(self):
        leaving = dataclasses.replace(make_heartbeat('i@1', 2), leaving=True)
        self.agent.note_heartbeat(make_heartbeat('i@1'))
        self.agent.note_heartbeat(leaving)
        self.agent.note_departure('j')
        self.assertEqual('i@1', self.boot)
        self.agent.note_departure('i')
        self.assertEqual(['i@1'], self.agent._ended_boots)
        self.assertEqual([], list(self.agent._crashes))

    def test_an_agent_without_births_departs_at_once(self):
        self.agent.note_heartbeat(make_heartbeat('i'))
        self.agent.note_departure('i')
        self.assertEqual('', self.boot)

    def test_a_leader_of_an_earlier_version_names_the_agent(self):
        orders = fleet_pb2.Orders(boot='i')
        self.assertTrue(agent._is_meant_for(orders, 'i@1'))
        orders.born_ms = 2
        self.assertFalse(agent._is_meant_for(orders, 'i@1'))
        self.assertTrue(agent._is_meant_for(orders, 'i@2'))

    async def test_a_leader_of_an_earlier_version_keeps_the_present_boots_runs(
        self,
    ):
        """All runs of a restarted agent are abandoned at each report.

        The earlier leader compares ids with those of ended boots.
        """
        self.agent.note_heartbeat(make_heartbeat('i@1'))
        self.agent.note_boot_ended('i@1')
        link = agent._Link()
        self.assertEqual(['i'], list(self.agent._build_report(link).over))
        self.agent.note_heartbeat(make_heartbeat('i@2'))
        self.assertEqual([], list(self.agent._build_report(link).over))

    def test_only_an_unannounced_end_is_a_crash(self):
        leaving = dataclasses.replace(make_heartbeat('third'), leaving=True)
        self.agent.note_heartbeat(make_heartbeat('first'))
        self.agent.note_boot_ended('first')
        self.agent.note_heartbeat(make_heartbeat('second'))
        self.agent.note_boot_ended('second', announced=True)
        self.agent.note_heartbeat(leaving)
        self.agent.note_boot_ended('third')
        self.assertEqual(
            ['first'], [crash.boot for crash in self.agent._crashes]
        )

    def test_an_agent_behind_a_cut_link_is_alive_while_it_sends_heartbeats(
        self,
    ):
        """A harmless task is blamed when all agents end simultaneously."""
        self.agent.note_heartbeat(make_heartbeat('first'))
        self.agent._incarnation.note_unanswered_call(clock.read())
        received_at = clock.read()
        self.agent.note_heartbeat(make_heartbeat('first', 2))
        self.agent.note_boot_ended('first')
        (crash,) = self.agent._crashes
        self.assertGreaterEqual(crash.failed_at, received_at)

    async def test_short_leases_are_renewed_more_often(self):
        """Under load, builds with leases of 1 s are started again.

        Leases were renewed every 0.45 s, with a message of the leader up to
        as old; a renewal that was 0.15 s late came after the lease's end.
        """
        idle_worker = IdleWorker()
        sidecar_agent = agent.Agent(idle_worker, 1.0)
        sidecar_agent.note_heartbeat(make_heartbeat('first'))
        sidecar_agent._authority.until = clock.read() + 60.0
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                group.start_soon(sidecar_agent.run)
                while len(idle_worker.renewed_at) < 10:  # noqa: ASYNC110
                    await anyio.sleep(0.05)
                group.cancel_scope.cancel()
        times = idle_worker.renewed_at
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertLess(statistics.median(gaps), 0.3)

    def test_long_leases_are_renewed_as_often_as_ever(self):
        self.assertEqual(0.45, leases.choose_period(5.8, 0.45))
