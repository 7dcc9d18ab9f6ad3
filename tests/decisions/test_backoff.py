import random
import time

from persimmonsail import control_pb2
from persimmonsail.decisions import backoff
from tests import base
from tests.partitioning import test_holder

REASON = 'no entry confirms the catalogue revision since the start'
TWO_MINUTES = 120.0
ROUND_SECONDS = 0.2


def make_backoff() -> backoff.Backoff:
    return backoff.Backoff(random.Random(1))


class BackoffTest(base.TestCase):
    def count_claims(self, retry_after: float) -> int:
        """Claim a task as often as allowed for two virtual minutes."""
        delays = make_backoff()
        claims = 0
        for index in range(int(TWO_MINUTES / ROUND_SECONDS)):
            now = index * ROUND_SECONDS
            if not delays.is_waiting('t', now):
                claims += 1
                delays.note_refusal('t', claims, REASON, retry_after, now)
        return claims

    def test_two_minutes_of_refusals_take_few_claims(self):
        """A task that cannot start must not use up the store's writes.

        While every sidecar refused it, it was claimed and released five
        times a second, 560 times in two minutes.
        """
        self.assertLess(self.count_claims(0.0), 40)
        self.assertLess(self.count_claims(0.1), 40)

    def test_waits_double_up_to_the_maximum(self):
        delays = make_backoff()
        for attempt in range(1, 20):
            wait = delays.note_refusal('t', attempt, REASON, 0.1, 0.0)
            base_seconds = min(0.1 * 2 ** (attempt - 1), 4.0)
            self.assertEqual(attempt, wait.refusals)
            self.assertAlmostEqual(base_seconds, wait.base_seconds)
            self.assertGreaterEqual(wait.until, wait.base_seconds)
            self.assertLessEqual(wait.until, backoff.MAX_WAIT_SECONDS)

    def test_longer_delay_suggested_by_the_sidecar_is_used(self):
        delays = make_backoff()
        self.assertEqual(
            1, delays.note_refusal('t', 1, REASON, 1, 0.0).base_seconds
        )
        self.assertEqual(
            3, delays.note_refusal('t', 2, REASON, 3, 0.0).base_seconds
        )

    def test_successful_start_resets_the_backoff(self):
        """An evicted task must not wait because of refusals before its run.

        It is refused many times, then runs and is evicted.
        """
        delays = make_backoff()
        for attempt in range(1, 8):
            delays.note_refusal('t', attempt, REASON, 0.1, 0.0)
        self.assertFalse(delays.is_waiting('t', backoff.MAX_WAIT_SECONDS))
        wait = delays.note_refusal('t', 9, REASON, 0.1, 10.0)
        self.assertEqual((1, 0.1), (wait.refusals, wait.base_seconds))

    def test_leaving_instance_delays_nothing(self):
        delays = make_backoff()
        self.assertIsNone(delays.note_refusal('t', 1, 'leaving', 0.1, 0.0))
        self.assertFalse(delays.is_waiting('t', 0.0))

    def test_other_tasks_and_first_placements_do_not_wait(self):
        delays = make_backoff()
        delays.note_refusal('t', 1, REASON, 0.1, 0.0)
        self.assertTrue(delays.is_waiting('t', 0.0))
        self.assertFalse(delays.is_waiting('u', 0.0))

    def test_waits_of_ended_tasks_are_removed(self):
        delays = make_backoff()
        delays.note_refusal('t', 1, REASON, 0.1, 0.0)
        delays.note_refusal('u', 1, REASON, 0.1, 0.0)
        delays.forget_unless(lambda task: task == 'u')
        self.assertFalse(delays.is_waiting('t', 0.0))
        self.assertTrue(delays.is_waiting('u', 0.0))


class RefusingSupervisor:
    """Wraps a supervisor and refuses every start of one task."""

    def __init__(self, supervisor, task: str) -> None:
        self.refused_at = []
        self._start = supervisor.start
        self._task = task
        supervisor.start = self.start

    async def start(self, request):
        """See ``persimmonsail.sidecars.supervisor.Supervisor.start``."""
        if request.task != self._task:
            return await self._start(request)
        self.refused_at.append(time.monotonic())
        return control_pb2.StartTaskReply(
            verdict=control_pb2.NOT_RUN,
            reason=REASON,
            retry_after_seconds=0.1,
            ticket=time.monotonic(),
            boot=request.boot,
            incarnation=request.incarnation,
        )


class DispatcherTest(base.TestCase):
    async def test_refused_task_is_claimed_with_increasing_delays(self):
        """A task that cannot start must not use up the store's writes.

        Its sidecar refuses every start. Five claims take at least the
        waits between them on any machine; another task is placed
        meanwhile.
        """
        partition = test_holder.Partition()
        instance = await partition.add('one')
        refusing = RefusingSupervisor(instance.supervisor, 't')
        async with partition.hold() as holder:
            await holder.submit(test_holder.make_submit('t'))
            await test_holder.wait_for(holder, lambda: refusing.refused_at)
            await holder.submit(test_holder.make_submit('u'))
            await test_holder.wait_for(
                holder, lambda: test_holder.is_running(instance, 'u')
            )
            await test_holder.wait_for(
                holder, lambda: len(refusing.refused_at) >= 5
            )
        first, *_, fifth = refusing.refused_at[:5]
        self.assertGreaterEqual(fifth - first, 0.1 + 0.2 + 0.4 + 0.8)
