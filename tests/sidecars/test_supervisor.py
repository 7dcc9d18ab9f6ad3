import anyio

from persimmonsail import control_pb2
from tests import base
from tests import instances


class TicketTest(base.TestCase):
    async def test_delayed_renewal_extends_no_lease(self):
        """A watcher runs twice.

        A holder is frozen between the check of its own lease and its
        send. Its successor waits for the task's lease to expire and
        starts the watcher elsewhere; then the delayed renewal arrives.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.start(instance.make_start('w'))
        deadline = instance.find_run('w').deadline
        late = instance.make_renew(('w', 1), ticket=instance.read_clock() - 5)
        reply = await instance.supervisor.renew(late)
        self.assertTrue(reply.accepted)
        self.assertEqual(deadline, instance.find_run('w').deadline)

    async def test_renewal_counts_from_its_ticket(self):
        instance = await instances.Instance().open()
        await instance.supervisor.start(instance.make_start('w'))
        deadline = instance.find_run('w').deadline
        reply = await instance.supervisor.renew(instance.make_renew())
        renewal = instance.make_renew(('w', 1), ticket=reply.ticket)
        await instance.supervisor.renew(renewal)
        extended = instance.find_run('w').deadline
        self.assertGreater(extended, deadline)
        self.assertLessEqual(extended, reply.ticket + instances.LEASE)

    async def test_start_with_an_old_ticket_never_runs(self):
        """A build that was reported as not run runs after all.

        Its start is delayed for longer than the lease, and arrives when
        the holder has started the build elsewhere.
        """
        instance = await instances.Instance().open()
        old = instance.read_clock() - instances.LEASE
        reply = await instance.supervisor.start(
            instance.make_start('b', ticket=old)
        )
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertEqual('the lease is over', reply.reason)
        self.assertNotIn('b', instance.server._runs)
        self.assertEqual(0, instance.own.commitments.total.cores)

    async def test_ticket_of_another_clock_counts_for_nothing(self):
        """A watcher's lease lasts for hours after its holder has ended.

        The ticket is from a machine with a longer uptime than this one.
        """
        instance = await instances.Instance().open()
        future = instance.read_clock() + 3600
        start = instance.make_start('b', ticket=future)
        reply = await instance.supervisor.start(start)
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertEqual('the lease is over', reply.reason)
        await instance.supervisor.start(instance.make_start('w'))
        deadline = instance.find_run('w').deadline
        renewal = instance.make_renew(('w', 1), ticket=future)
        await instance.supervisor.renew(renewal)
        self.assertEqual(deadline, instance.find_run('w').deadline)

    async def test_frozen_sidecar_extends_nothing_on_resuming(self):
        """A watcher runs twice after its sidecar was paused.

        The sidecar is frozen in its call to the worker; the request
        reaches the worker only after the lease has expired.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.start(instance.make_start('w'))
        run = instance.find_run('w')
        instance.transport.blocked_path = 'renew'
        renewal = instance.make_renew(('w', 1))
        async with anyio.create_task_group() as group:
            group.start_soon(instance.supervisor.renew, renewal)
            await instance.transport.arrived.wait()
            # The state when the frozen call resumes: the lease is over.
            run.deadline = instance.read_clock() - 1
            instance.transport.released.set()
        self.assertEqual('evicted', run.phase)
        # The worker received a fixed end, however late the call resumes.
        self.assertLessEqual(run.deadline, renewal.ticket + instances.LEASE)

    async def test_start_that_reaches_the_worker_late_never_runs(self):
        """An abandoned build runs.

        The sidecar is frozen between its check and its call until the
        lease is over.
        """
        instance = await instances.Instance().open()
        # Shifts the worker's clock ahead, as if the call took a lease.
        instance.worker._clock_offset -= instances.LEASE
        reply = await instance.supervisor.start(instance.make_start('b'))
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertNotIn('b', instance.server._runs)


class EpochTest(base.TestCase):
    async def test_earlier_epoch_is_refused(self):
        """A watcher is moved twice, by two holders.

        A frozen holder resumes after its successor has contacted the
        sidecar, and starts and renews tasks as before.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.renew(instance.make_renew(epoch=2))
        start = await instance.supervisor.start(instance.make_start('w'))
        self.assertEqual(control_pb2.NOT_RUN, start.verdict)
        renewed = await instance.supervisor.renew(
            instance.make_renew(('w', 1))
        )
        self.assertFalse(renewed.accepted)
        self.assertEqual('a later epoch is known', renewed.reason)
        stopped = await instance.supervisor.stop(
            control_pb2.StopTaskRequest(task='w', attempt=1, epoch=1)
        )
        self.assertFalse(stopped.accepted)

    async def test_restarted_sidecar_restores_the_epochs(self):
        """A restarted sidecar accepts commands of a frozen holder.

        The holder's successor contacted only the sidecar's predecessor;
        the worker has retained the epoch.
        """
        old = await instances.Instance().open()
        await old.supervisor.renew(old.make_renew(epoch=2))
        new = await instances.Instance(old.server).open()
        reply = await new.supervisor.start(new.make_start('w'))
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertEqual('a later epoch is known', reply.reason)

    async def test_earlier_epoch_is_reported_without_the_worker(self):
        """A frozen holder continues for as long as a worker is down.

        Only 'a later epoch is known' ends it, which the worker cannot
        report.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.renew(instance.make_renew(epoch=2))
        successor = await instances.Instance(instance.server).open()
        for supervised in (instance, successor):
            supervised.disconnect_worker()
            reply = await supervised.supervisor.renew(supervised.make_renew())
            self.assertEqual('a later epoch is known', reply.reason)

    async def test_worker_refuses_an_earlier_epoch_itself(self):
        """The sidecar's own check passes before the epoch changes.

        The sidecar was frozen after the check, while its successor
        served the next holder and the worker; the incarnation does not
        show this.
        """
        instance = await instances.Instance().open()
        instance.server._epochs[0] = 2
        reply = await instance.supervisor.start(instance.make_start('w'))
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertNotIn('w', instance.server._runs)

    async def test_restarted_worker_learns_the_epochs(self):
        instance = await instances.Instance().open()
        await instance.supervisor.renew(instance.make_renew(epoch=3))
        instance.replace_worker()
        await instance.supervisor.renew(instance.make_renew(partition=1))
        self.assertEqual({0: 3, 1: 1}, instance.server._epochs)


class IncarnationTest(base.TestCase):
    async def test_start_for_an_old_incarnation_never_runs(self):
        """A build runs though its sidecar's successor reported 'not run'.

        The start was sent to the predecessor and delayed; both listen
        at the same address.
        """
        old = await instances.Instance().open()
        delayed = old.make_start('b')
        new = await instances.Instance(old.server).open()
        reply = await new.supervisor.start(delayed)
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertNotIn('b', new.server._runs)

    async def test_frozen_predecessor_is_refused(self):
        """Two sidecars of one instance both start tasks.

        The old one was frozen, not dead, when it was replaced; it would
        commit the instance's capacity a second time.
        """
        old = await instances.Instance().open()
        await instances.Instance(old.server).open()
        start = await old.supervisor.start(old.make_start('b'))
        self.assertEqual(control_pb2.NOT_RUN, start.verdict)
        renewed = await old.supervisor.renew(old.make_renew())
        self.assertFalse(renewed.accepted)
        self.assertEqual({}, old.server._runs)

    async def test_renewal_with_another_incarnation_extends_nothing(self):
        """A predecessor's ticket is read as a later time.

        The entire instance was replaced, and its new clock is behind.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.start(instance.make_start('w'))
        deadline = instance.find_run('w').deadline
        reply = await instance.supervisor.renew(
            instance.make_renew(('w', 1), incarnation='earlier')
        )
        self.assertFalse(reply.accepted)
        self.assertEqual(instance.own.incarnation, reply.incarnation)
        self.assertEqual(deadline, instance.find_run('w').deadline)

    async def test_restarted_sidecar_commits_running_tasks(self):
        """A sidecar's restart commits the instance's capacity twice."""
        old = await instances.Instance().open()
        await old.supervisor.start(old.make_start('b'))
        new = await instances.Instance(old.server).open()
        self.assertEqual(8, new.own.commitments.total.cores)


class SettlementTest(base.TestCase):
    async def test_start_overtaken_by_the_question_never_runs(self):
        """A build that was reported as not run runs after all.

        The start is in transit between sidecar and worker when the
        renewal queries it, and the worker reports it as absent.
        """
        instance = await instances.Instance().open()
        instance.transport.blocked_path = 'start'
        replies = []

        async def start():
            request = instance.make_start('b')
            replies.append(await instance.supervisor.start(request))

        async with anyio.create_task_group() as group:
            group.start_soon(start)
            await instance.transport.arrived.wait()
            renewed = await instance.supervisor.renew(
                instance.make_renew(('b', 1))
            )
            self.assertEqual(control_pb2.ABSENT, renewed.states[0].phase)
            instance.transport.released.set()
        self.assertNotIn('b', instance.server._runs)
        self.assertEqual(control_pb2.NOT_RUN, replies[0].verdict)

    async def test_start_after_the_question_is_barred(self):
        """The same with the start in transit to the sidecar."""
        instance = await instances.Instance().open()
        delayed = instance.make_start('b')
        renewed = await instance.supervisor.renew(
            instance.make_renew(('b', 1))
        )
        self.assertEqual(control_pb2.ABSENT, renewed.states[0].phase)
        reply = await instance.supervisor.start(delayed)
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertEqual('barred', reply.reason)
        self.assertNotIn('b', instance.server._runs)

    async def test_start_in_transit_retains_its_commitment(self):
        """An instance is committed beyond its processors.

        Another partition's renewal reads the worker's tasks while a
        start is in transit there, and finds nothing to commit.
        """
        instance = await instances.Instance().open()
        instance.transport.blocked_path = 'start'
        async with anyio.create_task_group() as group:
            group.start_soon(
                instance.supervisor.start, instance.make_start('b')
            )
            await instance.transport.arrived.wait()
            await instance.supervisor.renew(instance.make_renew(partition=1))
            self.assertEqual(8, instance.own.commitments.total.cores)
            instance.transport.released.set()
        self.assertEqual(8, instance.own.commitments.total.cores)

    async def test_ended_attempt_is_kept_until_acknowledged(self):
        """A build's answer is lost with its holder.

        The worker reported the outcome to the holder, which died before
        its commit; the worker must report it to the next holder too.
        """
        instance = await instances.Instance().open()
        await instance.supervisor.start(instance.make_start('b'))
        instance.server._end(instance.find_run('b'), 'succeeded', 'done')
        for _ in range(2):
            reply = await instance.supervisor.renew(
                instance.make_renew(('b', 1))
            )
            self.assertEqual(control_pb2.SUCCEEDED, reply.states[0].phase)
        unasked = await instance.supervisor.renew(instance.make_renew())
        self.assertEqual('b', unasked.unasked[0].task)
        acknowledged = instance.make_renew(
            acknowledged=[control_pb2.TaskRef(task='b', attempt=1)]
        )
        reply = await instance.supervisor.renew(acknowledged)
        self.assertEqual([], list(reply.unasked))
        self.assertEqual({}, instance.server._runs)
        self.assertEqual(0, instance.own.commitments.total.cores)

    async def test_acknowledged_attempt_never_starts_again(self):
        """A finished build runs again from a duplicate of its start."""
        instance = await instances.Instance().open()
        start = instance.make_start('b')
        await instance.supervisor.start(start)
        instance.server._end(instance.find_run('b'), 'succeeded', 'done')
        acknowledged = instance.make_renew(
            acknowledged=[control_pb2.TaskRef(task='b', attempt=1)]
        )
        await instance.supervisor.renew(acknowledged)
        reply = await instance.supervisor.start(start)
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertEqual({}, instance.server._runs)

    async def test_restarted_worker_is_told_by_its_boot(self):
        """A build runs twice after its worker's restart.

        The new process has no record of attempts, so 'absent' does not
        mean that the build never ran. A start claimed for the old
        process must not run in the new one either.
        """
        instance = await instances.Instance().open()
        boot = instance.worker.boot
        await instance.supervisor.start(instance.make_start('b'))
        delayed = instance.make_start('c')
        instance.replace_worker()
        reply = await instance.supervisor.renew(instance.make_renew(('b', 1)))
        self.assertEqual(control_pb2.ABSENT, reply.states[0].phase)
        self.assertNotEqual(boot, reply.boot)
        self.assertEqual(0, instance.own.commitments.total.cores)
        late = await instance.supervisor.start(delayed)
        self.assertEqual(control_pb2.NOT_RUN, late.verdict)
        self.assertEqual('the worker was restarted', late.reason)
