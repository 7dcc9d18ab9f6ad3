"""Refusals by the sidecar itself, independent of its worker.

Several checks of the sidecar precede an equivalent check of the worker.
Each test here isolates the sidecar's check from the worker's.
"""

from persimmonsail import control_pb2
from tests import base
from tests import instances


class RefusalTest(base.TestCase):
    async def assert_not_run(self, instance, reason, **changes):
        start = instance.make_start('b', **changes)
        reply = await instance.supervisor.start(start)
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict, reply.reason)
        self.assertEqual(reason, reply.reason)
        self.assertNotIn('b', instance.server._runs)

    async def test_earlier_epoch_is_refused_without_the_worker(self):
        """A frozen holder's start gets no definite answer.

        The worker is unreachable, but the sidecar has recorded the later
        epoch and can refuse the start without the worker.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.renew(instance.make_renew(epoch=2))
        instance.disconnect_worker()
        await self.assert_not_run(instance, 'a later epoch is known')

    async def test_ticket_of_another_clock_is_refused(self):
        """A watcher runs twice after its sidecar's instance rebooted.

        A ticket from before the reboot is far ahead of the new clock; a
        lease granted on it would last for days.
        """
        instance = await instances.Instance().open()
        ahead = instance.read_clock() + 1000
        await self.assert_not_run(instance, 'the lease is over', ticket=ahead)

    async def test_old_ticket_is_refused_without_the_worker(self):
        instance = await instances.Instance().open()
        instance.disconnect_worker()
        old = instance.read_clock() - instances.LEASE
        await self.assert_not_run(instance, 'the lease is over', ticket=old)

    async def test_lease_of_a_start_counts_from_its_ticket(self):
        """A watcher runs twice.

        Its start is delayed for most of the lease; a lease counted from
        its arrival would outlast the time that the holder waits for.
        """
        instance = await instances.Instance().open()
        ticket = instance.read_clock() - instances.LEASE + 1
        await instance.supervisor.start(
            instance.make_start('w', ticket=ticket)
        )
        deadline = instance.find_run('w').deadline
        self.assertLessEqual(deadline, ticket + instances.LEASE)

    async def test_replaced_revision_is_refused(self):
        """A workload that an operator removed is started again.

        An entry whose watch went silent still has the old catalogue.
        """
        instance = await instances.Instance().open()
        instance.own.record_revision(2)
        await self.assert_not_run(instance, 'stale revision', revision=1)

    async def test_revision_that_no_entry_confirms_is_refused(self):
        instance = await instances.Instance().open()
        instance.own.max_evidence_age = 5.0
        await self.assert_not_run(
            instance,
            'no entry confirms the catalogue revision since the start',
        )

    async def test_leaving_instance_starts_nothing(self):
        """A build is lost to a shutdown seconds after its start."""
        instance = await instances.Instance().open()
        instance.own.leaving = True
        await self.assert_not_run(instance, 'leaving')

    async def test_epochs_outlast_restarts_of_sidecar_and_worker(self):
        """A frozen holder's commands are accepted after two restarts.

        The sidecar restarts and reads the epoch from its worker; the
        worker restarts without a record of it; the holder resumes.
        """
        first = await instances.Instance().open()
        await first.supervisor.renew(first.make_renew(epoch=2))
        second = await instances.Instance(first.server).open()
        second.replace_worker()
        await second.supervisor.rebuild()
        await self.assert_not_run(second, 'a later epoch is known')

    async def test_epochs_outlast_restarts_of_worker_and_sidecar(self):
        """The same, but the worker restarts first, then the sidecar."""
        first = await instances.Instance().open()
        await first.supervisor.renew(first.make_renew(epoch=2))
        first.replace_worker()
        await first.supervisor.rebuild()
        second = await instances.Instance(first.server).open()
        await self.assert_not_run(second, 'a later epoch is known')
