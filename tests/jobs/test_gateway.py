import dataclasses
import json

import httpx

from persimmonsail.jobs import gateway
from persimmonsail.jobs import outcomes
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import specification
from tests import base
from tests import contract
from tests.jobs import cases

JOB = '/v1/queues/{queue}/jobs/{job}'
QUEUE = '/v1/queues/{queue}'
ONE_JOB = '/v1/queues/builds/jobs/nightly-17'
BODY = {
    'payload': 'compile',
    'steps': [
        {'count': 2, 'size': {'millicores': 500}, 'estimate_ms': 900},
        {'count': 1, 'after': [0]},
    ],
}


class IntakeStub:
    """Stands in for the intake with one outcome for all calls."""

    def __init__(self):
        self.outcome = outcomes.Outcome.ACCEPTED
        self.phase = record.JobState(record.JobPhase.ACTIVE)
        self.pending = 3
        self.submitted = []

    async def submit(self, id, queue, submitted, deadline):
        self.submitted.append((id, queue, submitted))
        return self._return(self.outcome)

    async def cancel(self, id, deadline):
        return self._return(self.outcome)

    async def find_state(self, id, deadline):
        return self._return(self.phase)

    async def count_pending(self, queue):
        return self._return(self.pending)

    def _return(self, outcome):
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class JobGatewayTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.contract = contract.Contract(contract.JOBS_FILE)
        self.intake = IntakeStub()
        self.view = queues.View()
        self.view.update(cases.QUEUES)
        self.ready = True
        self.app = gateway.JobGateway(
            self.intake, self.view, lambda: self.ready
        ).app
        self.client = httpx.AsyncClient(
            base_url='http://entry',
            transport=httpx.ASGITransport(
                self.app, raise_app_exceptions=False
            ),
        )

    async def send(self, method, path=ONE_JOB, template=JOB, **more):
        response = await self.client.request(method, path, **more)
        self.contract.check(method.lower(), template, response)
        return response

    async def put(self, body, status, path=ONE_JOB, **more):
        text = body if isinstance(body, str) else json.dumps(body)
        response = await self.send('PUT', path, content=text, **more)
        self.assertEqual(status, response.status_code, response.text)
        return response

    def test_every_route_is_in_the_file_and_no_other(self):
        routes = {
            (method.lower(), route.path)
            for route in self.app.routes
            for method in route.methods - {'HEAD'}
        }
        self.assertEqual(routes, self.contract.list_operations())

    def test_the_file_names_every_field_of_a_submission(self):
        schemas = self.contract.document['components']['schemas']
        for model in (
            specification.Specification,
            specification.Step,
            specification.Size,
        ):
            fields = {field.name for field in dataclasses.fields(model)}
            named = set(schemas[model.__name__]['properties'])
            self.assertEqual(fields, named)

    async def test_a_caller_reads_why_a_job_has_failed(self):
        failed = record.JobState(record.JobPhase.FAILED, 'it crashed agents')
        for state, reason in ((failed, 'it crashed agents'), (None, None)):
            if state is not None:
                self.intake.phase = state
            else:
                self.intake.phase = record.JobState(record.JobPhase.ACTIVE)
            response = await self.client.get(
                f'/v1/queues/builds/jobs/{cases.ID}'
            )
            self.assertEqual(reason, response.json().get('reason'))

    async def test_a_job_is_submitted_found_and_cancelled(self):
        response = await self.put(BODY, 202)
        self.assertEqual(ONE_JOB, response.headers['location'])
        ((id, queue, found),) = self.intake.submitted
        self.assertEqual(('nightly-17', 'builds'), (id, queue.name))
        self.assertEqual((0,), found.steps[1].after)
        response = await self.send('GET')
        self.assertEqual('active', response.json()['phase'])
        response = await self.send('DELETE')
        self.assertEqual(202, response.status_code)
        response = await self.send('GET', '/v1/queues/builds', QUEUE)
        self.assertEqual(3, response.json()['pending'])

    async def test_a_job_that_was_cancelled_before_is_refused_permanently(
        self,
    ):
        self.intake.outcome = outcomes.Outcome.CANCELLED
        response = await self.put(BODY, 422)
        self.assertEqual('not-run', response.json()['work'])
        self.assertNotIn('retry-after', response.headers)

    async def test_bad_input_is_refused_with_every_place(self):
        bad = {
            'payload': 'x',
            'steps': [{'count': 0, 'after': [0]}, {'count': 1, 'cores': 3}],
        }
        response = await self.put(bad, 422)
        self.assertIn('steps.1.cores', response.json()['detail'])
        del bad['steps'][1]['cores']
        response = await self.put(bad, 422)
        for place in ('steps[0].count', 'steps[0].after'):
            self.assertIn(place, response.json()['detail'])
        await self.put('no json', 422)
        await self.put(BODY, 422, '/v1/queues/builds/jobs/two.dots')
        await self.put(BODY, 404, '/v1/queues/other/jobs/nightly-17')
        await self.put(BODY, 400, headers={'Request-Timeout': 'soon'})
        self.assertEqual([], self.intake.submitted)

    async def test_a_body_that_is_too_large_is_read_to_its_end(self):
        """The upload of a large body must not end in a connection reset.

        The entry responded before it had read the body, so the caller could
        not read the response.
        """
        limit = self.view.current.limits.body_bytes
        unread = [b'x' * limit] * 8

        async def produce():
            while unread:
                yield unread.pop()

        response = await self.send('PUT', content=produce())
        self.assertEqual(413, response.status_code)
        self.assertIn(str(limit), response.json()['detail'])
        self.assertEqual([], unread)

    async def test_every_outcome_says_whether_anything_was_done(self):
        self.intake.outcome = outcomes.Outcome.REFUSED
        for method in ('PUT', 'DELETE'):
            response = await self.send(method, content=json.dumps(BODY))
            self.assertEqual(503, response.status_code)
            self.assertEqual('not-run', response.json()['work'])
            self.assertEqual('1', response.headers['retry-after'])
        self.intake.outcome = outcomes.Outcome.UNKNOWN
        self.intake.phase = outcomes.Outcome.UNKNOWN
        self.intake.pending = None
        for method in ('PUT', 'DELETE'):
            response = await self.send(method, content=json.dumps(BODY))
            self.assertEqual(504, response.status_code)
            self.assertEqual('unknown', response.json()['work'])
        for path, template in (
            (ONE_JOB, JOB),
            ('/v1/queues/builds', QUEUE),
        ):
            response = await self.send('GET', path, template)
            self.assertEqual(503, response.status_code)
        self.intake.outcome = self.intake.phase = outcomes.Outcome.ABSENT
        for method in ('GET', 'DELETE'):
            response = await self.send(method)
            self.assertEqual(404, response.status_code)
        self.intake.phase = RuntimeError('unforeseen')
        response = await self.send('GET')
        self.assertEqual(500, response.status_code)
        self.assertEqual('unknown', response.json()['work'])

    async def test_an_entry_that_is_not_ready_says_so(self):
        for path in ('/health', '/ready', '/metrics'):
            response = await self.send('GET', path, path)
            self.assertEqual(200, response.status_code)
        self.ready = False
        response = await self.send('GET', '/ready', '/ready')
        self.assertEqual(503, response.status_code)
        self.view.current = None
        response = await self.put(BODY, 503)
        self.assertEqual('not-run', response.json()['work'])
