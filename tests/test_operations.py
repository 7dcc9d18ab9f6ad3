import ast
import pathlib
import re

from persimmonsail.callers import entry
from persimmonsail.callers import gauges
from persimmonsail import metrics
from tests import base
from tests import contract

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = ROOT / 'src' / 'persimmonsail'
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
WRITERS = {'write_event', 'write_warning', 'write_error'}


def list_calls(names: set[str]) -> list[ast.Call]:
    """Return all calls of these functions in the package."""
    return [
        node
        for path in sorted(SOURCES.rglob('*.py'))
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8')))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in names
    ]


def list_constants(calls: list[ast.Call], position: int) -> set[str]:
    """Return the constants at one position of calls."""
    return {
        call.args[position].value
        for call in calls
        if len(call.args) > position
        and isinstance(call.args[position], ast.Constant)
    }


class OperatorsPageTest(base.TestCase):
    """Compares docs/OPERATIONS.md with the code.

    An operator otherwise finds undocumented names in logs and metrics.
    """

    def setUp(self):
        super().setUp()
        self.terms = set(
            re.findall('`([^`]+)`', PAGE.read_text(encoding='utf-8'))
        )

    def test_every_log_event_is_explained(self):
        events = list_constants(list_calls(WRITERS), 0)
        self.assertIn('routing', events)
        self.assertEqual(set(), events - self.terms)

    def test_every_metric_is_explained(self):
        entry_gauges = gauges.make_gauges(entry.Entry)
        names = {m.name for m in (*metrics.list_metrics(), *entry_gauges)}
        self.assertEqual(set(), names - self.terms)

    def test_every_refusal_is_explained(self):
        text = PAGE.read_text(encoding='utf-8')
        titles = list_constants(list_calls({'Problem'}), 1)
        self.assertIn('Not ready', titles)
        self.assertEqual(
            set(), {title for title in titles if title not in text}
        )

    def test_every_status_is_in_the_callers_interface(self):
        statuses = list_constants(list_calls({'Problem'}), 0)
        documented = {
            status for _, _, status in contract.Contract().list_responses()
        }
        self.assertIn(503, statuses)
        self.assertEqual(set(), {str(s) for s in statuses} - documented)
