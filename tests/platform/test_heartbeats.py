import json

from persimmonsail.platform import heartbeats
from tests import base

GOOD = {
    'service': 'planner',
    'seq': 4,
    'state': 'ready',
    'capacity': {'cpu': 64000, 'memMb': 256000, 'gpu': 0},
    'labels': ['a', 'r1-1'],
}
MALFORMED = (
    b'',
    b'\xff\xfe\x00',
    b'[]',
    b'"text"',
    b'{}',
    json.dumps(GOOD | {'service': None}).encode(),
    json.dumps(GOOD | {'service': 7}).encode(),
    json.dumps(GOOD | {'state': 'resting'}).encode(),
    json.dumps(GOOD | {'labels': 'a'}).encode(),
    json.dumps(GOOD | {'seq': 'four'}).encode(),
    json.dumps(GOOD | {'born': -1}).encode(),
    json.dumps(GOOD | {'born': 10**30}).encode(),
    json.dumps(GOOD | {'born': 'now'}).encode(),
    json.dumps(GOOD | {'capacity': 64000}).encode(),
    json.dumps(GOOD | {'capacity': {'cpu': -1}}).encode(),
    json.dumps(GOOD | {'capacity': {'cpu': 10**30}}).encode(),
)


class Agent:
    """Records the heartbeats that it receives."""

    def __init__(self):
        self.received = []

    def note_heartbeat(self, heartbeat):
        self.received.append(heartbeat)


class HeartbeatsTest(base.TestCase):
    """Another program sends a report with impossible values.

    A capacity that exceeds the range of the message ended the sidecar's
    link to the leader with an error at each report; the instance's work
    was abandoned as lost, although its own agent was healthy.
    """

    def setUp(self):
        super().setUp()
        self.agent = Agent()
        self.application = heartbeats.Heartbeats(self.agent)

    async def put(self, body):
        statuses = []

        async def receive():
            return {'type': 'http.request', 'body': body, 'more_body': False}

        async def send(message):
            statuses.append(message.get('status'))

        scope = {
            'type': 'http',
            'method': 'PUT',
            'path': '/v1/runners/i-1',
            'headers': [],
        }
        await self.application.serve(scope, receive, send)
        return statuses[0]

    async def test_a_boot_is_named_by_id_and_birth(self):
        """A restarted agent is taken for the one before."""
        for born in (1774756760813, 1774756761000):
            body = json.dumps(GOOD | {'born': born}).encode()
            self.assertEqual(200, await self.put(body))
        await self.put(json.dumps(GOOD).encode())
        self.assertEqual(
            ['i-1@1774756760813', 'i-1@1774756761000', 'i-1'],
            [heartbeat.boot for heartbeat in self.agent.received],
        )

    async def test_a_report_without_a_state_ends_no_drain(self):
        """A task starts on an instance that is drained."""
        for missing in ('state', 'seq', 'capacity', 'labels'):
            report = {k: v for k, v in GOOD.items() if k != missing}
            self.assertEqual(400, await self.put(json.dumps(report).encode()))
        self.assertEqual([], self.agent.received)

    async def test_a_malformed_report_is_refused_and_others_are_accepted(self):
        self.assertEqual(200, await self.put(json.dumps(GOOD).encode()))
        for body in MALFORMED:
            self.assertEqual(400, await self.put(body), body)
        self.assertEqual(200, await self.put(json.dumps(GOOD).encode()))
        self.assertEqual(2, len(self.agent.received))
