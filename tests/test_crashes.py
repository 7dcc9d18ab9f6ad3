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
    def test_tells_type_text_and_place(self):
        error = self.assertRaises(KeyError, fail)
        found = tracebacks.describe(error)
        self.assertEqual('KeyError', found['error'])
        self.assertEqual("'seven'", found['text'])
        self.assertRegex(found['where'], r'^test_crashes\.py:\d+:fail$')

    def test_a_group_tells_its_first_error_and_their_number(self):
        inner = ExceptionGroup('inner', [ValueError('a'), OSError('b')])
        found = tracebacks.describe(ExceptionGroup('outer', [inner]))
        self.assertEqual(('ValueError', 'a'), (found['error'], found['text']))
        self.assertEqual('2', found['errors'])

    def test_an_uncaught_error_is_one_line(self):
        """A crash leaves no trace in the collected logs.

        An error reaches the interpreter's top, its traceback goes to
        standard error in many lines, and no line of them is an event.
        """
        ended = subprocess.run(
            [sys.executable, '-c', CHILD],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual('', ended.stderr)
        lines = [logs.parse_line(line) for line in ended.stdout.splitlines()]
        self.assertEqual(
            ['thread-error', 'crash'], [line['event'] for line in lines]
        )
        for line in lines:
            self.assertEqual('a "quoted"\nline', line['text'])
            self.assertEqual('error', line['level'])
        self.assertEqual(1, ended.returncode)

    def test_a_librarys_error_keeps_its_place(self):
        """A failed call says 'Application error', and nothing more.

        The library logs with the exception attached, and the formatter
        writes the message alone.
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
