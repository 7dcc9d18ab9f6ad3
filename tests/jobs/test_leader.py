import dataclasses
import json

import anyio

from persimmonsail.jobs import evacuations
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import leader as leader_module
from persimmonsail.jobs import ledger
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases
from tests.jobs import test_ledger


class LeaderTest(base.TestCase):
    def open_leader(self, store=None):
        """Return a leader that has no configuration yet."""
        term = ledger.Term('term', test_ledger.FakeStore().revision, 'lease')
        term_ledger = ledger.Ledger(store, term)
        return leader_module.Leader(
            None,
            term_ledger,
            cases.make_mandate(term_ledger),
            queues.View(),
            5.8,
            150.0,
            evacuations=evacuations.Evacuations(MARKERS),
        )

    def plan_jobs(self, leader, ids, fleet, step=None):
        """Add a job for each id, and place their tasks."""
        queue = cases.QUEUE
        for id in ids:
            leader.add_job(id, self.make_submission(queue, step))
        return cases.plan(
            leader.board, fleetsnapshot.FleetSnapshot(), fleet, 100.0, 100.0
        )

    def record_starts(self, leader):
        """Return the claims whose starts are ordered from now on."""
        started = []
        start = leader._fleet.start

        def record_start(claim, verified_at):
            # The fleet has no links here, so held claims can't be sent.
            if claim.is_held:
                started.append(claim)
            else:
                start(claim, verified_at)

        leader._fleet.start = record_start
        return started

    async def test_checkpoints_outlast_a_loss_of_power(self):
        """Guards against tasks restarting from scratch after a power loss.

        The agents lose their runs' checkpoints, and so does the leader.
        """
        store = test_ledger.FakeStore()
        leader = self.open_leader(store)
        leader.add_job(cases.ID, self.make_submission(cases.QUEUE))
        (task,) = leader.board.jobs[cases.ID].tasks.values()
        instance = cases.make_instance()
        leader.board.place(task, instance.address, instance.boot)
        await leader._commit([])
        report = cases.make_report(instance)
        report.running.add(task=task.name, run=1, checkpoint='half')
        leader._reader.read(instance, report, 100.0)
        with anyio.move_on_after(1.2):
            await leader._run_checkpoint_loop()
        await leader._commit([])
        _, write = store.commits[-1]
        saved = record.decode_progress(write.value)
        self.assertEqual('half', saved.tasks[task.key].checkpoint)

    async def test_a_claim_of_a_cancelled_job_is_not_written(self):
        """Guards against starting a job after its cancel was acknowledged."""
        store = test_ledger.FakeStore()
        leader = self.open_leader(store)
        ids = (cases.ID, 'b' * 16)
        for id in ids:
            leader.add_job(id, self.make_submission(cases.QUEUE))
        instance = cases.make_instance()
        claims = cases.plan(
            leader.board,
            fleetsnapshot.FleetSnapshot(),
            [instance],
            100.0,
            100.0,
        )
        store.present_keys = {record.CANCELS + cases.ID: '{"cancelled_ms": 1}'}
        leader._fleet.start = lambda *arguments: None
        await leader._commit(claims)
        phases = [leader.board.jobs[id].committed_phase for id in ids]
        self.assertEqual(
            [record.JobPhase.CANCELLED, record.JobPhase.QUEUED], phases
        )
        (writes,) = store.commits
        stored = {write.key: write.value for write in writes}
        progress = record.decode_progress(stored[record.PROGRESS + ids[1]])
        (task,) = progress.tasks.values()
        self.assertIs(record.TaskPhase.PLACED, task.phase)

    async def test_no_claim_in_an_evacuated_zone_is_written(self):
        """Guards against starts in a zone by a leader with an old view."""
        store = test_ledger.FakeStore()
        leader = self.open_leader(store)
        fleet = make_fleet('a', 'b')
        claims = self.plan_jobs(leader, [cases.ID, 'b' * 16], fleet)
        self.assertEqual({'a', 'b'}, {c.instance.zone for c in claims})
        store.present_keys = {MARKERS + 'a': 'any text'}
        started = self.record_starts(leader)
        await leader._commit(claims)
        self.assertEqual(['b'], [claim.instance.zone for claim in started])
        self.assertEqual(1, len(store.commits))
        (withdrawn,) = [c for c in claims if c.instance.zone == 'a']
        self.assertFalse(withdrawn.task.is_placed)
        self.assertEqual({}, fleet[0].runs)

    async def test_a_gang_is_withdrawn_as_a_whole(self):
        """Guards against members that wait for others in vain."""
        store = test_ledger.FakeStore()
        leader = self.open_leader(store)
        fleet = make_fleet('a', 'b')
        step = cases.make_step(2, gang=True)
        claims = self.plan_jobs(leader, [cases.ID], fleet, step)
        self.assertEqual(2, len(claims))
        store.present_keys = {MARKERS + 'b': '{}'}
        started = self.record_starts(leader)
        await leader._commit(claims)
        self.assertEqual([], started)
        self.assertEqual([{}, {}], [instance.runs for instance in fleet])

    async def test_a_claim_is_withdrawn_after_its_link_was_lost(self):
        """Guards against a commit that is refused and retried for ever."""
        store = test_ledger.FakeStore()
        leader = self.open_leader(store)
        instance = cases.make_instance(zone='a')
        claims = self.plan_jobs(leader, [cases.ID], [instance])
        # As for all runs of an instance whose link is opened again.
        claims[0].run.order = 0
        store.present_keys = {MARKERS + 'a': '{}'}
        started = self.record_starts(leader)
        with anyio.fail_after(5):
            await leader._commit(claims)
        self.assertEqual([], started)

    async def test_what_runs_in_an_evacuated_zone_stays(self):
        store = test_ledger.FakeStore()
        leader = self.open_leader(store)
        instance = cases.make_instance(zone='a')
        leader._fleet.instances[instance.address] = instance
        claims = self.plan_jobs(leader, [cases.ID], [instance])
        self.record_starts(leader)
        await leader._commit(claims)
        leader._evacuations.apply_change(MARKERS + 'a', True, 7)
        leader._fleet.apply_evacuations(leader._evacuations.zones)
        store.present_keys = {MARKERS + 'a': '{}'}
        leader.board.changed.add(cases.ID)
        await leader._commit([])
        self.assertEqual(2, len(store.commits))
        self.assertTrue(claims[0].is_held)
        self.assertEqual([], self.plan_jobs(leader, ['c' * 16], [instance]))
        leader._evacuations.apply_change(MARKERS + 'a', False, 8)
        leader._fleet.apply_evacuations(leader._evacuations.zones)
        self.assertEqual(1, len(self.plan_jobs(leader, [], [instance])))

    def test_a_leader_that_is_cut_off_counts_no_jobs(self):
        """Guards against 'no job waits' being reported while dozens do.

        The leader was partitioned from the store, another entry led, and the
        first one still reported its outdated state to reachable entries.
        """
        leader = self.open_leader()
        self.assertIsNone(leader.count_pending(cases.QUEUE.name))
        leader.loaded = True
        leader.add_job(cases.ID, self.make_submission(cases.QUEUE))
        self.assertEqual(1, leader.count_pending(cases.QUEUE.name))
        leader._ledger.confirmed_at -= 2.0
        self.assertIsNone(leader.count_pending(cases.QUEUE.name))

    def make_submission(self, queue, step=None):
        step = step or cases.make_step(1)
        submitted = specification.Specification('', (step,))
        return json.dumps(
            {
                'queue': queue.name,
                'terms': dataclasses.asdict(queue),
                'accepted_ms': 1,
                'specification': specification.encode(submitted),
            }
        )

    def fail_once(self, leader, job):
        (task,) = job.tasks.values()
        instance = cases.make_instance()
        leader.board.place(task, instance.address, instance.boot)
        report = cases.make_report(instance)
        report.ended.add(number=1, task=task.name, run=1, how='failed')
        self.assertIsInstance(report, fleet_pb2.Report)
        leader._reader.read(instance, report, 100.0)

    def test_a_job_keeps_its_attempts_without_the_configuration(self):
        """Guards against failing a job after one of four allowed failures.

        After a power loss of all entries, the next leader read the ends
        that agents reported 45 ms before its first configuration, and
        assumed that the queue allows a single failure.
        """
        leader = self.open_leader()
        leader.add_job(cases.ID, self.make_submission(cases.QUEUE))
        job = leader.board.jobs[cases.ID]
        self.fail_once(leader, job)
        self.assertIs(record.JobPhase.ACTIVE, job.phase)

    def test_a_newer_configuration_goes_before_the_terms(self):
        leader = self.open_leader()
        newer = dataclasses.replace(cases.QUEUE, max_attempts=1)
        leader._view.update(queues.Configuration(2, (newer,)))
        leader.add_job(cases.ID, self.make_submission(cases.QUEUE))
        job = leader.board.jobs[cases.ID]
        self.fail_once(leader, job)
        self.assertIs(record.JobPhase.FAILED, job.phase)

    async def test_invalid_instance_entries_are_ignored(self):
        """Guards against a halt of all starts while instances are healthy.

        Another writer left entries next to those of the sidecars; the key of
        one was no address, so that the link to it raised an error, which
        ended each leader's term.
        """
        leader = self.open_leader()
        valid = json.dumps({'name': 'one', 'zone': 'a'})
        entries = (
            ('no-address', valid),
            ('', valid),
            ('10.0.0.9:', valid),
            ('10.0.0.9:99999', valid),
            ('10.0.0.9\x00:7000', valid),
            ('10.0.0.9:7000\n', valid),
            ('10.0.0.9:7000', ''),
            ('10.0.0.9:7000', '[]'),
            ('10.0.0.9:7000', '{"name": 3, "zone": "a"}'),
            ('10.0.0.9:7000', '{"name": "one"}'),
        )
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                leader._fleet.open(group)
                for address, text in entries:
                    leader._register_instance(address, text)
                self.assertEqual({}, leader._fleet.instances)
                leader._register_instance('10.0.0.1:7000', valid)
                self.assertEqual(
                    ['10.0.0.1:7000'], list(leader._fleet.instances)
                )
                group.cancel_scope.cancel()

    async def test_an_unresolvable_address_ends_no_term(self):
        """Guards against a halt of all starts while instances are healthy.

        The key of another writer's entry parses as an address, but resolvers
        reject its host name; the link raised a codec error, which ended the
        leader's term.
        """
        leader = self.open_leader()
        text = json.dumps({'name': 'one', 'zone': 'a'})
        with anyio.move_on_after(0.6):
            async with anyio.create_task_group() as group:
                leader._fleet.open(group)
                for address in ('a..b:80', f'{"x" * 70}.example:80'):
                    leader._register_instance(address, text)
                await anyio.sleep_forever()
        # The link retries; nothing else is affected.
        attached = [i.attached for i in leader._fleet.instances.values()]
        self.assertEqual([False, False], attached)

    def test_an_unreadable_job_blocks_no_other(self):
        """Guards against a leader that can't load jobs due to a bad entry."""
        leader = self.open_leader()
        text = self.make_submission(cases.QUEUE)
        for progress in ('', '[]', UNKNOWN_TASK):
            self.assertIsNone(
                leader._parse_job('other', text, progress or ' ')
            )
        for invalid in ('', '{}', '[1]'):
            self.assertIsNone(leader._parse_job('other', invalid, None))
        self.assertIsNotNone(leader._parse_job(cases.ID, text, None))


def make_fleet(*zones):
    """Return an instance for one task in each of these zones."""
    return [
        cases.make_instance(f'10.0.0.{index}:7000', cores=1, zone=zone)
        for index, zone in enumerate(zones)
    ]


MARKERS = 'zones/closed/'
UNKNOWN_TASK = json.dumps(
    {
        'phase': 'active',
        'ended_ms': 0,
        'tasks': [['x.y.z', 'placed', 1, '', '', 0, '']],
    }
)
