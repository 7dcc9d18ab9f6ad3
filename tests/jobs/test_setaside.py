from unittest import mock

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import order
from persimmonsail.jobs import placement
from persimmonsail import logs
from tests import base
from tests.jobs import cases

NOW = 100.0
WALL = 1000.0
OTHER = '00000000000000ab'


class SetAsideTest(base.TestCase):
    """An error in the planning of one job, beside another job."""

    def setUp(self):
        super().setUp()
        self.board = board_module.Board()
        self.instance = cases.make_instance(cores=8)
        self.snapshot = fleetsnapshot.FleetSnapshot()
        self.fails = True
        self.broken = cases.make_job(cases.make_step(3, gang=True))
        self.board.add(self.broken)
        self.board.add(cases.make_job(cases.make_step(6), id=OTHER))
        self.write_error = self.patch(logs, 'write_error')

    def patch(self, target, name, **fields):
        patch = mock.patch.object(target, name, **fields)
        self.addCleanup(patch.stop)
        return patch.start()

    def break_last_member(self):
        """Fail in the choice of an instance for the last task of a gang."""
        choose = placement.Candidates.choose

        def choose_or_fail(candidates, *arguments):
            placed = self.instance.count_step(f'{cases.ID}.0.0')
            if self.fails and candidates._step.gang and placed == 2:
                raise ValueError('planted')
            return choose(candidates, *arguments)

        self.patch(placement.Candidates, 'choose', new=choose_or_fail)

    def plan(self, now=NOW):
        claims = cases.plan(
            self.board, self.snapshot, [self.instance], now, WALL
        )
        return [claim.task.job.id for claim in claims]

    def test_a_job_that_cannot_be_placed_stops_no_other(self):
        """Each leader ends in turn, as one stored job can't be planned."""
        self.break_last_member()
        self.assertEqual([OTHER] * 6, self.plan())
        # What the failed attempt had added takes no capacity.
        self.assertEqual(2000, self.instance.free.millicores)
        self.assertEqual(3, len(self.broken.waiting))

    def test_a_job_that_cannot_be_rated_stops_no_other(self):
        rate = order.rate

        def rate_or_fail(task, *arguments):
            if task.job is self.broken:
                raise ZeroDivisionError('planted')
            return rate(task, *arguments)

        self.patch(order, 'rate', new=rate_or_fail)
        self.assertEqual([OTHER] * 6, self.plan())

    def test_it_is_tried_again_ever_more_rarely(self):
        """A job that can't be planned takes up the leader's time."""
        self.break_last_member()
        tries = []
        for second in range(300):
            before = self.broken.planning_failures
            self.plan(NOW + second)
            if self.broken.planning_failures > before:
                tries.append(second)
        self.assertEqual([0, 1, 3, 7, 15, 31], tries[:6])
        self.assertLess(len(tries), 12)
        # Its error is logged once.
        self.write_error.assert_called_once()

    def test_it_is_planned_once_it_can_be(self):
        self.break_last_member()
        self.instance.capacity = self.instance.capacity + (
            cases.make_step().size
        )
        self.plan()
        self.fails = False
        self.assertEqual([], self.plan(NOW + 0.5))
        self.assertEqual([cases.ID] * 3, self.plan(NOW + 1.5))
        self.assertEqual(0, self.broken.planning_failures)
