import testtools

from persimmonsail import exceptions
from persimmonsail.jobs import capacities
from persimmonsail.jobs import clock
from persimmonsail.jobs import intake
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases


class LostStore:
    """A store that gave no answer lately; counts what is sent all the same."""

    is_lost = True
    silent_seconds = 5.0

    def __init__(self):
        self.puts = 0

    async def put(self, key, value, expected=None, lease=None):
        self.puts += 1


def make_intake(store, known=None):
    known = known or capacities.Capacities()
    return intake.Intake(store, None, lambda: '', lambda: None, known)


class IntakeTest(base.TestCase):
    async def test_what_can_never_run_is_refused_and_not_stored(self):
        """A caller waits for a job that nothing can ever run.

        Its step is larger than any instance, or its queue needs an
        advisor and there is none; it was accepted all the same.
        """
        store = LostStore()
        store.is_lost = False
        known = capacities.Capacities()
        known.note(cases.QUEUE.service, specification.Size(500, 100))
        own = make_intake(store, known)
        found = specification.Specification('', (cases.make_step(),))
        for queue in (cases.QUEUE, cases.ADVISED):
            with testtools.ExpectedException(exceptions.JobInvalid):
                await own.submit(cases.ID, queue, found, clock.read() + 5.0)
        self.assertEqual(0, store.puts)

    async def test_a_job_passed_on_to_a_lost_store_is_refused_at_once(self):
        """Callers give up although the store is back after 4 s.

        Each entry passed the call on to the leader's, which tried a store
        that it knew to be silent; so nobody could say that the job was
        not accepted, and a caller may come back only after that word.
        """
        store = LostStore()
        own = make_intake(store)
        until = clock.read() + 5.0
        outcome = await own.store_job(cases.ID, '{}', until)
        self.assertIs(intake.Outcome.REFUSED, outcome)
        self.assertEqual(0, store.puts)
