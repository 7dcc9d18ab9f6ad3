"""Non-blocking output of log lines.

The reader of a process's standard output may be slow or stop reading. A
decision that blocked on it would delay leases and callers; so a line is
written only while the kernel reports free capacity in the pipe, and is
queued otherwise. The queue is bounded; lines beyond it are dropped and
counted, and the count is written once lines can be written again.
"""

import collections
import os
import select
import threading
import time
import typing as t

# About 2 MB of lines. The highest rate measured for a process is some 300
# lines a second, so that this bridges half a minute without a reader.
MAX_LINES = 10_000
# Above this rate only warnings and errors are accepted: three times the
# highest rate measured, and 5% of a processor at 50 microseconds a line.
MAX_LINES_PER_SECOND = 1_000
# How long an exiting process waits for its reader.
CLOSE_TIMEOUT_SECONDS = 1.0
# Interval at which a pipe that stays full is polled again.
_POLL_SECONDS = 0.5

_INFO = ' level=info '
# The level follows the time, within this many characters.
_LEVEL_WITHIN = 64
_MILLISECONDS = 1000

FormatDropped = t.Callable[[int], str]


class LineWriter:
    """A text stream of log lines; closing it writes the queued lines.

    A separate thread writes queued lines as soon as the pipe has free
    capacity: if they waited for the next line, they would be lost with a
    process that is killed before it logs again.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to.
    format_dropped : callable
        Returns the line that reports how many lines were dropped.
    max_lines, max_lines_per_second : int
        The limits; see ``MAX_LINES`` and ``MAX_LINES_PER_SECOND``.
    """

    def __init__(
        self,
        descriptor: int,
        format_dropped: FormatDropped,
        max_lines: int = MAX_LINES,
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self._descriptor = descriptor
        self._format_dropped = format_dropped
        self._max_lines = max_lines
        self._max_lines_per_second = max_lines_per_second
        self._chunks: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_this_second = 0
        self._reader_closed = False
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._thread: threading.Thread | None = None

    def write(self, text: str) -> int:
        """Queue a line, or drop it if a limit is exceeded."""
        with self._lock:
            if self._exceeds_limit(text):
                self._dropped += 1
            else:
                self._enqueue(text)
        return len(text)

    def flush(self) -> None:
        """Write what the pipe accepts now; the thread writes the rest."""
        with self._lock:
            self._drain(0.0)
            if self._has_pending:
                self._wake_writer()

    def close(self) -> None:
        """Write the queued lines; wait for the reader up to the timeout."""
        with self._lock:
            self._drain(CLOSE_TIMEOUT_SECONDS)

    @property
    def _has_pending(self) -> bool:
        return bool(self._chunks or self._dropped) and not self._reader_closed

    def _wake_writer(self) -> None:
        self._wakeup.set()
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._run_write_loop, name='log-writer', daemon=True
            )
            self._thread.start()

    def _run_write_loop(self) -> None:
        while True:
            self._wakeup.wait()
            self._is_writable(_POLL_SECONDS)
            with self._lock:
                self._drain(0.0)
                if not self._has_pending:
                    self._wakeup.clear()

    def _enqueue(self, text: str) -> None:
        # A writable pipe accepts at least PIPE_BUF bytes, so that writing a
        # chunk does not block.
        data = text.encode()
        for start in range(0, len(data), select.PIPE_BUF):
            self._chunks.append(data[start : start + select.PIPE_BUF])

    def _exceeds_limit(self, text: str) -> bool:
        if len(self._chunks) >= self._max_lines:
            return True
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second <= self._max_lines_per_second:
            return False
        return _INFO in text[:_LEVEL_WITHIN]

    def _drain(self, timeout: float) -> None:
        deadline = time.monotonic() + timeout
        while self._has_pending:
            remaining = max(deadline - time.monotonic(), 0.0)
            if not self._is_writable(remaining):
                return
            if not self._chunks:
                self._enqueue(self._format_dropped(self._dropped))
                self._dropped = 0
            self._write_batch()

    def _is_writable(self, timeout: float) -> bool:
        # One poll object per call: two threads can't share one.
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        ready = poll.poll(timeout * _MILLISECONDS)
        return any(events & select.POLLOUT for _, events in ready)

    def _write_batch(self) -> None:
        batch = self._chunks.popleft()
        while self._chunks and len(batch) + len(self._chunks[0]) <= (
            select.PIPE_BUF
        ):
            batch += self._chunks.popleft()
        try:
            written = os.write(self._descriptor, batch)
        except OSError:
            # The reader has closed the pipe; the process continues without
            # logs, and there is nowhere to report it.
            self._reader_closed = True
            return
        if written < len(batch):
            self._chunks.appendleft(batch[written:])
