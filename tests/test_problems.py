import contextlib
import traceback

from persimmonsail import problems
from tests import base


@contextlib.contextmanager
def pass_through():
    yield


class ProblemTest(base.TestCase):
    def test_problem_passes_through_a_context_manager(self):
        """A caller is told 'not run', and then that its fate is unknown.

        The refusal is raised inside a generator's context manager, whose
        end sets the traceback of what passes; a frozen data class does
        not let it, and the refusal turns into an internal error.
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
