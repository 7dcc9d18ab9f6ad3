import anyio
import httpx
import pytest

from tests import base
from tests import quickcase

pytestmark = pytest.mark.processes


class LeavingTest(base.TestCase):
    async def test_leaving_backend_server_gets_no_new_work(self):
        """Guards against routing new work to a leaving backend server.

        The backend server reports that it is leaving; its sidecar's
        probe observes this and announces it. Once the entry has the
        announcement, it routes nothing there.
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

    async def test_leaving_sidecar_refuses_work_while_its_report_is_lost(self):
        """Guards against new work on a leaving backend server.

        The link for the sidecar's announcements freezes before the
        report is sent. The entry still selects the instance; the
        sidecar refuses each request as not run, and the entry reroutes
        it.
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
        """Guards against dropping the connection of a waiting caller.

        The entry is stopped; the wait ends immediately with the build's
        current state, and the entry exits with code 0.
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


class LoadBalancer:
    """Sends orders to ready entries until stopped."""

    def __init__(self, site: quickcase.Site) -> None:
        self.site = site
        self.answers: dict[int, httpx.Response] = {}
        self.aborted: list[tuple[int, str]] = []
        self.stopped = False
        self.number = 0

    async def run(self) -> None:
        """Send orders one at a time over keep-alive connections."""
        limits = httpx.Limits(max_keepalive_connections=4)
        async with httpx.AsyncClient(
            trust_env=False, timeout=30, limits=limits
        ) as client:
            while not self.stopped:
                self.number += 1
                await self._send(client, self.number)

    async def _send(self, client: httpx.AsyncClient, number: int) -> None:
        for attempt in range(200):
            url = self.site.url(attempt % len(self.site.entries))
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
                self.aborted.append((number, repr(error)))
            return
        self.aborted.append((number, 'no entry was ready'))


class RollingReplacementTest(base.TestCase):
    async def test_replacing_all_processes_aborts_no_request(self):
        """Guards against connection resets and duplicates in a release.

        Two entries and three sidecars are replaced one by one under
        continuous load. Each order is answered and runs exactly once; a
        leaving instance admits nothing after the entries have been
        notified.
        """
        async with quickcase.open_site(
            self.make_directory(), entries=2
        ) as site:
            names = ['one', 'two', 'three']
            for name in names:
                await site.add_sidecar(name)
            await site.wait_ready(*names)
            load_balancer = LoadBalancer(site)
            async with anyio.create_task_group() as group:
                for _ in range(4):
                    group.start_soon(load_balancer.run)
                await self._replace_all(site, names)
                load_balancer.stopped = True
            self.assertEqual([], load_balancer.aborted)
            failed = {
                number: answer.text
                for number, answer in load_balancer.answers.items()
                if answer.status_code != 200
            }
            self.assertEqual({}, failed)
            self.assertGreater(len(load_balancer.answers), 50)
            ran = sorted(run['body']['n'] for run in await site.read_all())
            self.assertEqual(sorted(load_balancer.answers), ran)

    async def _replace_all(self, site, names) -> None:
        running = site.running
        for name in names:
            self.assertEqual(0, await running.processes[name].stop())
            new_sidecar = await site.add_sidecar(name)
            incarnation = new_sidecar.find('listening')[0]['incarnation']
            for entry in site.entries:
                await entry.wait_event('announced', incarnation=incarnation)
        for index in range(2):
            old_entry = site.entries[index]
            self.assertEqual(0, await old_entry.stop())
            new_entry = await running.start_entry(f'new-{index}')
            site.entries[index] = new_entry
            await new_entry.wait_event('catalogue')
            for name in names:
                await new_entry.wait_event('announced', instance=name)


class StopInFlightTest(base.TestCase):
    async def test_entry_and_sidecar_stop_during_a_request(self):
        """Guards against aborting an order when two releases overlap.

        The entry and the sidecar are both stopped while the backend
        server executes. The caller gets the complete answer, then both
        exit with code 0.
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
