import hypothesis
import hypothesis.strategies as st

from persimmonsail import logs
from tests import base

KEYS = st.from_regex(r'[a-z][a-z0-9_]*', fullmatch=True)


class LogsTest(base.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(st.dictionaries(KEYS, st.text()))
    def test_any_text_reads_back_as_written(self, fields):
        line = logs.format_line(fields)
        self.assertNotIn('\n', line)
        self.assertEqual(fields, logs.parse_line(line))

    def test_malformed_line_is_a_syntax_error(self):
        for line in ('text', 'a=b c', 'a="b', 'a= b=c'):
            self.assertRaises(logs.LogSyntaxError, logs.parse_line, line)
