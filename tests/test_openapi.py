import json
import pathlib

import httpx
import pytest

from persimmonsail.callers import entry as entry_module
from persimmonsail.callers import gateway
from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail import httpstore  # noqa: F401, registers the store
from persimmonsail import problems
from persimmonsail import settings
from standins import deployment
from tests import base
from tests import contract

CATALOGUE = pathlib.Path(__file__).parent.parent / 'examples/catalogue.ini'
SETTINGS = """\
[process]
name = entry-1
region = piedmont
zone = piedmont-a

[store]
address = 127.0.0.1:1
"""
REQUESTS = '/v1/workloads/{name}/requests'
TASK = '/v1/tasks/{task}'
QUICK = '/v1/workloads/wire-cut-check/requests'
BATCH = '/v1/workloads/routing-build/requests'
ONE_TASK = '/v1/tasks/003-abc'


class TaskStub:
    """Stub of the partition holders: one outcome for all calls."""

    def __init__(self):
        self.outcome = control_pb2.TaskReply(accepted=True, phase='pending')
        self.ended = None

    async def submit(self, *arguments):
        return self._end(self.outcome)

    async def query(self, *arguments):
        return self._end(self.ended or self.outcome)

    async def cancel(self, *arguments):
        return self._end(self.outcome)

    def _end(self, outcome):
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class QuickStub:
    """Stub of the path to backend servers."""

    outcome = control_pb2.ExecuteReply(
        verdict=control_pb2.ANSWERED,
        status=200,
        body=b'{"ok": true}',
        content_type='application/json',
    )

    async def send(self, request):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


NOT_RUN = problems.Problem(503, 'Not run', problems.NOT_RUN, 'busy', 1.5)
UNKNOWN = problems.Problem(504, 'Outcome unknown', problems.UNKNOWN, 'lost')
NO_TASK = problems.Problem(404, 'No such task', problems.NOT_RUN, 'x')
FULL = problems.Problem(429, 'Not accepted', problems.NOT_RUN, 'full', 9.0)
NEVER = problems.Problem(422, 'Not accepted', problems.NOT_RUN, 'too large')
TOO_LARGE = problems.Problem(413, 'Body too large', problems.NOT_RUN, 'x')
REUSED = problems.Problem(422, 'Key reused', problems.NOT_RUN, 'x')
OVERLOADED = problems.Problem(429, 'Overloaded', problems.UNKNOWN, 'x', 0.5)
FAULTS = (NOT_RUN, UNKNOWN, RuntimeError('unforeseen'))


class InterfaceTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.contract = contract.Contract()
        self.entry = entry_module.Entry(
            settings.parse('entry.ini', SETTINGS, 'entry')
        )
        self.entry.open_partitions('127.0.0.1:1')
        self.entry.view.catalogue = catalogue.parse(
            'catalogue', CATALOGUE.read_text(encoding='utf-8')
        )
        self.unready = ''
        self.entry.find_unready_reason = lambda: self.unready
        self.entry.tasks = TaskStub()
        self.entry.quick = QuickStub()
        self.app = gateway.Gateway(self.entry).app
        self.client = httpx.AsyncClient(
            base_url='http://entry',
            transport=httpx.ASGITransport(
                self.app, raise_app_exceptions=False
            ),
        )

    async def send(self, method, path, template=None, **options):
        response = await self.client.request(method, path, **options)
        self.contract.check(method.lower(), template or path, response)
        return response

    def test_routes_match_the_openapi_file(self):
        routes = {
            (method.lower(), route.path)
            for route in self.app.routes
            for method in route.methods - {'HEAD'}
        }
        self.assertEqual(routes, self.contract.list_operations())

    async def test_every_documented_answer_and_field_occurs(self):
        await self._exercise_responses()
        await self._exercise_faults()
        await self._exercise_instance_paths()
        self.assertEqual(self.contract.list_responses(), self.contract.covered)
        self.assertEqual(
            self.contract.list_fields(), self.contract.covered_fields
        )

    async def _exercise_responses(self):
        await self.send('POST', QUICK, REQUESTS)
        await self.send('POST', BATCH, REQUESTS)
        await self.send('GET', ONE_TASK, TASK)
        await self.send('DELETE', ONE_TASK, TASK)
        await self.send('POST', '/v1/workloads/none/requests', REQUESTS)
        await self.send('POST', BATCH, REQUESTS, content=b'{')
        await self.send('GET', f'{ONE_TASK}?wait=soon', TASK)

    async def _exercise_faults(self):
        for fault in (*FAULTS, NO_TASK):
            self.entry.tasks.outcome = fault
            await self.send('GET', ONE_TASK, TASK)
            await self.send('DELETE', ONE_TASK, TASK)
        refusals = (TOO_LARGE, REUSED, OVERLOADED, FULL, NEVER)
        for fault in (*FAULTS, *refusals):
            self.entry.tasks.outcome = self.entry.quick.outcome = fault
            await self.send('POST', QUICK, REQUESTS)
            await self.send('POST', BATCH, REQUESTS)

    async def _exercise_instance_paths(self):
        for path in ('/health', '/ready', '/metrics'):
            await self.send('GET', path)
        self.unready = 'the entry is stopping'
        await self.send('GET', '/ready')
        refused = await self.send('POST', QUICK, REQUESTS)
        self.assertEqual(problems.NOT_RUN, refused.json()['work'])
        self.assertIn('retry-after', refused.headers)

    async def test_unknown_path_or_method_is_a_problem(self):
        for method, path, status in (
            ('GET', '/v1/nothing', 404),
            ('PUT', ONE_TASK, 405),
        ):
            response = await self.client.request(method, path)
            self.assertEqual(status, response.status_code)
            self.contract.check_problem(response)

    async def test_unhandled_error_reports_an_unknown_outcome(self):
        """A build runs twice after an unhandled error.

        The handler fails after the work began; the response claims that
        it did not run, and the caller sends it again.
        """
        self.entry.quick.outcome = RuntimeError('unforeseen')
        response = await self.send('POST', QUICK, REQUESTS)
        self.assertEqual(500, response.status_code)
        self.assertEqual(problems.UNKNOWN, response.json()['work'])
        self.assertNotIn('retry-after', response.headers)

    async def test_all_invalid_headers_are_reported_together(self):
        headers = {'idempotency-key': 'k' * 201, 'request-timeout': 'soon'}
        response = await self.send('POST', BATCH, REQUESTS, headers=headers)
        self.assertEqual(400, response.status_code)
        self.assertIn('idempotency-key: ', response.json()['detail'])
        self.assertIn('request-timeout: ', response.json()['detail'])

    async def test_payload_that_the_ledger_cannot_store_is_refused(self):
        """Malformed payloads stop a partition, or cause a status 500.

        JSON in UTF-16, or nested too deeply, passes a lax check and fails
        when the ledger converts it to text.
        """
        for body in (
            json.dumps({'a': 1}).encode('utf-16'),
            b'[' * 100_000,
            b'\xff',
        ):
            response = await self.send('POST', BATCH, REQUESTS, content=body)
            self.assertEqual(400, response.status_code)
            self.assertEqual('Invalid JSON', response.json()['title'])

    async def test_prefer_wait_answers_with_the_ended_task(self):
        self.entry.tasks.ended = control_pb2.TaskReply(
            accepted=True, phase='succeeded', answer='{}'
        )
        response = await self.send(
            'POST', BATCH, REQUESTS, headers={'prefer': 'wait=5'}
        )
        self.assertEqual(200, response.status_code)
        self.assertEqual('succeeded', response.json()['phase'])

    async def test_problem_while_waiting_does_not_hide_acceptance(self):
        """A build is submitted twice.

        The task is accepted, its holder fails while the caller waits, and
        the caller receives a refusal that says "not run".
        """
        self.entry.tasks.ended = NOT_RUN
        response = await self.send(
            'POST', BATCH, REQUESTS, headers={'prefer': 'wait=5'}
        )
        self.assertEqual(202, response.status_code)
        self.assertEqual('pending', response.json()['phase'])

    def test_invalid_preference_is_ignored(self):
        for text, seconds in (
            ('', 0),
            ('wait=x', 0),
            ('respond-async, wait=10', 10),
            ('wait=9999', gateway.MAX_WAIT_SECONDS),
        ):
            found = gateway.RequestHeaders(prefer=text)
            self.assertEqual(seconds, found.wait_seconds, text)

    async def test_metrics_count_refusals(self):
        self.entry.quick.outcome = NOT_RUN
        await self.send('POST', QUICK, REQUESTS)
        text = (await self.send('GET', '/metrics')).text
        for start in (
            'persimmonsail_refusals_total{title="Not run",work="not-run"} ',
            'persimmonsail_request_seconds_count'
            '{workload="wire-cut-check",outcome="not-run"} ',
            'persimmonsail_catalogue_revision 0',
        ):
            self.assertIn(start, text)


@pytest.mark.processes
class RunningEntryTest(base.TestCase):
    async def test_running_entry_matches_the_openapi_file(self):
        openapi = contract.Contract()
        async with deployment.Deployment(self.make_directory()) as running:
            await running.start_store()
            entry = await running.start_entry('entry-1')
            listening = entry.find('listening')[0]
            running.client.base_url = f'http://{listening["http"]}'

            async def send(method, path, template=None, **options):
                response = await running.client.request(
                    method, path, **options
                )
                openapi.check(method.lower(), template or path, response)
                return response

            unready = await send('GET', '/ready')
            self.assertEqual(503, unready.status_code)
            await running.start_instance(
                'one', [listening['control']], 'planning'
            )
            text = CATALOGUE.read_text(encoding='utf-8')
            await running.apply_catalogue(text)
            await entry.wait_event('catalogue', revision='1')
            await entry.wait_event('announced', instance='one')
            await entry.wait_event('partition-opened', count=8)

            for path in ('/health', '/ready', '/metrics'):
                self.assertEqual(200, (await send('GET', path)).status_code)
            quick = await send('POST', QUICK, REQUESTS, json={'cut': 7})
            self.assertEqual({'cut': 7}, quick.json()['echo'])
            refused = await send(
                'POST', '/v1/workloads/photo-tag/requests', REQUESTS, json={}
            )
            self.assertEqual(503, refused.status_code)
            self.assertEqual(problems.NOT_RUN, refused.json()['work'])

            ended = await send(
                'POST',
                BATCH,
                REQUESTS,
                json={'seconds': 0.1},
                headers={'prefer': 'wait=20', 'idempotency-key': 'board-9'},
            )
            self.assertEqual(200, ended.status_code)
            self.assertEqual('succeeded', ended.json()['phase'])
            location = ended.headers['location']
            self.assertEqual(
                ended.json(), (await send('GET', location, TASK)).json()
            )
            repeated = await send(
                'POST',
                BATCH,
                REQUESTS,
                json={'seconds': 0.1},
                headers={'idempotency-key': 'board-9'},
            )
            self.assertEqual(location, repeated.headers['location'])

            watcher = await send(
                'POST', '/v1/workloads/board-watcher/requests', REQUESTS
            )
            location = watcher.headers['location']
            await send('DELETE', location, TASK)
            stopped = await send('GET', f'{location}?wait=20', TASK)
            self.assertEqual('cancelled', stopped.json()['phase'])

            for unknown in ('nothing', '999-abc', '003-abc'):
                for method in ('GET', 'DELETE'):
                    answer = await send(method, f'/v1/tasks/{unknown}', TASK)
                    self.assertEqual(404, answer.status_code, unknown)
