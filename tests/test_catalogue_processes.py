import signal
import time

import anyio
import httpx
import pytest

from persimmonsail.catalogues import revisions
from persimmonsail import exits
from persimmonsail import logs
from standins import deployment
from tests import base
from tests import test_path

IN_FORCE_SECONDS = 5.0
FRESHNESS_SECONDS = 3.0
WAIT_SECONDS = 60.0
LOAD_INTERVAL_SECONDS = 0.05
LATER_CATALOGUE = '[fleet of-a-later-version]\nsize = 3\n'


class Site:
    """Entries, sidecars and callers of one test; owns no process."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.http: dict[str, str] = {}
        self.control: dict[str, str] = {}
        self.statuses: dict[str, set[int]] = {}
        self.text = test_path.CATALOGUE.read_text(encoding='utf-8')

    async def start_entry(self, name: str, **options) -> deployment.Process:
        process = await self.running.start_entry(name, **options)
        listening = process.find('listening')[0]
        self.http[name] = listening['http']
        self.control[name] = listening['control']
        return process

    async def start_sidecar(
        self, name: str, entries: list[str], **options
    ) -> deployment.Process:
        if f'{name}-worker' not in self.running.processes:
            await self.running.start_stand_in('worker', f'{name}-worker')
            await self.running.start_stand_in('backend', f'{name}-backend')
        found = {
            kind: self.running.processes[f'{name}-{kind}'].find('listening')
            for kind in ('worker', 'backend')
        }
        return await self.running.start_sidecar(
            name,
            entries,
            found['worker'][0]['http'],
            found['backend'][0]['http'],
            'planning',
            **options,
        )

    async def send_request(self, entry: str) -> httpx.Response:
        """Send one quick request through an entry."""
        return await self.running.client.post(
            f'http://{self.http[entry]}/v1/workloads/wire-cut-check/requests',
            json={},
        )

    async def wait_answer(self, entry: str, status: int) -> httpx.Response:
        """Send requests until one gets this status."""
        with anyio.fail_after(WAIT_SECONDS):
            while True:
                answer = await self.send_request(entry)
                if answer.status_code == status:
                    return answer
                await anyio.sleep(LOAD_INTERVAL_SECONDS)

    async def send_load(self) -> None:
        """Send requests through every entry until cancelled."""
        while True:
            for entry in list(self.http):
                # The test may have removed it meanwhile.
                if entry not in self.http:
                    continue
                try:
                    answer = await self.send_request(entry)
                except httpx.HTTPError:
                    continue
                self.statuses.setdefault(entry, set()).add(answer.status_code)
            await anyio.sleep(LOAD_INTERVAL_SECONDS)

    async def apply(
        self, cores: int, *options: str, name: str = 'edit'
    ) -> tuple[int, str]:
        """Apply the catalogue with another quota, as one operator."""
        path = self.running.directory / f'{name}.ini'
        text = self.text.replace('cores = 400', f'cores = {cores}')
        path.write_text(text, encoding='utf-8')
        return await self.running.run_command(
            'catalogue',
            'apply',
            str(path),
            '--store',
            self.running.store,
            '--author',
            name,
            *options,
        )

    def read_events(self, *names: str) -> list[dict[str, str]]:
        """Return logged events of all processes, also ended ones, by time."""
        found = []
        for path in self.running.log_files:
            for line in path.read_text(encoding='utf-8').splitlines():
                try:
                    event = logs.parse_line(line)
                except logs.LogSyntaxError:
                    continue
                if event.get('event') in names:
                    found.append(event)
        return sorted(found, key=lambda event: float(event['time']))


@pytest.mark.processes
class CatalogueProcessesTest(base.TestCase):
    def check_logs(self, site: Site) -> None:
        """Check that no replaced revision is used past its deadline."""
        in_force: dict[str, float] = {}
        highest: dict[str, int] = {}
        for event in site.read_events('catalogue'):
            revision = event['revision']
            in_force.setdefault(revision, float(event['time']))
            name = event['process']
            self.assertGreaterEqual(int(revision), highest.get(name, 0))
            highest[name] = int(revision)
        admissions = site.read_events('admission', 'task-admission')
        admitted = [
            event
            for event in admissions
            if event['verdict'] in ('answered', 'running')
        ]
        self.assertTrue(admitted)
        for event in admitted + site.read_events('routing'):
            used_revision = int(
                event.get('request_revision') or event['revision']
            )
            for revision, since in in_force.items():
                if used_revision < int(revision):
                    self.assertLess(
                        float(event['time']), since + IN_FORCE_SECONDS, event
                    )

    async def wait_in_force(self, site: Site, revision: str) -> None:
        """Wait until an edit must be in force at every process."""
        events = site.read_events('catalogue')
        since = min(
            float(event['time'])
            for event in events
            if event['revision'] == revision
        )
        remaining = since + IN_FORCE_SECONDS + 1 - time.time()
        await anyio.sleep(max(remaining, 0))

    async def test_concurrent_edits_with_silent_watches_and_a_cut_entry(self):
        """One entry continues to admit work under a replaced limit.

        Watches are silent, one entry is cut off from the store and from
        its peers but not from its callers and sidecar, and operators edit
        concurrently. Then the cut entry, another and a sidecar restart.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            site = Site(running)
            await running.start_store()
            proxies = {}
            for name in ('one', 'two', 'three'):
                proxies[name] = await running.start_proxy(
                    f'proxy-{name}', '127.0.0.1:1'
                )
            cut_store = await running.start_proxy('proxy-store', running.store)
            options = {
                name: {'process': {'control-advertised': proxies[name][0]}}
                for name in proxies
            }
            options['three']['store'] = cut_store[0]
            entries = {}
            for name in proxies:
                entries[name] = await site.start_entry(name, **options[name])
                await running.set_faults(
                    proxies[name][1], mode='pass', target=site.control[name]
                )
            await site.start_sidecar('a', [site.control['one']])
            # Linked to the cut entry only.
            cut_sidecar = await site.start_sidecar(
                'b', [site.control['three']]
            )
            self.assertEqual(exits.OK, (await site.apply(400))[0])
            for name in entries:
                await entries[name].wait_event('catalogue', revision='1')
                await site.wait_answer(name, 200)

            async with anyio.create_task_group() as group:
                group.start_soon(site.send_load)
                await running.set_faults(running.store, silent_watches=True)
                for _, control in (*proxies.values(), cut_store):
                    await running.set_faults(control, mode='cut')
                await self.apply_concurrently(site, 1)
                await self.apply_concurrently(site, 2)
                for name in ('one', 'two'):
                    await entries[name].wait_event('catalogue', revision='3')
                await entries['three'].wait_event('freshness-lost')
                refused = await site.wait_answer('three', 503)
                self.assertEqual('not-run', refused.json()['work'])
                self.assertIn('retry-after', refused.headers)
                ready = await running.client.get(
                    f'http://{site.http["three"]}/ready'
                )
                self.assertEqual(503, ready.status_code)
                self.assertIn('neither store nor peers', ready.text)
                await self.wait_in_force(site, '3')
                await site.wait_answer('one', 200)

                await entries['three'].stop(signal.SIGKILL)
                site.http.pop('three')
                entries['three'] = await site.start_entry(
                    'three', **options['three']
                )
                self.assertEqual(
                    503, (await site.send_request('three')).status_code
                )
                self.assertEqual([], entries['three'].find('catalogue'))
                for name, (_, control) in proxies.items():
                    await running.set_faults(
                        control, mode='pass', target=site.control[name]
                    )
                await running.set_faults(cut_store[1], mode='pass')
                first = await entries['three'].wait_event('catalogue')
                self.assertEqual('3', first['revision'])
                await entries['one'].stop(signal.SIGKILL)
                site.http.pop('one')
                entries['one'] = await site.start_entry(
                    'one', **options['one']
                )
                await running.set_faults(
                    proxies['one'][1], mode='pass', target=site.control['one']
                )
                first = await entries['one'].wait_event('catalogue')
                self.assertEqual('3', first['revision'])
                await cut_sidecar.stop(signal.SIGKILL)
                await site.start_sidecar('b', [site.control['three']])
                await site.wait_answer('three', 200)
                group.cancel_scope.cancel()
            code, output = await site.apply(
                7, '--base', '3', '--wait', str(WAIT_SECONDS)
            )
            self.assertIn('in-force revision=4', output)
            self.assertEqual(exits.OK, code)
            self.check_logs(site)
            code, output = await running.run_command(
                'status', '--store', running.store
            )
            self.assertIn('revision=4 ready=yes', output)
            self.assertEqual(3, output.count('\nentry=') + 1, output)

    async def apply_concurrently(self, site: Site, base_revision: int) -> None:
        """Apply conflicting edits of one revision by three operators."""
        results: dict[str, tuple[int, str]] = {}

        async def apply_edit(number: int) -> None:
            name = f'operator-{base_revision}-{number}'
            results[name] = await site.apply(
                100 * base_revision + number,
                '--base',
                str(base_revision),
                name=name,
            )

        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(apply_edit, number)
        codes = sorted(code for code, _ in results.values())
        self.assertEqual([exits.OK, *[exits.LOST_RACE] * 2], codes, results)
        (winner,) = (name for name in results if not results[name][0])
        for name, (_, output) in results.items():
            if name != winner:
                self.assertIn(
                    f'revision {base_revision + 1} by {winner}', output
                )
                self.assertIn('+cores = ', output)

    async def test_entries_serve_on_while_all_agree_on_an_outage(self):
        """An outage of the store becomes an outage of everything.

        All entries lose the store and report this to each other. When
        one is killed, the other cannot distinguish this from a network
        partition, and stops serving until the store is back.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            site = Site(running)
            await running.start_store()
            first = await site.start_entry('one')
            second = await site.start_entry('two')
            await site.start_sidecar('a', list(site.control.values()))
            self.assertEqual(exits.OK, (await site.apply(400))[0])
            for entry in (first, second):
                await entry.wait_event('catalogue', revision='1')
                await site.wait_answer(entry.name, 200)
            await running.set_faults(running.store, down=True)
            await self.wait_evidence_age(site, 2 * FRESHNESS_SECONDS)
            await site.wait_answer('one', 200)
            self.assertEqual([], first.find('freshness-lost'))
            code, output = await site.apply(300, '--base', '1')
            self.assertEqual(exits.UNAVAILABLE, code)
            self.assertIn('not accepted', output)

            await second.stop(signal.SIGKILL)
            await first.wait_event('freshness-lost')
            refused = await site.wait_answer('one', 503)
            self.assertEqual('not-run', refused.json()['work'])
            await running.set_faults(running.store, down=False)
            await first.wait_event('freshness-regained', count=2)
            await site.wait_answer('one', 200)
            self.check_logs(site)

    async def wait_evidence_age(self, site: Site, seconds: float) -> None:
        """Wait until an entry's own evidence is older than this."""
        with anyio.fail_after(WAIT_SECONDS):
            while True:
                _, output = await site.running.run_command(
                    'status', site.control['one']
                )
                line = logs.parse_line(output.splitlines()[0])
                if float(line['confirmed_seconds_ago']) > seconds:
                    return

    async def test_entry_frozen_during_an_edit(self):
        """A request is admitted under a limit replaced long ago.

        An entry is frozen and an edit is accepted. A sidecar that is
        linked to this entry only loses the edit in a restart. The entry
        resumes with requests waiting.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            site = Site(running)
            await running.start_store()
            frozen = await site.start_entry('one')
            other = await site.start_entry('two')
            sidecar = await site.start_sidecar('a', [site.control['one']])
            self.assertEqual(exits.OK, (await site.apply(400))[0])
            await frozen.wait_event('catalogue', revision='1')
            await site.wait_answer('one', 200)
            frozen.send_signal(signal.SIGSTOP)
            self.assertEqual(
                exits.OK, (await site.apply(300, '--base', '1'))[0]
            )
            await other.wait_event('catalogue', revision='2')
            await sidecar.stop(signal.SIGKILL)
            await site.start_sidecar('a', [site.control['one']])
            await self.wait_in_force(site, '2')
            async with anyio.create_task_group() as group:
                for _ in range(5):
                    group.start_soon(site.send_request, 'one')
                frozen.send_signal(signal.SIGCONT)
            await frozen.wait_event('catalogue', revision='2')
            await site.wait_answer('one', 200)
            self.check_logs(site)

    async def test_entry_refuses_a_catalogue_of_a_later_version(self):
        """An old entry crashes, or continues under the replaced revision.

        During a rolling update an operator applies a catalogue that the
        old version cannot read.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            site = Site(running)
            await running.start_store()
            entry = await site.start_entry('one')
            self.assertEqual(exits.OK, (await site.apply(400))[0])
            await entry.wait_event('catalogue', revision='1')
            head = revisions.Head(2, 'later', 'ann', '')
            for key, value in (
                (revisions.TEXT_PREFIX + head.id, LATER_CATALOGUE),
                (revisions.HEAD_KEY, revisions.dump_head(head)),
            ):
                await running.client.post(
                    f'http://{running.store}/v1/put',
                    json={'key': key, 'value': value},
                )
            refused = await entry.wait_event('catalogue-refused')
            self.assertEqual('warning', refused['level'])
            answer = await site.send_request('one')
            self.assertEqual(503, answer.status_code)
            self.assertIn('revision 2 cannot be read', answer.text)
            self.assertEqual(
                exits.OK, (await site.apply(300, '--base', '2'))[0]
            )
            await entry.wait_event('catalogue', revision='3')
            await entry.wait_event('freshness-regained', count=2)
