import time

import testtools

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import outcomes
from persimmonsail.jobs import record
from persimmonsail.jobs import rejections
from persimmonsail import store as store_module
from tests import base
from tests.jobs import cases
from tests.jobs import test_intake

TEXT = '{}'
MARKER = record.REJECTIONS + cases.ID
JOB = record.JOBS + cases.ID
RETENTION_SECONDS = 150.0


class RejectionsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.store = test_intake.HealthyStore()

    async def test_a_submission_on_its_way_is_barred_by_a_rejection(self):
        """Guards against a job that runs although it was rejected.

        The store executes an entry's submission seconds late, after another
        entry has rejected the same job.
        """
        late = rejections.Submission(cases.ID, TEXT)
        self.assertTrue(await rejections.write(self.store, cases.ID))
        with testtools.ExpectedException(exceptions.TransactionConflict):
            await late.send(self.store)
        self.assertNotIn(JOB, self.store.items)

    async def test_a_caller_that_returns_is_accepted(self):
        await rejections.write(self.store, cases.ID)
        await self.submit()
        self.assertIn(JOB, self.store.items)
        self.assertNotIn(MARKER, self.store.items)

    async def submit(self):
        tested = test_intake.make_intake(self.store)
        deadline = clock.read() + 5.0
        outcome = await tested.store_job(cases.ID, TEXT, deadline)
        self.assertIs(outcomes.Outcome.ACCEPTED, outcome)

    async def test_an_accepted_job_is_not_rejected(self):
        """Guards against a repeated submission that finds more load."""
        await self.submit()
        self.assertFalse(await rejections.write(self.store, cases.ID))
        self.assertNotIn(MARKER, self.store.items)

    async def test_a_marker_that_is_swept_meanwhile_bars_nothing(self):
        """Guards against a caller whose marker goes as it returns."""
        await rejections.write(self.store, cases.ID)
        submission = rejections.Submission(cases.ID, TEXT)
        for sweep in (False, True):
            if sweep:
                await self.store.commit({}, (), [MARKER])
            try:
                await submission.send(self.store)
            except exceptions.TransactionConflict as error:
                self.assertFalse(submission.is_stored(error))
                submission.note_marker(error)
        await submission.send(self.store)
        self.assertIn(JOB, self.store.items)

    async def test_old_markers_are_swept(self):
        await rejections.write(self.store, cases.ID)
        await self.sweep()
        self.assertIn(MARKER, self.store.items)
        await self.sweep(later=RETENTION_SECONDS + 1)
        self.assertNotIn(MARKER, self.store.items)

    async def test_an_unreadable_marker_is_swept(self):
        write = store_module.Write(MARKER, 'no JSON')
        await self.store.commit({}, [write])
        await self.sweep()
        self.assertNotIn(MARKER, self.store.items)

    async def sweep(self, later=0.0):
        cutoff = time.time() + later - RETENTION_SECONDS
        await rejections.sweep(self.store, cutoff)
