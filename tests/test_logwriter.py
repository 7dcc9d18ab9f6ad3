import os
import select
import subprocess
import sys
import threading
import time

import pytest

from persimmonsail import logs
from persimmonsail import logwriter
from tests import base

# Writes more than a pipe holds while nobody reads, reports that on standard
# error, then waits for a line on standard input.
SCRIPT = """
import sys, time
from persimmonsail import logs
logs.configure('one')
begun = time.monotonic()
for number in range(30000):
    logs.write_event('decision', number=number)
logs.write_warning('last')
print('written', file=sys.stderr, flush=True)
sys.stdin.readline()
"""
TIMEOUT_SECONDS = 20.0


class LineWriterTest(base.TestCase):
    """A log collector stops reading under peak load."""

    def setUp(self):
        super().setUp()
        self.reader, self.target = os.pipe()
        self.addCleanup(os.close, self.reader)

    def open(self, **limits):
        return logwriter.LineWriter(
            self.target, lambda count: f'dropped={count}\n', **limits
        )

    def send(self, writer, *lines):
        for line in lines:
            writer.write(line)
            writer.flush()

    def read(self):
        """Return everything that was written, and close the write end."""
        os.close(self.target)
        with os.fdopen(os.dup(self.reader)) as file:
            return file.read()

    def fill(self):
        """Fill the pipe, as if its reader had stopped reading."""
        os.set_blocking(self.target, False)
        size = 0
        try:
            while True:
                size += os.write(self.target, b'x' * select.PIPE_BUF)
        except BlockingIOError:
            os.set_blocking(self.target, True)
            return size

    def test_lines_come_out_in_order(self):
        writer = self.open()
        self.send(writer, 'a\n', 'b\n', 'c' * 10_000 + '\n', 'd\n')
        text = self.read()
        self.assertEqual('a\nb\n' + 'c' * 10_000 + '\nd\n', text)

    def test_writer_counts_dropped_lines(self):
        size = self.fill()
        writer = self.open(max_lines=3)
        self.send(writer, 'a\n', 'b\n', 'c\n', 'lost\n', 'lost\n')
        self.assertEqual(b'x' * size, os.read(self.reader, size))
        writer.close()
        self.assertEqual('a\nb\nc\ndropped=2\n', self.read())

    def test_last_lines_are_written_without_a_further_line(self):
        """The last lines of a killed process are missing."""
        size = self.fill()
        writer = self.open()
        self.send(writer, 'a\n')
        found = b''
        while select.select([self.reader], [], [], TIMEOUT_SECONDS)[0]:
            found = os.read(self.reader, size)
            if found.endswith(b'\n'):
                break
        self.assertEqual(b'a\n', found[-2:])
        os.close(self.target)

    def test_closing_waits_for_the_reader_for_a_limited_time(self):
        size = self.fill()
        writer = self.open()
        self.send(writer, 'a\n')
        started = time.monotonic()
        writer.close()
        waited = time.monotonic() - started
        self.assertGreater(waited, 0.9 * logwriter.CLOSE_TIMEOUT_SECONDS)
        # Its thread would write the line into the next test's pipe, which
        # may have the same descriptor.
        self.assertEqual(b'x' * size, os.read(self.reader, size))
        writer.close()
        self.assertEqual('a\n', self.read())

    def test_warnings_are_written_above_the_rate_limit(self):
        writer = self.open(max_lines_per_second=5)
        info = 'time=1 level=info process=a event=b\n'
        warning = 'time=1 level=warning process=a event=c\n'
        self.send(writer, *[info] * 50, warning)
        writer.close()
        text = self.read()
        self.assertIn(warning, text)
        self.assertLess(text.count(info), 20)
        self.assertIn('dropped=', text)

    def test_closed_reader_raises_no_error(self):
        writer = self.open()
        os.close(self.reader)
        self.send(writer, 'a\n', 'b\n')
        writer.close()
        self.reader = os.dup(self.target)
        os.close(self.target)


@pytest.mark.processes
class LogPipeTest(base.TestCase):
    def test_stopped_reader_does_not_block_the_process(self):
        """All entries block simultaneously; leases of running tasks expire.

        Their standard output goes to a collector that hangs; the pipe
        fills within a second, and the next decision blocks on it.
        """
        process = subprocess.Popen(
            [sys.executable, '-c', SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        killer = threading.Timer(TIMEOUT_SECONDS, process.kill)
        killer.start()
        self.addCleanup(killer.cancel)
        started = time.monotonic()
        self.assertEqual('written\n', process.stderr.readline())
        self.assertLess(time.monotonic() - started, TIMEOUT_SECONDS)
        # The reader resumes; the lines it missed are counted.
        output, _ = process.communicate('\n')
        lines = [logs.parse_line(line) for line in output.splitlines()]
        events = {line['event'] for line in lines}
        self.assertIn('last', events)
        dropped = sum(
            int(line['count'])
            for line in lines
            if line['event'] == 'log-lines-dropped'
        )
        decisions = sum(line['event'] == 'decision' for line in lines)
        self.assertEqual(30000, decisions + dropped)
        self.assertGreater(dropped, 0)
