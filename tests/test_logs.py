"""Tests of log formats and of request ids."""

import contextvars
import json
import unittest
from collections.abc import Callable

import logbook
from pollengate_net.request_ids import current_request_id, set_request_id
from pollengated.logs import Log, format_json, format_text


def format_lines(formatter: Callable[..., str], write: Callable[[Log], None]) -> list[str]:
    """Returns the formatted lines that `write` logs."""
    with logbook.TestHandler(level=logbook.DEBUG) as handler:
        contextvars.copy_context().run(write, Log("owner"))
        return [formatter(record, handler) for record in handler.records]


class LogsTest(unittest.TestCase):
    """Formats of single records."""

    def test_text_line_has_the_part_and_the_fields(self) -> None:
        [line] = format_lines(format_text, lambda log: log.info("shard taken", zone="a", epoch=3))
        self.assertTrue(line.endswith("Z info owner: shard taken zone=a epoch=3"), line)

    def test_text_record_with_line_breaks_in_a_field_stays_on_one_line(self) -> None:
        value = 'x\n2026 info owner: forged key="1"'
        [line] = format_lines(format_text, lambda log: log.warning("refused", path=value))
        self.assertEqual(1, len(line.splitlines()))
        self.assertIn(f"path={json.dumps(value)}", line)

    def test_json_record_is_one_object_on_one_line(self) -> None:
        [line] = format_lines(format_json, lambda log: log.info("shard taken", zone="a\nb"))
        document = json.loads(line)
        self.assertEqual(1, len(line.splitlines()))
        self.assertEqual(
            ("info", "owner", "shard taken", "a\nb"),
            (document["level"], document["part"], document["message"], document["zone"]),
        )

    def test_json_encodes_infinite_values_as_null(self) -> None:
        [line] = format_lines(
            format_json, lambda log: log.info("read", age_s=float("inf"), at_s=1.5)
        )
        self.assertNotIn("Infinity", line)
        document = json.loads(line)
        self.assertEqual((None, 1.5), (document["age_s"], document["at_s"]))

    def test_record_has_the_current_request_id(self) -> None:
        def write(log: Log) -> None:
            set_request_id("req-7")
            log.info("task accepted")

        [line] = format_lines(format_text, write)
        self.assertTrue(line.endswith("task accepted request_id=req-7"), line)

    def test_error_record_has_a_traceback(self) -> None:
        [line] = format_lines(format_json, lambda log: log.error("failed", ValueError("bad")))
        self.assertIn("ValueError: bad", json.loads(line)["traceback"])


class RequestIdTest(unittest.TestCase):
    """Adoption of request ids that a caller sends."""

    def test_valid_id_is_adopted(self) -> None:
        self.assertEqual(
            "match-7_a.b", contextvars.copy_context().run(set_request_id, "match-7_a.b")
        )

    def test_malformed_id_is_replaced_by_a_generated_one(self) -> None:
        for received_id in (None, "", "a b", "a\nb", "x" * 65, "é"):
            with self.subTest(received_id=received_id):
                adopted = contextvars.copy_context().run(set_request_id, received_id)
                self.assertRegex(adopted, r"^[0-9a-f]{32}$")

    def test_request_id_is_empty_outside_a_request(self) -> None:
        self.assertEqual("", contextvars.Context().run(current_request_id))
