import anyio

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import advice
from persimmonsail.jobs import board
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import ledger
from persimmonsail.jobs import placement
from persimmonsail.jobs import placer
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from tests import base
from tests.jobs import cases

# Nothing listens there: the links retry, and unsent orders can be inspected.
ADDRESSES = ('127.0.0.1:1', '127.0.0.1:2')
# A reading of a sidecar's clock.
SIDECAR_CLOCK = 5000.0
# No task of a job begins later than this after its cancel was acknowledged.
CANCEL_SECONDS = 3.0


class FleetTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.board = board.Board()
        self.reader = reports.Reader(
            self.board,
            quarantine.Tracker(),
            interference.Model(),
            lambda queue: 2,
            advice.Approvals(),
        )
        term = ledger.Term('term', 1, 'lease')
        self.fleet = fleet.Fleet(
            cases.make_mandate(ledger.Ledger(None, term)),
            5.8,
            self.reader,
            lambda reaction: None,
        )

    def attach(self, address):
        """Return an instance that has reported no running runs."""
        instance = self.fleet.get(address)
        self.fleet._handle_attached(instance)
        self.fleet._links[address].note_sidecar_clock(SIDECAR_CLOCK)
        self.fleet._handle_report(instance, self.make_report())
        return instance

    def list_starts(self, address):
        return list(self.fleet._links[address].edit_next_orders().starts)

    def make_report(self):
        return cases.make_report(cases.make_instance())

    def place(self, task, instance):
        run = instances.Run(
            task=task.name,
            number=self.board.place(task, instance.address, instance.boot),
            boot=instance.boot,
            step=task.step,
            queue=task.job.queue,
        )
        instance.add_run(run)
        return placer.Claim(task, run, instance)

    async def test_nothing_is_placed_before_the_first_report(self):
        """A build is rerun on the instance that has just completed it.

        Its sidecar was replaced; the leader attached to the new one and
        placed the task there again 0.05 s later, 0.03 s before the report
        with the end of its first run.
        """
        async with anyio.create_task_group() as group:
            self.fleet.open(group)
            instance = self.attach(ADDRESSES[0])
            self.assertTrue(placement.is_usable(instance, 100.0))
            self.fleet._handle_attached(instance)
            self.assertFalse(placement.is_usable(instance, 100.0))
            # The new sidecar has received a heartbeat of its worker's agent,
            # and has not polled it yet.
            report = self.make_report()
            report.looked = False
            self.fleet._handle_report(instance, report)
            self.assertFalse(placement.is_usable(instance, 100.0))
            self.fleet._handle_report(instance, self.make_report())
            self.assertTrue(placement.is_usable(instance, 100.0))
            group.cancel_scope.cancel()

    async def test_a_done_task_is_stopped_elsewhere(self):
        """A completed build is run again on another instance.

        Its instance had been unreachable for longer than its leases, and
        reports the end while the second run is claimed or running.
        """
        async with anyio.create_task_group() as group:
            self.fleet.open(group)
            first, second = (self.attach(address) for address in ADDRESSES)
            job = cases.make_job(cases.make_step(2))
            self.board.add(job)
            claims = []
            report = self.make_report()
            for number, task in enumerate(list(job.waiting.values()), 1):
                self.place(task, first)
                first.drop_run((task.name, 1))
                self.board.note_end(task, 1, board.End.LOST, '', 2)
                claims.append(self.place(task, second))
                report.ended.add(
                    number=number, task=task.name, run=1, how='done'
                )
            sent, unsent = claims
            self.fleet.start(sent, clock.read())
            self.fleet._handle_report(first, report)
            self.fleet.start(unsent, clock.read())
            orders = self.fleet._links[second.address].edit_next_orders()
            self.assertEqual(
                [sent.run.task], [start.task for start in orders.starts]
            )
            self.assertEqual(
                [sent.run.task, unsent.run.task],
                [stop.task for stop in orders.stops],
            )
            self.assertIs(record.JobPhase.ACTIVE, job.phase)
            report = self.make_report()
            for claim in claims:
                report.barred.add(task=claim.run.task, run=2, reason='absent')
            self.fleet._handle_report(second, report)
            self.assertIs(record.JobPhase.COMPLETE, job.phase)
            group.cancel_scope.cancel()

    def make_claim(self):
        """Claim a placement for the only task of a job."""
        instance = self.attach(ADDRESSES[0])
        job = cases.make_job()
        self.board.add(job)
        (task,) = job.tasks.values()
        return self.place(task, instance)

    async def test_a_start_expires_within_the_promise_of_a_cancel(self):
        """A delayed order starts a task seconds after its cancel."""
        async with anyio.create_task_group() as group:
            self.fleet.open(group)
            claim = self.make_claim()
            self.fleet.start(claim, clock.read() - 1.0)
            (start,) = self.list_starts(ADDRESSES[0])
            self.assertGreater(start.deadline, SIDECAR_CLOCK)
            self.assertLess(
                start.deadline, SIDECAR_CLOCK + CANCEL_SECONDS - 1.0
            )
            group.cancel_scope.cancel()

    async def test_an_outdated_claim_is_rolled_back(self):
        """A delayed claim starts a task seconds after its cancel."""
        async with anyio.create_task_group() as group:
            self.fleet.open(group)
            claim = self.make_claim()
            self.fleet.start(claim, clock.read() - CANCEL_SECONDS)
            self.assertEqual([], self.list_starts(ADDRESSES[0]))
            self.assertEqual({}, claim.instance.runs)
            self.assertIn(claim.task.key, claim.task.job.waiting)
            group.cancel_scope.cancel()

    async def test_nothing_is_ordered_before_the_sidecars_clock_is_known(
        self,
    ):
        """An order without a deadline is executed whenever it arrives."""
        async with anyio.create_task_group() as group:
            self.fleet.open(group)
            claim = self.make_claim()
            self.fleet._links[ADDRESSES[0]].note_sidecar_clock(0.0)
            self.fleet.start(claim, clock.read())
            self.assertEqual([], self.list_starts(ADDRESSES[0]))
            self.assertIn(claim.task.key, claim.task.job.waiting)
            group.cancel_scope.cancel()
