import signal

import httpx
import pytest

from tests import base
from tests import quickcase

pytestmark = pytest.mark.processes


class OverloadTest(base.TestCase):
    async def test_sidecar_kill_under_overload_answers_every_caller(
        self,
    ):
        """Guards against callers that hang after a crash under overload.

        One of two sidecars is killed while the load exceeds the
        capacity of both. Each caller gets a final answer; a request
        answered with 'not-run' did not run, and none runs twice.
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
            executed = [run['request'] for run in await site.read_all()]
            self.assertEqual(len(set(executed)), len(executed))
            for answer in answers:
                if answer.status_code == 200:
                    self.assertIn(answer.headers['request-id'], executed)
                    continue
                problem = answer.json()
                self.assertIn(problem['work'], ('not-run', 'unknown'))
                if problem['work'] == 'not-run':
                    self.assertNotIn(problem['request'], executed)
                    self.assertGreater(problem['retry_after_seconds'], 0)

    async def test_refusals_are_immediate_correct_and_have_retry_after(self):
        """Guards against refusals that come only at the deadline.

        More requests arrive than slots and queue hold. Each excess one
        is refused before the work ahead of it ends.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            await site.add_sidecar('one', slots=2, queue=4)
            await site.wait_ready('one')
            completion_order: list[int] = []

            async def post(number: int) -> httpx.Response:
                answer = await site.post('order', {'n': number, 'seconds': 3})
                completion_order.append(answer.status_code)
                return answer

            answers = await quickcase.gather(*(post(n) for n in range(40)))
            status_codes = [answer.status_code for answer in answers]
            self.assertEqual(6, status_codes.count(200), status_codes)
            self.assertEqual(34, status_codes.count(503), status_codes)
            self.assertEqual([503] * 34 + [200] * 6, completion_order)
            executed = {run['request'] for run in await site.read_all()}
            for answer in answers:
                if answer.status_code == 503:
                    self.assertEqual('not-run', answer.json()['work'])
                    self.assertGreater(answer.json()['retry_after_seconds'], 0)
                    self.assertNotIn(answer.json()['request'], executed)
