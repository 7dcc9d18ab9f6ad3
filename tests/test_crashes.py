import io
import logging
import subprocess
import sys

from persimmonsail import crashes
from persimmonsail import logs
from persimmonsail import tracebacks
from tests import base

CHILD = """\
import sys
import threading
from persimmonsail import crashes, logs
logs.configure('one')
crashes.install_hooks()
def fail():
    raise ValueError('a "quoted"\\nline')
thread = threading.Thread(target=fail)
thread.start()
thread.join()
fail()
"""


def fail():
    raise KeyError('seven')


class CrashesTest(base.TestCase):
    def test_describes_type_text_and_location(self):
        error = self.assertRaises(KeyError, fail)
        description = tracebacks.describe(error)
        self.assertEqual('KeyError', description['error'])
        self.assertEqual("'seven'", description['text'])
        self.assertRegex(description['where'], r'^test_crashes\.py:\d+:fail$')

    def test_group_is_described_by_first_error_and_count(self):
        inner = ExceptionGroup('inner', [ValueError('a'), OSError('b')])
        description = tracebacks.describe(ExceptionGroup('outer', [inner]))
        self.assertEqual(
            ('ValueError', 'a'), (description['error'], description['text'])
        )
        self.assertEqual('2', description['errors'])

    def test_uncaught_error_is_one_line(self):
        """A crash is missing from the collected logs.

        The interpreter prints the traceback of an uncaught error to
        standard error in many lines, and none of them is an event.
        """
        completed = subprocess.run(
            [sys.executable, '-c', CHILD],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual('', completed.stderr)
        lines = [
            logs.parse_line(line) for line in completed.stdout.splitlines()
        ]
        self.assertEqual(
            ['thread-error', 'crash'], [line['event'] for line in lines]
        )
        for line in lines:
            self.assertEqual('a "quoted"\nline', line['text'])
            self.assertEqual('error', line['level'])
        self.assertEqual(1, completed.returncode)

    def test_library_error_keeps_its_location(self):
        """A failed call is logged as 'Application error' only.

        The library attaches the exception to its log record, and the
        formatter writes the message alone.
        """
        stream = io.StringIO()
        logs.configure('one', stream)
        try:
            fail()
        except KeyError:
            logging.getLogger('grpclib.server').exception('Application error')
        line = logs.parse_line(stream.getvalue())
        self.assertEqual('message', line['event'])
        self.assertEqual('grpclib.server', line['logger'])
        self.assertEqual('Application error', line['text'])
        self.assertEqual('KeyError', line['error'])
        self.assertRegex(line['where'], r'^test_crashes\.py:\d+:fail$')

    def test_report_writes_one_event(self):
        stream = io.StringIO()
        logs.configure('one', stream)
        crashes.report(ValueError('x'))
        line = logs.parse_line(stream.getvalue())
        self.assertEqual(('crash', 'x'), (line['event'], line['text']))
