"""Writes logs to the standard output, never waiting for a slow reader."""

import os
import sys
import time
from typing import Any

import logbook

from pollengated.logs import format_json

__all__ = ["BoundedStdout", "set_up_stdout_logs"]

# Sustained lines a second; a shard starts and ends up to 210 tasks a second.
LINES_PER_S = 600.0
BURST_LINES = 2000


class BoundedStdout(logbook.Handler):
    """Drops lines beyond a rate, or while the reader is behind, and says how many.

    Warnings and errors are exempt from the rate.
    """

    def __init__(self, level: str = "INFO", descriptor: int | None = None) -> None:
        super().__init__(level=level)
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._allowance = float(BURST_LINES)
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._rest = b""

    def emit(self, record: Any) -> None:
        """Writes a record or counts it as dropped."""
        if record.level < logbook.WARNING and not self._take_allowance():
            self._dropped += 1
            return
        line = format_json(record, self).encode() + b"\n"
        if self._dropped:
            notice = f'{{"part":"logs","message":"lines dropped","count":{self._dropped}}}\n'
            line = notice.encode() + line
        if self._write(line):
            self._dropped = 0
        else:
            self._dropped += 1

    def _take_allowance(self) -> bool:
        now = time.monotonic()
        self._allowance += (now - self._refilled_at) * LINES_PER_S
        self._allowance = min(self._allowance, float(BURST_LINES))
        self._refilled_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _write(self, line: bytes) -> bool:
        """Writes a line whole or not at all; the rest of a line that was cut goes first."""
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                return False
            self._rest = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            return False
        except OSError:
            self._rest = b""
            return False
        return True


def set_up_stdout_logs(level: str = "INFO") -> None:
    """Sends every part's log to the standard output as JSON."""
    BoundedStdout(level).push_application()
