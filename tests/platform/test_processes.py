import signal

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))


@pytest.mark.processes
class PlatformProcessesTest(base.TestCase):
    """Real processes with stand-ins for the platform's services."""

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def assert_no_overlap(self, running):
        starts = await running.list_starts()
        self.assertEqual([], deployed.find_overlaps(starts))

    async def test_jobs_are_executed_once_through_any_entry(self):
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_entry('entry-2')
            await running.start_instance('side-1')
            await running.start_instance('side-2')
            body = deployed.make_body(3, 2)
            for i, id in enumerate(IDS[:6]):
                entry = f'entry-{i % 2 + 1}'
                answer = await running.call(entry, 'POST', id, body)
                self.assertEqual(200, answer.status_code, answer.text)
            # The same id at the other entry is the same job.
            answer = await running.call('entry-2', 'POST', IDS[0], body)
            self.assertEqual(200, answer.status_code)
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete')
            starts = await running.list_starts()
            self.assertEqual(30, len(starts))
            self.assertEqual(30, len({start['task'] for start in starts}))
            answer = await running.call('entry-2', 'GET')
            self.assertEqual({'pendingCount': 0}, answer.json())
            answer = await running.call('entry-2', 'GET', 'f' * 16)
            self.assertEqual(410, answer.status_code)

    async def test_an_id_may_have_capital_digits(self):
        """A submission is refused with 404 although its queue exists."""
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            body = deployed.make_body(2)
            for id in ('00000000000000AF', '00000000000000aF'):
                await running.submit('entry-1', id, body)
                await running.wait_state('entry-1', id, 'complete')
            starts = await running.list_starts()
            self.assertEqual(4, len({start['task'] for start in starts}))

    async def test_a_caller_reads_why_a_body_is_refused(self):
        """An upload of 10 MB ends in a reset connection.

        The entry answered immediately and closed the connection with
        unread bytes, so that the caller could not read the answer.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            body = {'spec': 'x' * 10_000_000, 'phases': []}
            answer = await running.call('entry-1', 'POST', IDS[0], body)
            self.assertEqual(413, answer.status_code)
            bad = deployed.make_body(1, unknown=3)
            answer = await running.call('entry-1', 'POST', IDS[0], bad)
            self.assertEqual(400, answer.status_code)
            self.assertIn('phases.0.unknown', answer.json()['error'])
            answer = await running.call('entry-1', 'GET', IDS[0])
            self.assertEqual(410, answer.status_code)

    async def test_a_job_that_fits_no_instance_is_refused_immediately(self):
        """A job is accepted and never starts.

        It needs more processors than any instance has; only the leader
        could tell that, and the caller reached another entry.
        """
        async with self.deploy() as running:
            leader = await running.start_entry('entry-1')
            await running.start_instance('side-1')
            await leader.wait_event('capacities-saved')
            entry = await running.start_entry('entry-2')
            await entry.wait_event('capacities-known')
            body = deployed.make_body(1, cpu=10_000_000)
            answer = await running.call('entry-2', 'POST', IDS[0], body)
            self.assertEqual(400, answer.status_code)
            self.assertIn('steps[0].size', answer.json()['error'])
            answer = await running.call('entry-2', 'GET', IDS[0])
            self.assertEqual(410, answer.status_code)

    async def test_steps_run_only_where_the_advisor_allows(self):
        """A job on a queue with an advisor never starts.

        Its starts carried no permit, or went to instances that the
        queue's policy forbids; the advisor was busy at first.
        """
        async with self.deploy() as running:
            await running.start_advisor()
            await running.start_entry('entry-1')
            for name in ('side-1', 'side-2'):
                await running.start_instance(name)
            boots = [
                await running.set_faults(runner, needs_ticket=True)
                for runner in running.runners.values()
            ]
            await running.set_policy(allowed=[boots[1]['boot']], busy=2)
            body = deployed.make_body(3, 2)
            await running.call('entry-1', 'POST', IDS[0], body)
            await running.wait_state('entry-1', IDS[0], 'complete')
            starts = await running.list_starts()
            self.assertEqual(
                [boots[1]['boot']] * 5, [start['boot'] for start in starts]
            )

    async def test_both_interfaces_and_the_metrics_report_one_job(self):
        async with self.deploy() as running:
            process = await running.start_entry('entry-1')
            await running.start_instance('side-1')
            client = running.running.client
            body = deployed.make_body(1)
            await running.call('entry-1', 'POST', IDS[0], body)
            url = f'http://{running.api_hosts["entry-1"]}/v1/queues/builds'
            with anyio.fail_after(20):
                phase = ''
                while phase != 'complete':
                    await anyio.sleep(0.05)
                    answer = await client.get(f'{url}/jobs/{IDS[0]}')
                    phase = answer.json()['phase']
            answer = await client.get(f'{url}/jobs/{"e" * 16}')
            self.assertEqual(404, answer.status_code)
            address = process.find('metrics-listening')[-1]['http']
            text = (await client.get(f'http://{address}/metrics')).text
            self.assertIn('persimmonsail_store_calls_total{', text)
            self.assertIn('persimmonsail_request_seconds{', text)

    async def test_a_cancelled_watcher_stops_and_stays_stopped(self):
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            body = deployed.make_body(2, payload='lasts', longRunning=True)
            await running.call('entry-1', 'POST', IDS[0], body)
            await running.wait_starts(2)
            answer = await running.call('entry-1', 'DELETE', IDS[0])
            self.assertEqual(200, answer.status_code)
            await running.wait_state('entry-1', IDS[0], 'canceled')
            await anyio.sleep(1.0)
            starts = await running.list_starts()
            self.assertEqual(
                ['stopped', 'stopped'], [start['how'] for start in starts]
            )

    async def test_the_work_goes_on_when_the_leader_is_killed(self):
        """A job runs twice after an entry was killed.

        The entry that placed it died before it observed the start, and
        the next leader knows only the claim.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_entry('entry-2')
            await running.start_instance('side-1')
            await running.start_instance('side-2')
            other = {'entry-1': 'entry-2', 'entry-2': 'entry-1'}
            body = deployed.make_body(4, 2, payload='700')
            for id in IDS[:4]:
                await running.call('entry-1', 'POST', id, body)
            leader = running.find_leader()
            await running.running.processes[leader].stop(signal.SIGKILL)
            survivor = other[leader]
            answer = await running.call(survivor, 'POST', IDS[5], body)
            self.assertEqual(200, answer.status_code)
            for id in (*IDS[:4], IDS[5]):
                await running.wait_state(survivor, id, 'complete')
            await self.assert_no_overlap(running)
            starts = await running.list_starts()
            # What ran when the leader died was adopted, not run again.
            self.assertEqual(30, len(starts))

    async def test_a_lost_answer_to_a_start_starts_nothing_twice(self):
        """A job runs on two instances simultaneously.

        The answer to its start was lost, it was started elsewhere, and
        the first order was executed a second later.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            await running.start_instance('side-2')
            for runner in running.runners.values():
                await running.set_faults(
                    runner, late_starts=3, late_seconds=1.0
                )
            body = deployed.make_body(6, payload='300')
            await running.call('entry-1', 'POST', IDS[0], body)
            await running.wait_state('entry-1', IDS[0], 'complete')
            await anyio.sleep(1.5)
            await self.assert_no_overlap(running)

    async def test_a_silent_worker_loses_its_watcher_once(self):
        """A watcher never runs again although its worker is gone.

        Its sidecar survives; the watcher may only be started elsewhere
        once its lease has expired, or it would run on two instances.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            body = deployed.make_body(1, payload='lasts', longRunning=True)
            await running.call('entry-1', 'POST', IDS[0], body)
            await running.wait_starts(1)
            await running.start_instance('side-2')
            await running.set_faults(running.runners['side-1'], silent=True)
            await running.wait_starts(2)
            await self.assert_no_overlap(running)

    async def test_a_restarted_sidecar_adopts_what_runs(self):
        """Jobs run again each time a sidecar is replaced."""
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            sidecar = await running.start_instance('side-1')
            body = deployed.make_body(3, payload='2500')
            await running.call('entry-1', 'POST', IDS[0], body)
            await running.wait_starts(3)
            control = sidecar.find('listening')[0]['control']
            await sidecar.stop(signal.SIGKILL)
            await running.start_sidecar('side-1', control)
            await running.wait_state('entry-1', IDS[0], 'complete')
            self.assertEqual(3, len(await running.list_starts()))

    async def test_work_done_within_its_lease_is_not_done_again(self):
        """Jobs run again although their worker had completed them.

        The sidecar is killed, the leases that it granted expire and the
        leader logs run-lost reason=unreachable; the new sidecar reports
        the ends of the first runs, completed in time. They were discarded
        (run-ended how=done used=no), which made six starts of three.
        """
        async with self.deploy() as running:
            running.lease_seconds = 4.0
            await self.replace_sidecar_late(running, payload='2500')
            await running.wait_state('entry-1', IDS[0], 'complete')
            self.assertEqual(3, len(await running.list_starts()))

    async def test_leases_of_a_second_cost_no_work(self):
        """Jobs run up to five times where leases last for a second.

        Nothing failed: under the load of eight busy processes renewals
        were 0.15 s late, after their leases, and the runs lapsed.
        """
        async with self.deploy() as running:
            running.lease_seconds = 1.0
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            body = deployed.make_body(3, payload='4000')
            await running.call('entry-1', 'POST', IDS[0], body)
            await running.wait_state('entry-1', IDS[0], 'complete')
            self.assertEqual(3, len(await running.list_starts()))

    async def test_runs_that_were_not_renewed_in_time_run_again(self):
        """Jobs wait forever for a sidecar that returns too late.

        It was absent for longer than the leases that it had granted, and
        its runs were killed when these expired: they start again, once.
        """
        async with self.deploy() as running:
            running.lease_seconds = 4.0
            await self.replace_sidecar_late(running, payload='6000')
            await running.wait_state('entry-1', IDS[0], 'complete')
            starts = await running.list_starts()
            self.assertEqual(
                ['lapsed'] * 3 + ['done'] * 3,
                [start['how'] for start in starts],
            )

    async def replace_sidecar_late(self, running, payload):
        """Start three tasks; replace their sidecar once the leases expire."""
        entry = await running.start_entry('entry-1')
        sidecar = await running.start_instance('side-1')
        body = deployed.make_body(3, payload=payload)
        await running.call('entry-1', 'POST', IDS[0], body)
        await running.wait_starts(3)
        # The starts themselves grant 2.5 s.
        await running.wait_lease('side-1', 3.0)
        control = sidecar.find('listening')[0]['control']
        await sidecar.stop(signal.SIGKILL)
        await entry.wait_event('run-lost', reason='unreachable')
        await running.start_sidecar('side-1', control)

    async def test_a_submission_is_honest_while_the_store_is_away(self):
        """A job that was refused runs nevertheless.

        The store was silent, the entry answered that nothing was stored,
        and the write took effect shortly afterwards.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            body = deployed.make_body(1)
            await running.set_faults(running.store, down='busy')
            answer = await running.call('entry-1', 'POST', IDS[0], body)
            self.assertEqual(503, answer.status_code)
            self.assertEqual('1', answer.headers['retry-after'])
            await running.set_faults(running.store, lose_writes=9)
            answer = await running.call('entry-1', 'POST', IDS[1], body)
            # Unknown, or resolved by a retry; never 'not accepted'.
            self.assertIn(answer.status_code, (200, 504))
            await running.set_faults(running.store)
            answer = await running.call('entry-1', 'POST', IDS[1], body)
            self.assertEqual(200, answer.status_code)
            await running.wait_state('entry-1', IDS[1], 'complete')
            answer = await running.call('entry-1', 'GET', IDS[0])
            self.assertEqual(410, answer.status_code)

    async def test_a_read_is_refused_while_the_store_is_silent(self):
        """A caller gets 410 for its job, or waits until its deadline.

        The store does not answer; the entry reports that with a retry
        time, and what it answers after that time is the store's state.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.set_faults(running.store, down='silent')
            answer = await running.call('entry-1', 'GET', IDS[0])
            self.assertEqual(503, answer.status_code)
            self.assertEqual('1', answer.headers['retry-after'])
            await running.set_faults(running.store)
            answer = await running.read('entry-1', IDS[0])
            self.assertEqual(410, answer.status_code)

    async def test_a_read_outlasts_a_short_silence_of_the_store(self):
        """A caller is refused although the store soon answers again.

        The store was silent for 1.2 s, as happens under load; the entry
        counted it as lost after 0.9 s (find-unanswered with store_silent
        above that) and answered 503 after 1.1 s, with 1.9 s of the
        caller's time left.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.set_faults(running.store, down='silent')
            async with anyio.create_task_group() as group:
                group.start_soon(self.assert_gone, running, IDS[0])
                await anyio.sleep(1.2)
                await running.set_faults(running.store)

    async def assert_gone(self, running, id):
        answer = await running.call('entry-1', 'GET', id)
        self.assertEqual(410, answer.status_code)

    async def test_a_lost_store_is_said_at_once(self):
        """A caller waits until its deadline in vain.

        The store has been silent for a while; the entry knows that, but
        holds each new call for as long as the caller waits.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.set_faults(running.store, down='silent')
            await anyio.sleep(2.0)
            started_at = anyio.current_time()
            answer = await running.call(
                'entry-1', 'POST', IDS[0], deployed.make_body(1)
            )
            self.assertLess(anyio.current_time() - started_at, 0.4)
            self.assertEqual(503, answer.status_code)
            self.assertIn('retry-after', answer.headers)
            await running.set_faults(running.store)
            await anyio.sleep(1.5)
            answer = await running.call('entry-1', 'GET', IDS[0])
            self.assertEqual(410, answer.status_code)

    async def test_an_entry_without_the_store_forwards_calls(self):
        """One in three callers is refused although the store works.

        The store serves the other entries and not this one.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            address, control = await running.running.start_proxy(
                'proxy', running.store
            )
            await running.start_entry('entry-2', store=address)
            await running.running.processes['entry-2'].wait_event(
                'leader-known'
            )
            await running.running.set_faults(control, mode='cut')
            await anyio.sleep(2.0)
            answer = await running.call(
                'entry-2', 'POST', IDS[0], deployed.make_body(1)
            )
            self.assertEqual(200, answer.status_code, answer.text)
            await running.wait_state('entry-2', IDS[0], 'complete')

    async def test_a_leader_loads_over_a_thin_link(self):
        """No task starts any more after a power failure of all machines.

        The store sent the stored jobs in pages that took longer than the
        timeout of a call over a slow link; each leader ended its term
        with term-ended error="kv-range: TimeoutError, noticed 0.004 s
        late", and the next one got no further: 14 terms in 30 s.
        """
        async with self.deploy() as running:
            first = await running.start_entry('entry-1')
            for id in IDS:
                body = deployed.make_body(1, payload='1' * 4000)
                await running.call('entry-1', 'POST', id, body)
            await first.stop(signal.SIGKILL)
            address, control = await running.running.start_proxy(
                'proxy', running.store
            )
            # Loading takes 3 s, where a call may take 0.5 s.
            await running.running.set_faults(control, rate=80_000)
            second = await running.start_entry('entry-2', store=address)
            loaded = await second.wait_event('loaded')
            self.assertEqual(str(len(IDS)), loaded['jobs'])
            self.assertEqual([], second.find('term-ended'))

    async def test_a_late_write_of_the_leader_undoes_nothing(self):
        """A job that was complete is active again.

        The store executed one of the leader's writes a second after the
        leader had repeated it and continued.
        """
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            await running.call(
                'entry-1', 'POST', IDS[0], deployed.make_body(2)
            )
            await running.set_faults(
                running.store, lose_writes=1, delay_writes=2.0
            )
            await running.wait_state('entry-1', IDS[0], 'complete')
            await anyio.sleep(2.5)
            answer = await running.call('entry-1', 'GET', IDS[0])
            self.assertEqual({'state': 'complete'}, answer.json())
            await self.assert_no_overlap(running)

    async def test_no_change_is_missed_when_the_history_is_lost(self):
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_entry('entry-2')
            await running.start_instance('side-1')
            other = {'entry-1': 'entry-2', 'entry-2': 'entry-1'}
            await running.set_faults(running.store, forget=True)
            await running.call(
                other[running.find_leader()],
                'POST',
                IDS[0],
                deployed.make_body(1),
            )
            await running.wait_state('entry-1', IDS[0], 'complete')

    async def test_a_change_is_promptly_in_force_and_stays(self):
        async with self.deploy() as running:
            entry = await running.start_entry('entry-1')
            changed = {**deployed.CONFIGURATION, 'version': 5, 'routes': []}
            await running.write_as_operator('op/config', changed)
            await entry.wait_event('configuration', version='5', seconds=2)
            answer = await running.call('entry-1', 'GET')
            self.assertEqual(404, answer.status_code)
            await running.write_as_operator(
                'op/config', deployed.CONFIGURATION
            )
            await anyio.sleep(1.0)
            answer = await running.call('entry-1', 'GET')
            self.assertEqual(404, answer.status_code)

    async def test_a_graceful_stop_hands_over_promptly(self):
        async with self.deploy() as running:
            await running.start_entry('entry-1')
            await running.start_entry('entry-2')
            leader = running.find_leader()
            process = running.running.processes[leader]
            process.send_signal(signal.SIGTERM)
            (other,) = {'entry-1', 'entry-2'} - {leader}
            await running.running.processes[other].wait_event(
                'leading', seconds=1.5
            )
            self.assertEqual(0, await process.handle.wait())
