import contextlib

import anyio
import testtools

from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import records
from persimmonsail.catalogues import catalogue
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from persimmonsail import exceptions
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import holder
from persimmonsail import settings
from standins import memory
from tests import base
from tests import instances
from tests import recovery

SETTINGS = settings.parse(
    'test',
    """
[process]
name = entry
region = piedmont
zone = piedmont-a
[store]
address = 127.0.0.1:1
[entry]
task-lease = 1
commit-interval = 0.001
drain = 2
""",
    'entry',
)
TIMEOUT_SECONDS = 10.0


class Partition:
    """A store, instances, and successive holders of one partition."""

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.links = instances.Links()
        self.fleet = fleet.Fleet(60.0)
        self.view = revisions.View()
        self.view.catalogue = catalogue.parse('test', recovery.CATALOGUE)

    async def add(self, name: str) -> instances.Instance:
        """Add an instance, and report it to the entry."""
        instance = await instances.Instance().open()
        self.links.sidecars[name] = instance
        self.announce(name)
        return instance

    def announce(self, name: str) -> None:
        """Report an instance to the entry as its sidecar would."""
        own = self.links.sidecars[name].own
        capacity = admission.Size(64, 250, 0).to_message()
        self.fleet.note_report(
            control_pb2.SidecarReport(
                instance=name,
                incarnation=own.incarnation,
                address=name,
                capacity=capacity,
                slots=8,
            )
        )

    def make_holder(self) -> holder.Holder:
        """Return a holder whose store lease does not expire."""
        return holder.Holder(
            ledger.Ledger(self.store, 0),
            self.fleet,
            self.links,
            self.view,
            SETTINGS,
            consents.StoreLease('lease', float('inf')),
            'process',
            tuple,
        )

    @contextlib.asynccontextmanager
    async def hold(self):
        """Run a holder, and kill it at the end."""
        found = self.make_holder()
        async with anyio.create_task_group() as group:
            group.start_soon(found.run)
            await wait_for(found, lambda: found.ready)
            yield found
            group.cancel_scope.cancel()


async def wait_for(found: holder.Holder, check) -> None:
    """Wait until a condition on a holder holds."""
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not check():  # noqa: ASYNC110
            await anyio.sleep(0.005)


def make_submit(task: str, workload: str = 'build', seconds: float = 5):
    return control_pb2.SubmitRequest(
        task=task, workload=workload, payload=b'{}', timeout_seconds=seconds
    )


def is_running(instance: instances.Instance, task: str) -> bool:
    run = instance.server._runs.get(task)
    return run is not None and run.phase == 'active'


class EndingTest(base.TestCase):
    async def run_to_end(self, workload: str, change) -> records.TaskPhase:
        """Run a task, change its worker's state, and wait for its end."""
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('t', workload))
            await wait_for(found, lambda: is_running(instance, 't'))
            change(instance)
            task = found.table.tasks['t']
            await wait_for(
                found,
                lambda: (
                    task.is_final
                    or (task.attempt == 2 and is_running(instance, 't'))
                ),
            )
            self.reason = task.reason
            return task.phase

    async def test_build_of_a_restarted_worker_is_unknown(self):
        """A build runs twice, with conflicting pin maps.

        Its worker was killed and restarted; the new process does not know
        the attempt, as if it had never been started.
        """
        phase = await self.run_to_end('build', lambda i: i.replace_worker())
        self.assertEqual(records.TaskPhase.UNKNOWN, phase)
        self.assertEqual('the worker was restarted', self.reason)

    async def test_watcher_of_a_restarted_worker_starts_again(self):
        phase = await self.run_to_end('watcher', lambda i: i.replace_worker())
        self.assertEqual(records.TaskPhase.CLAIMED, phase)

    async def test_restarts_of_a_watcher_that_crashes_workers_back_off(self):
        """A watcher that crashes its worker is restarted too often.

        It was restarted ten times a second, and each crash restarts the
        colocated tasks as well.
        """
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('t', 'watcher'))
            started_at = anyio.current_time()
            for attempt in range(1, 7):
                await wait_for(
                    found, lambda n=attempt: instance.has_attempt('t', n)
                )
                instance.replace_worker()
            self.assertGreater(anyio.current_time() - started_at, 2.5)

    async def test_evicted_build_resumes_from_its_checkpoint(self):
        checkpoints = []

        def evict(instance):
            run = instance.find_run('t')
            instance.server._end(run, 'evicted', 'asked')
            checkpoints.append(run.checkpoint)

        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('t'))
            await wait_for(found, lambda: is_running(instance, 't'))
            evict(instance)
            await wait_for(found, lambda: instance.has_attempt('t', 2))
            self.assertEqual(checkpoints[0], instance.find_run('t').resumed)

    async def test_build_evicted_without_a_checkpoint_is_unknown(self):
        """A build runs twice.

        Its worker had no time for a checkpoint; its work so far cannot be
        resumed and must not be repeated.
        """

        def evict(instance):
            instance.server._end(instance.find_run('t'), 'evicted', 'asked')
            instance.find_run('t').checkpoint = ''

        phase = await self.run_to_end('build', evict)
        self.assertEqual(records.TaskPhase.UNKNOWN, phase)

    async def test_build_that_never_arrived_runs_once(self):
        """A build is lost, or reported as unknown without need.

        Its start was lost on the way. The worker is the same process and
        does not know the attempt, so it has not run.
        """
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            instance.transport.blocked_path = 'start'
            await found.submit(make_submit('t'))
            await wait_for(found, instance.transport.arrived.is_set)
            await wait_for(
                found,
                lambda: instance.server._runs.get('t') is not None,
            )
            instance.transport.released.set()
            self.assertEqual(2, instance.find_run('t').attempt)
        started = [e for e in instance.server._record if e['task'] == 't']
        self.assertEqual(1, len(started))

    async def test_ends_are_acknowledged(self):
        """A worker's memory grows with every task that it has run."""
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('t'))
            await wait_for(found, lambda: is_running(instance, 't'))
            instance.server._end(instance.find_run('t'), 'succeeded', 'done')
            await wait_for(found, lambda: not instance.server._runs)
            self.assertTrue(found.table.tasks['t'].is_final)


class ReassignTest(base.TestCase):
    async def test_dead_worker_behind_a_live_sidecar_is_abandoned(self):
        """A watcher is down permanently.

        Its worker is dead and the sidecar still answers renewals. That
        must not count as contact, or the lease would never expire.
        """
        partition = Partition()
        first = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('w', 'watcher'))
            await wait_for(found, lambda: is_running(first, 'w'))
            first.disconnect_worker()
            second = await partition.add('two')
            await wait_for(found, lambda: is_running(second, 'w'))

    async def test_holder_without_authority_extends_nothing(self):
        """A watcher runs twice.

        A holder that was paused past the end of its store lease continues
        to renew while another one may hold the partition.
        """
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('w', 'watcher'))
            await wait_for(found, lambda: is_running(instance, 'w'))
            found._authority._lease.until = 0
            found._authority._outage_limit = 0
            await wait_for(
                found,
                lambda: (
                    instance.read_clock() > instance.find_run('w').deadline
                ),
            )
            self.assertEqual(1, found.table.tasks['w'].attempt)
            found._authority._lease.until = float('inf')
            await wait_for(found, lambda: instance.has_attempt('w', 2))

    async def test_later_epoch_at_a_sidecar_ends_the_holder(self):
        partition = Partition()
        instance = await partition.add('one')
        found = partition.make_holder()
        with testtools.ExpectedException(ExceptionGroup):
            async with anyio.create_task_group() as group:
                group.start_soon(found.run)
                await wait_for(found, lambda: found.ready)
                await found.submit(make_submit('w', 'watcher'))
                await wait_for(found, lambda: is_running(instance, 'w'))
                await instance.supervisor.renew(instance.make_renew(epoch=9))
                await anyio.sleep(TIMEOUT_SECONDS)
        self.assertFalse(found.ready)


class AnswerTest(base.TestCase):
    async def test_submit_while_the_store_is_down_is_not_run(self):
        """A caller waits in vain, or gets a wrong verdict.

        The first submit in an outage may have been written: its outcome
        is unknown, within its timeout. Later ones are never proposed: not
        run, immediately. The same key finds the first one afterwards.
        """
        partition = Partition()
        async with partition.hold() as found:
            partition.store.faults.down = True
            with testtools.ExpectedException(exceptions.CommitUnknown):
                await found.submit(make_submit('a', seconds=0.3))
            with testtools.ExpectedException(exceptions.NotCommitted):
                await found.submit(make_submit('b', seconds=60))
            partition.store.faults.down = False
            await wait_for(found, lambda: 'a' in found.table.tasks)
            repeated = await found.submit(make_submit('a'))
            self.assertEqual('a', repeated.id)
            self.assertNotIn('b', found.table.tasks)

    async def test_withdrawn_submit_is_never_written(self):
        """A task that was refused as not run does run.

        It waited behind a slow batch until its caller's timeout, and was
        still included in the next batch.
        """
        partition = Partition()
        async with partition.hold() as found:
            partition.store.faults.delay = 0.3
            async with anyio.create_task_group() as group:
                group.start_soon(found.submit, make_submit('a'))
                await wait_for(found, lambda: found._committer._writing)
                with testtools.ExpectedException(exceptions.NotCommitted):
                    await found.submit(make_submit('b', seconds=0.05))
            await found.submit(make_submit('c'))
            self.assertEqual({'a', 'c'}, set(found.table.tasks))

    async def test_same_key_at_once_is_accepted_once(self):
        partition = Partition()
        async with partition.hold() as found:
            results = []

            async def submit():
                results.append(await found.submit(make_submit('a')))

            async with anyio.create_task_group() as group:
                for _ in range(5):
                    group.start_soon(submit)
            self.assertEqual(['a'] * 5, [task.id for task in results])

    async def test_key_of_an_unknown_submit_is_not_reported_not_run(self):
        """A build runs although its caller got 'not run'.

        The first attempt's outcome is unknown; the caller sends the key
        again while the store is still down, and that attempt is refused.
        """
        partition = Partition()
        async with partition.hold() as found:
            partition.store.faults.down = True
            for _ in range(2):
                with testtools.ExpectedException(exceptions.CommitUnknown):
                    await found.submit(make_submit('a', seconds=0.1))
            partition.store.faults.down = False
            await wait_for(found, lambda: 'a' in found.table.tasks)

    async def test_burst_of_cancellations_takes_few_commits(self):
        """Answers are delayed by a burst of cancellations."""
        partition = Partition()
        async with partition.hold() as found:
            async with anyio.create_task_group() as group:
                for number in range(300):
                    name = f't{number}'
                    group.start_soon(found.submit, make_submit(name))
            before = found.ledger.position
            async with anyio.create_task_group() as group:
                for number in range(300):
                    group.start_soon(found.cancel, f't{number}')
            await wait_for(
                found,
                lambda: all(t.is_final for t in found.table.tasks.values()),
            )
            self.assertLess(found.ledger.position - before, 10)

    async def test_a_start_is_not_sent_once_its_cancel_is_written(self):
        """A build cancelled during its sidecar's silence is started."""
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            find_contact = found._renewer.find_contact

            async def find_after_cancel(chosen):
                if found.table.tasks['t'].attempt:
                    await found.cancel('t')
                return await find_contact(chosen)

            found._renewer.find_contact = find_after_cancel
            await found.submit(make_submit('t'))
            task = found.table.tasks['t']
            await wait_for(found, lambda: task.is_final)
            self.assertIs(records.TaskPhase.CANCELLED, task.phase)
            self.assertNotIn('t', instance.server._runs)

    async def test_closing_holder_writes_its_last_batch(self):
        """An accepted task is lost when its holder is replaced."""
        partition = Partition()
        found = partition.make_holder()
        async with anyio.create_task_group() as group:
            group.start_soon(found.run)
            await wait_for(found, lambda: found.ready)
            partition.store.faults.delay = 0.1
            group.start_soon(found.submit, make_submit('a'))
            await wait_for(found, lambda: found._committer._writing)
            found.closing.set()
        self.assertFalse(found.ready)
        reloaded = ledger.Ledger(partition.store, 0)
        await reloaded.load()
        self.assertEqual(['a'], list(reloaded.table.tasks))

    async def test_waiting_caller_is_notified_of_the_hand_over(self):
        """A caller hangs although its task has ended at another holder."""
        partition = Partition()
        found = partition.make_holder()
        async with anyio.create_task_group() as group:
            group.start_soon(found.run)
            await wait_for(found, lambda: found.ready)
            await found.submit(make_submit('a'))

            async def ask():
                with testtools.ExpectedException(exceptions.NotHolder):
                    await found.wait_final('a', 60)

            group.start_soon(ask)
            found.closing.set()

    async def test_closing_holder_extends_no_lease(self):
        """A watcher runs twice at a planned replacement.

        The last commit of the leaving holder is slow. Its successor
        measures silence from its own takeover, which may precede the end
        of leases that the leaving holder still extends.
        """
        partition = Partition()
        await partition.add('one')
        found = partition.make_holder()
        async with anyio.create_task_group() as group:
            group.start_soon(found.run)
            await wait_for(found, lambda: found.ready)
            await found.submit(make_submit('w', 'watcher'))
            await wait_for(
                found,
                lambda: any(
                    message.tasks
                    for n, message in partition.links.calls
                    if n == 'Renew'
                ),
            )
            partition.store.faults.delay = 0.8
            group.start_soon(found.submit, make_submit('a'))
            await wait_for(found, lambda: found._committer._writing)
            found.closing.set()
            await wait_for(found, lambda: not found.ready)
            before = len(partition.links.calls)
        self.assertEqual([], partition.links.calls[before:])


class SuccessorTest(base.TestCase):
    """A holder is killed, and a successor takes over its state."""

    async def test_claim_whose_answer_was_lost_runs_once(self):
        """A build is lost, or runs twice.

        The claim was written, but its holder was killed before the reply
        arrived, so nothing was sent to the instance.
        """
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            partition.fleet.find('one').leaving = True
            await found.submit(make_submit('t'))
        reloaded = ledger.Ledger(partition.store, 0)
        await reloaded.load()
        boot = instance.worker.boot
        await reloaded.append((records.Claimed('t', 1, 'one', boot),))
        partition.announce('one')
        async with partition.hold() as found:
            await wait_for(found, lambda: is_running(instance, 't'))
            self.assertEqual(2, instance.find_run('t').attempt)
        self.assertEqual(1, len(instance.server._record))

    async def test_start_under_way_at_a_kill_runs_once(self):
        """A build runs twice.

        The holder is killed while its start is on the way to the worker.
        Its successor learns that the worker does not know the attempt,
        and starts the next one; then the first start arrives.
        """
        partition = Partition()
        instance = await partition.add('one')
        async with anyio.create_task_group() as network:
            partition.links.group = network
            async with partition.hold() as found:
                instance.transport.blocked_path = 'start'
                await found.submit(make_submit('t'))
                await wait_for(found, instance.transport.arrived.is_set)
            async with partition.hold() as found:
                await wait_for(found, lambda: is_running(instance, 't'))
                self.assertEqual(2, instance.find_run('t').attempt)
                instance.transport.released.set()
                await wait_for(
                    found, lambda: not instance.supervisor._unsettled
                )
                self.assertEqual(2, instance.find_run('t').attempt)
        started = [
            event
            for event in instance.server._record
            if event['event'] == 'started'
        ]
        self.assertEqual(1, len(started))

    async def test_answer_told_to_a_killed_holder_is_told_again(self):
        """A build's answer is lost, or the build runs again.

        The worker has reported its outcome to a holder that was killed
        before it committed the outcome.
        """
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('t'))
            await wait_for(found, lambda: is_running(instance, 't'))
            partition.store.faults.down = True
            instance.find_run('t').answer = 'pin map'
            instance.server._end(instance.find_run('t'), 'succeeded', 'done')
            await wait_for(found, lambda: found._committer.stalled)
        partition.store.faults.down = False
        async with partition.hold() as found:
            await wait_for(found, lambda: found.table.tasks['t'].is_final)
            task = found.table.tasks['t']
            self.assertEqual('pin map', task.answer)
            self.assertEqual(1, task.attempt)

    async def test_successor_keeps_running_tasks(self):
        """Every watcher restarts when an entry dies."""
        partition = Partition()
        instance = await partition.add('one')
        async with partition.hold() as found:
            await found.submit(make_submit('w', 'watcher'))
            await wait_for(found, lambda: is_running(instance, 'w'))
        deadline = instance.find_run('w').deadline
        async with partition.hold() as found:
            await wait_for(
                found, lambda: instance.find_run('w').deadline > deadline
            )
            self.assertEqual(1, found.table.tasks['w'].attempt)
