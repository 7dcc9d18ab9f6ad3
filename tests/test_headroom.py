import random
import time

import anyio

from persimmonsail.callers import quick
from persimmonsail.callers import sending
from persimmonsail.catalogues import catalogue
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from persimmonsail import problems
from tests import base
from tests.sidecars import test_execution

LIMITS = catalogue.Workload.model_validate(
    {
        'owner': 'a',
        'class': 'latency-critical',
        'service': 'planning',
        'idempotent': 'yes',
        'cores': 1,
        'memory-gb': 1,
        'max-concurrent': 2,
    }
)


class UrgentTest(base.TestCase):
    async def test_only_urgent_requests_use_the_reserved_cores(self):
        """Tasks occupy every core, and an urgent request has to wait."""
        size = admission.Size(2.0, 1.0).to_message()
        async with test_execution.open_executor() as (executor, own, backend):
            own.commitments.try_commit('task/1/1', admission.Size(60.0, 1.0))
            common = test_execution.make_request(own, 'common', size=size)
            refusal = await executor.execute(common)
            self.assertEqual(control_pb2.NOT_RUN, refusal.verdict)
            self.assertEqual('no capacity', refusal.reason)
            urgent = test_execution.make_request(
                own, 'urgent', size=size, urgent=True
            )
            backend.free.set()
            reply = await executor.execute(urgent)
            self.assertEqual(control_pb2.ANSWERED, reply.verdict)


class SilentLinks:
    """Links whose peers never answer."""

    def __init__(self) -> None:
        self.calls = 0
        self.called = anyio.Event()

    async def call(self, *arguments):
        self.calls += 1
        if self.calls == LIMITS.max_concurrent:
            self.called.set()
        await anyio.sleep_forever()


def make_request(number: int) -> sending.QuickRequest:
    return sending.QuickRequest(
        f'r{number}', 'check', LIMITS, b'', '', time.monotonic() + 60
    )


class QuickPathTest(base.TestCase):
    async def test_shed_request_causes_no_attempt(self):
        """Refused requests add load to an overloaded service."""
        live_fleet = fleet.Fleet(3600.0)
        live_fleet.note_report(
            control_pb2.SidecarReport(
                instance='one', service='planning', slots=8
            )
        )
        links = SilentLinks()
        path = quick.QuickPath(
            live_fleet, links, revisions.View(), 'zone', random.Random(1)
        )
        async with path, anyio.create_task_group() as group:
            for number in range(LIMITS.max_concurrent):
                group.start_soon(path.send, make_request(number))
            await links.called.wait()
            try:
                await path.send(make_request(9))
            except problems.Problem as problem:
                self.assertEqual(429, problem.status)
                self.assertEqual('not-run', problem.work)
            else:
                self.fail('the request was not shed')
            self.assertEqual(LIMITS.max_concurrent, links.calls)
            group.cancel_scope.cancel()
