"""Tests of log lines and of the request id in them."""

import contextvars
import json
import unittest
from collections.abc import Callable

import logbook
from pollengate_net.request_ids import current_request_id, set_request_id
from pollengated.logs import Log, format_json, format_text


def lines_of(formatter: Callable[..., str], write: Callable[[Log], None]) -> list[str]:
    """Returns the lines that a part writes, each formatted."""
    with logbook.TestHandler(level=logbook.DEBUG) as handler:
        contextvars.copy_context().run(write, Log("owner"))
        return [formatter(record, handler) for record in handler.records]


class LogsTest(unittest.TestCase):
    """Formats single records."""

    def test_text_has_the_prefix_of_the_part_and_fields(self) -> None:
        [line] = lines_of(format_text, lambda log: log.info("shard taken", zone="a", epoch=3))
        self.assertTrue(line.endswith("Z info owner: shard taken zone=a epoch=3"), line)

    def test_text_stays_on_one_line_whatever_a_field_holds(self) -> None:
        value = 'x\n2026 info owner: forged key="1"'
        [line] = lines_of(format_text, lambda log: log.warning("refused", path=value))
        self.assertEqual(1, len(line.splitlines()))
        self.assertIn(f"path={json.dumps(value)}", line)

    def test_json_is_one_object_a_line(self) -> None:
        [line] = lines_of(format_json, lambda log: log.info("shard taken", zone="a\nb"))
        document = json.loads(line)
        self.assertEqual(1, len(line.splitlines()))
        self.assertEqual(
            ("info", "owner", "shard taken", "a\nb"),
            (document["level"], document["part"], document["message"], document["zone"]),
        )

    def test_json_shows_an_age_that_is_not_known_as_null(self) -> None:
        [line] = lines_of(format_json, lambda log: log.info("read", age_s=float("inf"), at_s=1.5))
        self.assertNotIn("Infinity", line)
        document = json.loads(line)
        self.assertEqual((None, 1.5), (document["age_s"], document["at_s"]))

    def test_carries_the_current_request_id(self) -> None:
        def write(log: Log) -> None:
            set_request_id("req-7")
            log.info("task accepted")

        [line] = lines_of(format_text, write)
        self.assertTrue(line.endswith("task accepted request_id=req-7"), line)

    def test_error_has_a_traceback(self) -> None:
        [line] = lines_of(format_json, lambda log: log.error("failed", ValueError("bad")))
        self.assertIn("ValueError: bad", json.loads(line)["traceback"])


class RequestIdTest(unittest.TestCase):
    """Adopts offered ids."""

    def test_keeps_a_valid_id(self) -> None:
        self.assertEqual(
            "match-7_a.b", contextvars.copy_context().run(set_request_id, "match-7_a.b")
        )

    def test_replaces_a_malformed_id(self) -> None:
        for offered in (None, "", "a b", "a\nb", "x" * 65, "é"):
            with self.subTest(offered=offered):
                adopted = contextvars.copy_context().run(set_request_id, offered)
                self.assertRegex(adopted, r"^[0-9a-f]{32}$")

    def test_none_is_current_outside_a_request(self) -> None:
        self.assertEqual("", contextvars.Context().run(current_request_id))
