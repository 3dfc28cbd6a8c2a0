"""Tests of the log handler that drops lines rather than wait for a slow reader."""

import json
import os
import unittest

import logbook
from pollengated.stdout_log import BURST_LINES, RateLimitedStdoutHandler


class RateLimitedStdoutHandlerTest(unittest.TestCase):
    """Writes to a pipe, whose reader may fall behind."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = RateLimitedStdoutHandler(descriptor=self.writer)
        self.logger = logbook.Logger("part")

    def read(self) -> list[dict[str, object]]:
        """Reads and decodes all lines that are in the pipe."""
        received = b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                break
            received += chunk
        return [json.loads(line) for line in received.splitlines()]

    def test_line_is_a_json_document_with_the_fields(self) -> None:
        with self.handler.threadbound():
            self.logger.info("job accepted", extra={"job": "aa"})
        (line,) = self.read()
        self.assertEqual(
            (line["message"], line["job"], line["part"]), ("job accepted", "aa", "part")
        )

    def test_lines_are_dropped_and_counted_while_the_pipe_is_full(self) -> None:
        with self.handler.threadbound():
            for number in range(400):
                self.logger.warning("x" * 1000, extra={"number": number})
            before = self.read()
            self.logger.warning("after")
        after = self.read()
        notices = [line for line in before + after if line["message"] == "lines dropped"]
        self.assertEqual(len(notices), 1)
        shown = [line for line in before + after if "number" in line]
        self.assertEqual(len(shown) + int(str(notices[0]["count"])), 400)
        self.assertEqual(after[-1]["message"], "after")

    def test_rate_limit_does_not_apply_to_warnings(self) -> None:
        with self.handler.threadbound():
            shown = 0
            for _ in range(2 * BURST_LINES):
                self.logger.info("tick")
                shown += len(self.read())
            self.logger.warning("still shown")
        lines = self.read()
        self.assertLess(shown, 2 * BURST_LINES)
        self.assertEqual(lines[-1]["message"], "still shown")
