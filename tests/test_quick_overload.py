import signal

import httpx
import pytest

from tests import base
from tests import quickcase

pytestmark = pytest.mark.processes


class OverloadTest(base.TestCase):
    async def test_overload_while_a_sidecar_dies_leaves_no_caller_waiting(
        self,
    ):
        """Callers hang after a crash in a busy hour.

        One of two sidecars is killed under more load than both take.
        Each caller gets a final answer; what is 'not run' did not run,
        and nothing runs twice.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            one = await site.add_sidecar('one', slots=2, queue=4)
            await site.add_sidecar('two', slots=2, queue=4)
            await site.wait_ready('one', 'two')

            async def kill_when_busy() -> None:
                backend = site.running.processes['backend-one']
                await backend.wait_event('work')
                one.send_signal(signal.SIGKILL)

            *answers, _ = await quickcase.gather(
                *(
                    site.post('order', {'n': n, 'seconds': 0.5})
                    for n in range(40)
                ),
                kill_when_busy(),
            )
            ran = [run['request'] for run in await site.read_all()]
            self.assertEqual(len(set(ran)), len(ran))
            for answer in answers:
                if answer.status_code == 200:
                    self.assertIn(answer.headers['request-id'], ran)
                    continue
                problem = answer.json()
                self.assertIn(problem['work'], ('not-run', 'unknown'))
                if problem['work'] == 'not-run':
                    self.assertNotIn(problem['request'], ran)
                    self.assertGreater(problem['retry_after_seconds'], 0)

    async def test_refusals_are_immediate_true_and_say_when_to_return(self):
        """Callers wait for their whole deadline only to be refused.

        More requests come than slots and queue hold. Each one given up
        on gets its answer before the work in front of it ends.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            await site.add_sidecar('one', slots=2, queue=4)
            await site.wait_ready('one')
            order: list[int] = []

            async def post(number: int) -> httpx.Response:
                answer = await site.post('order', {'n': number, 'seconds': 3})
                order.append(answer.status_code)
                return answer

            answers = await quickcase.gather(*(post(n) for n in range(40)))
            codes = [answer.status_code for answer in answers]
            self.assertEqual(6, codes.count(200), codes)
            self.assertEqual(34, codes.count(503), codes)
            self.assertEqual([503] * 34 + [200] * 6, order)
            ran = {run['request'] for run in await site.read_all()}
            for answer in answers:
                if answer.status_code == 503:
                    self.assertEqual('not-run', answer.json()['work'])
                    self.assertGreater(answer.json()['retry_after_seconds'], 0)
                    self.assertNotIn(answer.json()['request'], ran)
