"""Log handler that writes to standard output without blocking on a slow reader."""

import os
import sys
import time
from typing import Any

import logbook

from pollengated.logs import format_json

__all__ = ["RateLimitedStdoutHandler", "configure_stdout_logging"]

# Sustained rate; a shard starts and ends up to 210 tasks per second.
MAX_LINES_PER_S = 600.0
BURST_LINES = 2000


class RateLimitedStdoutHandler(logbook.Handler):
    """Writes records as JSON lines; drops lines above a rate or while the pipe is full.

    The number of dropped lines is logged before the next line that is written. Warnings and errors
    are exempt from the rate limit.
    """

    def __init__(self, level: str = "INFO", descriptor: int | None = None) -> None:
        super().__init__(level=level)
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._tokens = float(BURST_LINES)
        self._refilled_at = time.monotonic()
        self._dropped_count = 0
        self._unwritten = b""

    def emit(self, record: Any) -> None:
        """Writes a record, or counts it as dropped."""
        if record.level < logbook.WARNING and not self._take_token():
            self._dropped_count += 1
            return
        line = format_json(record, self).encode() + b"\n"
        if self._dropped_count:
            notice = f'{{"part":"logs","message":"lines dropped","count":{self._dropped_count}}}\n'
            line = notice.encode() + line
        if self._write(line):
            self._dropped_count = 0
        else:
            self._dropped_count += 1

    def _take_token(self) -> bool:
        now = time.monotonic()
        self._tokens += (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(self._tokens, float(BURST_LINES))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line: bytes) -> bool:
        """Writes a line and returns True, or returns False if it has to be dropped.

        If the pipe takes only a part of a line, the rest is kept and written before the next line.
        """
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            if self._unwritten:
                return False
            self._unwritten = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            return False
        except OSError:
            self._unwritten = b""
            return False
        return True


def configure_stdout_logging(level: str = "INFO") -> None:
    """Writes the logs of all parts to standard output as JSON."""
    RateLimitedStdoutHandler(level).push_application()
