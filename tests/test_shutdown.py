import anyio

from persimmonsail import problems
from persimmonsail import shutdown
from tests import base


class StopTest(base.TestCase):
    async def test_wait_returns_the_current_state_when_a_stop_begins(self):
        stop = shutdown.Stop()
        waits = []

        async def wait(seconds):
            waits.append(seconds)
            await anyio.sleep(seconds)
            return 'state'

        async with anyio.create_task_group() as group:
            group.start_soon(stop.wait_unless_stopping, wait, 3600)
            await anyio.wait_all_tasks_blocked()
            stop.begun.set()
        self.assertEqual([3600, 0], waits)

    async def test_problem_during_a_wait_is_raised_unwrapped(self):
        """A caller who waits for an unknown task gets status 500.

        The error of the wait was raised wrapped in an exception group,
        which is not translated into a problem response.
        """

        async def wait(seconds):
            raise problems.Problem(404, 'No such task', problems.NOT_RUN)

        with self.assertRaises(problems.Problem):
            await shutdown.Stop().wait_unless_stopping(wait, 30)


class CallsTest(base.TestCase):
    async def test_idle_is_reached_when_the_last_call_ends(self):
        calls = shutdown.CallTracker()
        ended = []

        async def wait():
            await calls.wait_idle()
            ended.append(True)

        async with anyio.create_task_group() as group:
            with calls.track():
                group.start_soon(wait)
                with calls.track():
                    await anyio.wait_all_tasks_blocked()
                await anyio.wait_all_tasks_blocked()
                self.assertEqual([], ended)
        self.assertEqual([True], ended)
