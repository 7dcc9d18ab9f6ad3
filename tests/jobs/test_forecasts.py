import random
from unittest import mock

import testtools

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import forecasts
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases

JOB = specification.Specification('', (cases.make_step(estimate_ms=10_000),))
HOPELESS_CORE_MS = 1e9
EPOCH = 7


def make_reply(core_ms, epoch=EPOCH, version=1):
    """Return a leader's reply with so much work ahead of each new job."""
    reply = fleet_pb2.ForecastReply(leads=True, epoch=epoch, version=version)
    row = reply.services.add(
        service=cases.QUEUE.service,
        rate_core_ms=1000.0,
        saturated_seconds=30.0,
        correction=1.0,
    )
    row.levels.add(priority=0, cost=0.0, core_ms=core_ms)
    return reply


class GateTest(base.TestCase):
    """An entry decides by what it last heard from the leader."""

    def setUp(self):
        super().setUp()
        self.replies = []
        self.leader = None
        self.gate = forecasts.Gate(
            self.call_leader, lambda: self.leader, random.Random(1)
        )

    async def call_leader(self, method, message):
        return self.replies.pop(0) if self.replies else None

    def update(self, core_ms, age=0.0, **fields):
        self.gate.update(make_reply(core_ms, **fields), clock.read() - age)

    def is_admitted(self):
        try:
            self.gate.check(cases.ID, cases.QUEUE, JOB)
        except exceptions.JobRejected:
            return False
        return True

    def test_a_rejection_says_when_to_return(self):
        self.update(100_000.0)
        with testtools.ExpectedException(exceptions.JobRejected):
            self.gate.check(cases.ID, cases.QUEUE, JOB)
        try:
            self.gate.check(cases.ID, cases.QUEUE, JOB)
        except exceptions.JobRejected as error:
            self.assertGreaterEqual(error.retry_after, 89.0)
            self.assertIn('it would end in 110 s', str(error))

    def test_an_entry_that_was_never_told_admits(self):
        self.assertTrue(self.is_admitted())

    def test_an_outdated_forecast_rejects_nothing(self):
        """Guards against an entry that is cut off from the leader."""
        self.update(HOPELESS_CORE_MS, age=forecasts.MAX_AGE_SECONDS + 0.1)
        self.assertTrue(self.is_admitted())

    def test_a_former_leader_is_not_believed(self):
        """Guards against a late reply of a leader that was replaced."""
        self.update(0.0, epoch=EPOCH + 1)
        self.update(HOPELESS_CORE_MS, epoch=EPOCH, version=99)
        self.assertTrue(self.is_admitted())

    def test_replies_that_overtake_each_other_are_sorted(self):
        """Guards against a reply that arrives after the one that follows."""
        self.update(0.0, version=5)
        self.update(HOPELESS_CORE_MS, version=4)
        self.assertTrue(self.is_admitted())

    def test_a_measurement_gets_older_with_each_reply(self):
        """Guards against a leader that goes on to send its last forecast."""
        self.update(HOPELESS_CORE_MS, age=forecasts.MAX_AGE_SECONDS + 0.1)
        self.update(HOPELESS_CORE_MS)
        self.assertTrue(self.is_admitted())

    def test_a_new_leader_without_a_measurement_admits(self):
        """Guards against rejections after a takeover by old figures."""
        self.update(HOPELESS_CORE_MS)
        self.assertFalse(self.is_admitted())
        self.gate.update(
            fleet_pb2.ForecastReply(leads=True, epoch=EPOCH + 1), clock.read()
        )
        self.assertTrue(self.is_admitted())

    def test_an_entry_that_leads_anew_forgets_the_former_leader(self):
        """Guards against rejections before it has measured anything."""
        self.update(HOPELESS_CORE_MS)
        self.leader = mock.Mock(epoch=EPOCH + 1)
        self.assertTrue(self.is_admitted())

    def test_an_entry_that_does_not_lead_is_not_believed(self):
        reply = make_reply(HOPELESS_CORE_MS)
        reply.leads = False
        self.gate.update(reply, clock.read())
        self.assertTrue(self.is_admitted())

    def test_an_unknown_service_has_no_backlog(self):
        reply = make_reply(HOPELESS_CORE_MS)
        reply.services[0].service = 'other'
        self.gate.update(reply, clock.read())
        self.assertTrue(self.is_admitted())
