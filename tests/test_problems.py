import contextlib
import traceback

from persimmonsail import problems
from tests import base


@contextlib.contextmanager
def pass_through():
    yield


class ProblemTest(base.TestCase):
    def test_problem_passes_through_a_context_manager(self):
        """A refusal with 'not run' turns into an internal error.

        A generator-based context manager sets the traceback of exceptions
        that pass through it, which a frozen data class does not allow;
        the caller then receives the outcome 'unknown'.
        """
        problem = problems.Problem(503, 'Not run', problems.NOT_RUN)
        caught = None
        try:
            with pass_through():
                raise problem
        except problems.Problem as error:
            caught = error
        self.assertIs(problem, caught)
        self.assertIn('Problem', ''.join(traceback.format_exception(caught)))
