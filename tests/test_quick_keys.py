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
    async def open_paired_site(self):
        """Open a site of two entries and two instances."""
        directory = self.make_directory()
        async with quickcase.open_site(directory, entries=2) as site:
            await site.add_sidecar('one')
            await site.add_sidecar('two')
            await site.wait_ready('one', 'two')
            yield site

    async def test_same_key_at_two_entries_runs_once(self):
        """Guards against executing a request with one key twice.

        The client abandons its request at one entry and sends the same
        key to another while the first is in flight. Both try to claim
        the key in the store; the loser joins the winner's attempt.
        """
        async with self.open_paired_site() as site:
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
            conflict = await site.post('order', {'n': 4}, 0, headers)
            self.assertEqual(422, conflict.status_code)
            self.assertEqual(10, len(await site.read_all()))

    async def test_keyed_order_is_refused_as_not_run_without_store(self):
        """Guards against duplicate execution while the store is down.

        Without the store an entry cannot find out whether another one
        holds the key: the order is refused immediately as not run, with
        Retry-After. Requests without a key and idempotent checks are
        still served.
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

    async def test_retry_after_entry_kill_joins_first_attempt(self):
        """Guards against duplicate execution on a retry.

        The entry is killed while the backend server executes the order.
        The caller retries with its key at another entry, which joins
        the claim and returns the answer of the first attempt.
        """
        async with self.open_paired_site() as site:

            async def expect_no_answer() -> None:
                try:
                    await site.post('order', LONG_ORDER, 0, KEY)
                except httpx.HTTPError:
                    return
                self.fail('the killed entry answered')

            async def kill_when_running() -> None:
                await site.wait_work_started()
                site.entries[0].send_signal(signal.SIGKILL)

            await quickcase.gather(expect_no_answer(), kill_when_running())
            answer = await site.post('order', LONG_ORDER, 1, KEY)
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(1, answer.json()['echo']['n'])
            self.assertEqual(1, len(await site.read_all()))

    async def test_key_never_runs_again_after_sidecar_kill(self):
        """Guards against rerunning a keyed order on a second instance.

        The claimed instance's sidecar is killed while the order runs;
        the caller retries the key at both entries. Whether the order
        ran cannot be determined, so all answers are 'unknown'.
        """
        async with self.open_paired_site() as site:

            async def kill_when_running() -> None:
                name = await site.wait_work_started()
                site.running.processes[name].send_signal(signal.SIGKILL)

            first, _ = await quickcase.gather(
                site.post('order', LONG_ORDER, 0, KEY), kill_when_running()
            )
            self.assertEqual('unknown', first.json()['work'])
            for entry in (0, 1):
                retry = await site.post('order', LONG_ORDER, entry, KEY)
                self.assertEqual(504, retry.status_code)
                self.assertEqual('unknown', retry.json()['work'])
            self.assertEqual(1, len(await site.read_all()))
