import anyio
import httpx
import pytest

from tests import base
from tests import quickcase

pytestmark = pytest.mark.processes


class LeavingTest(base.TestCase):
    async def test_leaving_backend_server_gets_no_new_work(self):
        """A runner that is shut down for repair is given new checks.

        The backend server says that it leaves; its sidecar's probe sees
        it and reports. Once the entry knows, nothing goes there.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            one = await site.add_sidecar('one')
            await site.add_sidecar('two')
            await site.wait_ready('one', 'two')
            await site.send_backend_action('one', 'leave')
            await one.wait_event('backend-leaving')
            await site.entries[0].wait_event('leaving', instance='one')
            for number in range(20):
                answer = await site.post('order', {'n': number})
                self.assertEqual(200, answer.status_code)
            self.assertEqual([], await site.read_record('one'))
            self.assertEqual([], one.find('admission'))
            await site.send_backend_action('one', 'return')
            await site.entries[0].wait_event('serving', instance='one')

    async def test_leaving_is_kept_while_its_report_is_lost(self):
        """A leaving runner gets new work because the report was lost.

        The link over which the sidecar announces goes silent just then.
        The entry goes on choosing the instance; the sidecar refuses all
        of it as not run, and the request goes elsewhere.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            address, control = await site.running.start_proxy(
                'link-proxy', site.controls[0]
            )
            one = await site.add_sidecar('one', controls=[address])
            await site.add_sidecar('two')
            await site.wait_ready('one', 'two')
            await site.running.set_faults(control, mode='freeze')
            await site.send_backend_action('one', 'leave')
            await one.wait_event('backend-leaving')
            for number in range(20):
                answer = await site.post('order', {'n': number})
                self.assertEqual(200, answer.status_code)
            self.assertEqual([], await site.read_record('one'))


class GracefulStopTest(base.TestCase):
    async def test_waiting_caller_is_answered_when_its_entry_stops(self):
        """A caller that waits for a build loses its connection.

        Its entry is replaced; the wait ends at once with the build's
        present state, and the entry exits with code 0.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            await site.add_sidecar('one')
            await site.wait_ready('one')
            entry = site.entries[0]
            await entry.wait_event('partition-opened', count=8)
            answer = await site.post('build', {'seconds': 25})
            self.assertEqual(202, answer.status_code)
            task = answer.json()['task']
            url = f'{site.url()}/v1/tasks/{task}'

            async def wait() -> httpx.Response:
                return await site.running.client.get(
                    url, params={'wait': '30'}
                )

            async def stop() -> int:
                await entry.wait_event('placement', task=task)
                return await entry.stop()

            answer, code = await quickcase.gather(wait(), stop())
            self.assertEqual(0, code)
            self.assertEqual(200, answer.status_code)
            self.assertEqual('claimed', answer.json()['phase'])


class Balancer:
    """Sends orders to ready entries until told to stop."""

    def __init__(self, site: quickcase.Site) -> None:
        self.site = site
        self.answers: dict[int, httpx.Response] = {}
        self.cut_off: list[tuple[int, str]] = []
        self.stopped = False
        self.number = 0

    async def run(self) -> None:
        """Send one order after the other, over kept connections."""
        limits = httpx.Limits(max_keepalive_connections=4)
        async with httpx.AsyncClient(
            trust_env=False, timeout=30, limits=limits
        ) as client:
            while not self.stopped:
                self.number += 1
                await self._send(client, self.number)

    async def _send(self, client: httpx.AsyncClient, number: int) -> None:
        for turn in range(200):
            url = self.site.url(turn % len(self.site.entries))
            try:
                ready = await client.get(f'{url}/ready')
            except httpx.HTTPError:
                await anyio.sleep(0.05)
                continue
            if ready.status_code != 200:
                await anyio.sleep(0.05)
                continue
            try:
                self.answers[number] = await client.post(
                    f'{url}/v1/workloads/order/requests',
                    json={'n': number, 'seconds': 0.05},
                )
            except httpx.ConnectError:
                continue
            except httpx.HTTPError as error:
                self.cut_off.append((number, repr(error)))
            return
        self.cut_off.append((number, 'no entry was ready'))


class RollingReplacementTest(base.TestCase):
    async def test_replacing_all_processes_cuts_off_no_request(self):
        """During a release some callers see resets and double orders.

        Two entries and three sidecars are replaced one by one while
        orders come without a pause. Each order is answered and runs
        exactly once; an instance that has said that it leaves admits
        nothing after the entries know it.
        """
        async with quickcase.open_site(
            self.make_directory(), entries=2
        ) as site:
            names = ['one', 'two', 'three']
            for name in names:
                await site.add_sidecar(name)
            await site.wait_ready(*names)
            balancer = Balancer(site)
            async with anyio.create_task_group() as group:
                for _ in range(4):
                    group.start_soon(balancer.run)
                await self._replace_all(site, names)
                balancer.stopped = True
            self.assertEqual([], balancer.cut_off)
            bad = {
                number: answer.text
                for number, answer in balancer.answers.items()
                if answer.status_code != 200
            }
            self.assertEqual({}, bad)
            self.assertGreater(len(balancer.answers), 50)
            ran = sorted(run['body']['n'] for run in await site.read_all())
            self.assertEqual(sorted(balancer.answers), ran)

    async def _replace_all(self, site, names) -> None:
        running = site.running
        for name in names:
            self.assertEqual(0, await running.processes[name].stop())
            found = await site.add_sidecar(name)
            incarnation = found.find('listening')[0]['incarnation']
            for entry in site.entries:
                await entry.wait_event('announced', incarnation=incarnation)
        for index in range(2):
            old = site.entries[index]
            self.assertEqual(0, await old.stop())
            fresh = await running.start_entry(f'new-{index}')
            site.entries[index] = fresh
            await fresh.wait_event('catalogue')
            for name in names:
                await fresh.wait_event('announced', instance=name)


class StopInFlightTest(base.TestCase):
    async def test_entry_and_sidecar_stop_together_around_a_request(self):
        """An order is cut off because two releases met.

        Its entry and its sidecar are both told to stop while the
        backend server works. The caller gets the whole answer, then
        both exit with code 0.
        """
        async with quickcase.open_site(self.make_directory()) as site:
            one = await site.add_sidecar('one')
            await site.wait_ready('one')

            async def stop(process) -> int:
                backend = site.running.processes['backend-one']
                await backend.wait_event('work')
                return await process.stop()

            answer, entry_code, sidecar_code = await quickcase.gather(
                site.post('order', {'n': 1, 'seconds': 4}),
                stop(site.entries[0]),
                stop(one),
            )
            self.assertEqual(200, answer.status_code)
            self.assertEqual(1, answer.json()['echo']['n'])
            self.assertEqual('close', answer.headers['connection'])
            self.assertEqual((0, 0), (entry_code, sidecar_code))
            record = await site.read_all()
            self.assertEqual([True], [run['ended'] for run in record])
