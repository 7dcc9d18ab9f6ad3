import contextlib
import signal

import httpx
import pytest

from tests import base
from tests import quickcase

pytestmark = pytest.mark.processes


KEY = {'idempotency-key': 'order-1'}
LONG_ORDER = {'n': 1, 'seconds': 2}


class SameKeyTest(base.TestCase):
    @contextlib.asynccontextmanager
    async def open_pairs(self):
        """Open a site of two entries and two instances."""
        directory = self.make_directory()
        async with quickcase.open_site(directory, entries=2) as site:
            await site.add_sidecar('one')
            await site.add_sidecar('two')
            await site.wait_ready('one', 'two')
            yield site

    async def test_one_key_at_two_entries_at_once_runs_once(self):
        """A buyer's order is placed twice.

        The caller's client gives up on one entry and sends the same key
        to another while the first request is on its way. Both reach the
        claim in the store; the loser joins the winner's attempt.
        """
        async with self.open_pairs() as site:
            for number in range(10):
                headers = {'idempotency-key': f'order-{number}'}
                body = {'n': number, 'seconds': 0.2}
                first, second = await quickcase.gather(
                    site.post('order', body, 0, headers),
                    site.post('order', body, 1, headers),
                )
                self.assertEqual(200, first.status_code, first.text)
                self.assertEqual(200, second.status_code, second.text)
                self.assertEqual(first.json(), second.json())
            self.assertEqual(10, len(await site.read_all()))

            headers = {'idempotency-key': 'order-3'}
            again = await site.post('order', {'n': 4}, 0, headers)
            self.assertEqual(422, again.status_code)
            self.assertEqual(10, len(await site.read_all()))

    async def test_claim_needs_the_store_and_says_not_run_without(self):
        """An order runs twice because the store was down.

        Without the store no entry can know whether another has the key:
        the order is refused at once, as not run, with a time to return.
        Orders without a key and checks are served on.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            await site.add_sidecar('one')
            await site.wait_ready('one')
            await site.running.set_faults(site.running.store, down=True)
            answer = await site.post(
                'order', {'n': 1}, headers={'idempotency-key': 'a'}
            )
            self.assertEqual(503, answer.status_code)
            self.assertEqual('not-run', answer.json()['work'])
            self.assertIn('retry-after', answer.headers)
            self.assertEqual([], await site.read_all())
            answer = await site.post(
                'check', {'n': 2}, headers={'idempotency-key': 'b'}
            )
            self.assertEqual(200, answer.status_code)

    async def test_key_repeated_elsewhere_after_its_entry_died(self):
        """A buyer sends an order again and it is placed twice.

        The entry is killed while the backend server works. The caller
        repeats its key at another entry, which joins the claim: it gets
        the answer of the first attempt.
        """
        async with self.open_pairs() as site:

            async def lose_answer() -> None:
                try:
                    await site.post('order', LONG_ORDER, 0, KEY)
                except httpx.HTTPError:
                    return
                self.fail('the killed entry answered')

            async def kill_when_running() -> None:
                await site.wait_work_started()
                site.entries[0].send_signal(signal.SIGKILL)

            await quickcase.gather(lose_answer(), kill_when_running())
            answer = await site.post('order', LONG_ORDER, 1, KEY)
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(1, answer.json()['echo']['n'])
            self.assertEqual(1, len(await site.read_all()))

    async def test_key_of_a_killed_sidecar_never_runs_again(self):
        """A build order with a key runs on a second instance.

        The claimed instance's sidecar dies while the order runs; the
        caller repeats the key at both entries. Nobody can know whether
        it ran, so that all of them say 'unknown'.
        """
        async with self.open_pairs() as site:

            async def kill_when_running() -> None:
                name = await site.wait_work_started()
                site.running.processes[name].send_signal(signal.SIGKILL)

            first, _ = await quickcase.gather(
                site.post('order', LONG_ORDER, 0, KEY), kill_when_running()
            )
            self.assertEqual('unknown', first.json()['work'])
            for entry in (0, 1):
                again = await site.post('order', LONG_ORDER, entry, KEY)
                self.assertEqual(504, again.status_code)
                self.assertEqual('unknown', again.json()['work'])
            self.assertEqual(1, len(await site.read_all()))
