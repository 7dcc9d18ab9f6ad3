import pytest

from standins import platform_deployment
from tests import base
from tools.soaking import callers
from tools.soaking import faults
from tools.soaking import trial

# Each seed that ever broke a promise stays here, with its cause.
REGRESSIONS = (
    # An innocent job was given up for crashes that other tasks explain.
    5002,
    # An answer at the very limit of a call's time was none, and a read got
    # 500.
    5005,
)
# Those that broke one beside cancels, on a deployment of the usual size.
REGRESSIONS_BESIDE_CANCELS = (
    # A suspect that was tried beside other suspects began six times.
    910118,
)
SILENCES = {'hang_watch', 'lose_answers_of_one', 'silence_worker'}
FAULTS = {
    'change_configuration',
    'crash_many',
    'crash_worker',
    'cut',
    'cut_one_way',
    'delay',
    'fail_tasks',
    'freeze',
    'kill',
    'lose_answers',
    'lose_history',
    'pause',
    'refuse_calls',
    'reload',
    'shrink_room',
    'silence',
    'start_late',
    'stop',
}


def make_start(task, began, ended, how, acknowledged=True):
    return {
        'task': task,
        'began': began,
        'ended': ended,
        'how': how,
        'acknowledged': acknowledged,
    }


class PromiseTest(base.TestCase):
    """A soak is worth what its checks notice."""

    def find(self, *starts):
        return platform_deployment.find_overlaps(list(starts), kept=True)

    def test_two_runs_at_once_are_noticed(self):
        first = make_start('a', 1.0, 3.0, 'stopped')
        self.assertEqual(
            ['a'], self.find(first, make_start('a', 2.0, 4.0, 'done'))
        )
        self.assertEqual(
            [], self.find(first, make_start('a', 3.5, 4.0, 'done'))
        )

    def test_a_run_after_a_noted_end_is_noticed(self):
        second = make_start('a', 3.5, 4.0, 'done')
        for noted, found in ((True, ['a']), (False, [])):
            first = make_start('a', 1.0, 3.0, 'done', noted)
            self.assertEqual(found, self.find(first, second))

    def test_every_fault_is_drawn_from(self):
        self.assertEqual(FAULTS, set(faults.FAULTS))
        self.assertEqual(SILENCES, set(faults.SILENCES))

    def test_a_start_long_after_a_cancel_is_noticed(self):
        call = callers.Call('a', lasts=True, cancelled_at=10.0)
        soon = make_start('a.0.0.0', 12.0, 12.5, 'stopped')
        late = make_start('a.0.0.1', 13.5, 13.7, 'stopped')
        left = make_start('a.0.0.2', 9.0, 0.0, '')
        other = make_start('b.0.0.0', 20.0, 0.0, '')
        found = trial._check_cancelled(call, [soon, late, left, other])
        self.assertEqual(
            [
                'a.0.0.1: began 3.50 s after a cancel',
                'a.0.0.2: runs on after a cancel',
            ],
            found,
        )


@pytest.mark.processes
class SoakTest(base.TestCase):
    """Replays faults that overlap on a small deployment."""

    async def play(self, seed, seconds, cancels=True):
        await self.play_plan(
            trial.Plan(seed, seconds, entries=2, instances=2, cancels=cancels)
        )

    async def play_plan(self, plan):
        directory = self.make_directory() / 'site'
        report = await trial.Trial(plan, directory).run()
        self.assertEqual([], report.broken, '\n'.join(report.evidence))
        self.assertGreater(report.starts, 0)
        self.assertGreater(report.faults, 0)

    async def test_a_short_run_keeps_all_promises(self):
        await self.play(seed=11, seconds=4.0)

    async def test_seeds_that_once_broke_a_promise_keep_it(self):
        for seed in REGRESSIONS:
            await self.play(seed, 12.0, cancels=False)

    async def test_seeds_that_once_broke_a_promise_beside_cancels(self):
        for seed in REGRESSIONS_BESIDE_CANCELS:
            await self.play_plan(trial.Plan(seed))
