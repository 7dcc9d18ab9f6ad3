import pathlib
import signal

import pytest

from persimmonsail import partitions
from standins import deployment
from tests import base

CATALOGUE = pathlib.Path(__file__).parent.parent / 'examples/catalogue.ini'
ZONES = ('piedmont-a', 'piedmont-b')
ONE = {'partitions': 1}


@pytest.mark.processes
class ZoneTest(base.TestCase):
    async def start(self, running):
        """Start the holder in zone b, the only sidecar in zone a."""
        await running.start_store()
        names = ['entry-1', 'entry-2']
        held = partitions.prefer_entry(0, names)
        other = next(name for name in names if name != held)
        near = await running.start_entry(other, ZONES[0], entry=ONE)
        far = await running.start_entry(held, ZONES[1], entry=ONE)
        worker = await running.start_stand_in('worker', 'worker-1')
        address = near.find('listening')[0]['control']
        await running.start_sidecar(
            'one', [address], worker, '127.0.0.1:1', 'planning', ZONES[0]
        )
        text = CATALOGUE.read_text(encoding='utf-8')
        await running.apply_catalogue(text)
        await far.wait_event('catalogue', revision='1')
        await far.wait_event('partition-opened')
        return near, far

    async def submit(self, running, entry, seconds):
        address = entry.find('listening')[0]['http']
        answer = await running.client.post(
            f'http://{address}/v1/workloads/routing-build/requests',
            json={'seconds': seconds},
        )
        self.assertEqual(202, answer.status_code)
        return f'http://{address}{answer.headers["location"]}'

    async def test_a_holder_places_on_another_zone(self):
        """A build waits for ever although another zone has room.

        Sidecars are linked to entries of their own zone only; the
        holder in the other zone knows the instance by digest.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            near, far = await self.start(running)
            url = await self.submit(running, far, 0.1)
            final = await running.client.get(url, params={'wait': 20})
            self.assertEqual('succeeded', final.json()['phase'])
            self.assertEqual([], far.find('announced'))
            self.assertEqual('one', far.find('placement')[0]['chosen'])

    async def test_tasks_outlive_all_entries_of_their_zone(self):
        """A running build is lost with its zone's entries.

        All entries of the zone die, the instance lives. Unless its
        sidecar finds entries elsewhere nobody can renew the lease.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            near, far = await self.start(running)
            url = await self.submit(running, far, 12)
            await far.wait_event('placement')
            await near.stop(signal.SIGKILL)
            await far.wait_event('announced', instance='one')
            final = await running.client.get(url, params={'wait': 30})
            self.assertEqual('succeeded', final.json()['phase'])
            self.assertEqual(1, final.json()['attempt'])
