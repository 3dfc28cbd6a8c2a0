"""Tests of the command line's output and exit codes."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import click
import httpx
from click.testing import CliRunner, Result
from pollengate_cli.exit_codes import ExitCode
from pollengate_cli.main import main
from pollengate_cli.tables import format_table

from tests.test_porcelain import CONFIGURATION, TASK, FakeGate, gate_responding, gates_failing
from tests.test_settings import VALID

STATUS = {
    "process_id": "gate-1",
    "configuration_version": 4,
    "zones": [
        {"name": "a", "in_service": False, "owners": 1, "workers": 3, "queued": 2, "running": 0}
    ],
    "processes": [
        {
            "process_id": "gate-1",
            "role": "gate",
            "zone": "a",
            "configuration_version": 4,
            "shards": [],
            "error": "",
        },
        {
            "process_id": "scheduler-1",
            "role": "scheduler",
            "zone": "a",
            "configuration_version": 3,
            "shards": [
                {"zone": "a", "shard": 0, "epoch": 17, "queued": 2, "running": 0, "workers": []}
            ],
            "error": "",
        },
        {
            "process_id": "scheduler-2",
            "role": "scheduler",
            "zone": "b",
            "configuration_version": None,
            "shards": [],
            "error": "TimeoutError",
        },
    ],
    "refusals_by_reason": {"no_owner": 5},
}


def run(gate: FakeGate, *arguments: str, stdin: str | None = None) -> Result:
    """Runs the command line against a fake gate."""
    return CliRunner().invoke(main, arguments, obj=gate.client(), input=stdin)


class CommandTest(unittest.TestCase):
    """Requests and output of the commands that call a gate."""

    def assert_lines(self, result: Result, *expected: str) -> None:
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        lines = [" ".join(line.split()) for line in result.stdout.splitlines()]
        for line in expected:
            self.assertIn(line, lines)

    def test_status(self) -> None:
        self.assert_lines(
            run(gate_responding(200, STATUS), "status"),
            "gate gate-1, configuration version 4",
            "a no 1 3 2 0",
            "scheduler-1 scheduler a 3 a/0 (epoch 17)",
            "scheduler-2 scheduler b - TimeoutError",
            "no_owner 5",
        )

    def test_status_as_json_is_complete(self) -> None:
        result = run(gate_responding(200, STATUS), "status", "--json")
        self.assertEqual(STATUS, json.loads(result.stdout))

    def test_zone_list(self) -> None:
        self.assert_lines(run(gate_responding(200, STATUS), "zone", "list"), "a no 1 3 2 0")

    def test_zone_out_shows_the_key_to_repeat_with(self) -> None:
        result = run(
            gate_responding(200, CONFIGURATION), "zone", "out", "a", "--idempotency-key", "k"
        )
        self.assert_lines(result, "version 4 accepted (idempotency key k)")

    def test_zone_out_generates_a_key(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        result = run(gate, "zone", "out", "a", "--json")
        generated_key = gate.requests[-1].headers["Idempotency-Key"]
        self.assertEqual(generated_key, json.loads(result.stdout)["idempotency_key"])

    def test_config_get_shows_one_table_per_section(self) -> None:
        result = run(gate_responding(200, CONFIGURATION), "config", "get")
        self.assert_lines(result, "version 4", "zones", "NAME IN_SERVICE", "a yes")

    def test_config_patch_reads_a_file_or_the_standard_input(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        patch = '{"limits": {"max_queued_tasks": 5}}'
        result = run(gate, "config", "patch", "-", "--version", "3", stdin=patch)
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertEqual('"3"', gate.requests[0].headers["If-Match"])
        self.assertEqual(json.loads(patch), json.loads(gate.requests[0].content))

    def test_config_patch_needs_a_version(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        result = run(gate, "config", "patch", "-", stdin="{}")
        self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertEqual([], gate.requests)

    def test_config_patch_that_is_not_a_json_object_is_not_sent(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        for text in ("{", "[]", "3"):
            with self.subTest(text=text):
                result = run(gate, "config", "patch", "-", "--version", "3", stdin=text)
                self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertEqual([], gate.requests)

    def test_config_history(self) -> None:
        entry = {"version": 4, "key": "k", "process_id": "gate-1", "patch": {"zones": {}}}
        result = run(gate_responding(200, [entry]), "config", "history")
        self.assert_lines(result, '4 gate-1 k {"zones": {}}')

    def test_config_find(self) -> None:
        gate = gate_responding(200, {"version": 4, "key": "k", "process_id": "gate-1", "patch": {}})
        self.assert_lines(run(gate, "config", "find", "k"), "4 gate-1 k {}")
        self.assertEqual("/config/patches/k", gate.requests[0].url.path)

    def test_config_schema(self) -> None:
        result = run(gate_responding(200, {"type": "object"}), "config", "schema")
        self.assertEqual({"type": "object"}, json.loads(result.stdout))

    def test_service_list(self) -> None:
        result = run(gate_responding(200, CONFIGURATION), "service", "list")
        self.assert_lines(result, "scoring 8 64 2000 0")

    def test_task_commands(self) -> None:
        gate = gate_responding(200, TASK)
        for arguments in (("show", "t-1"), ("cancel", "t-1"), ("submit", "t-1", "--team", "x")):
            with self.subTest(arguments=arguments):
                result = run(gate, "task", *arguments)
                self.assert_lines(result, "t-1: running, team league, zone a", "t-1.0 running w0 1")
        self.assertEqual(["GET", "DELETE", "PUT"], [r.method for r in gate.requests])

    def test_task_list(self) -> None:
        self.assert_lines(
            run(gate_responding(200, [TASK]), "task", "list"), "t-1 league running a 1"
        )
        self.assert_lines(run(gate_responding(200, []), "task", "list"), "no task is known")


class FailureOutputTest(unittest.TestCase):
    """Output and exit codes of failed commands."""

    def refuse(self, status: int, reason: str, outcome: str, **fields: Any) -> Result:
        problem = {"reason": reason, "outcome": outcome, "detail": "refused so", **fields}
        return run(gate_responding(status, problem), "task", "show", "t-1")

    def test_refused_command_prints_the_error_and_a_hint(self) -> None:
        result = self.refuse(404, "not_found", "not_run")
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn("error: refused so (not_found, not run)", result.stderr)
        self.assertIn("next: check the name", result.stderr)
        self.assertEqual("", result.stdout)

    def test_invalid_fields_are_listed(self) -> None:
        fields = [{"field": "cores", "detail": "at least 1"}]
        result = self.refuse(422, "invalid_request", "not_run", fields=fields)
        self.assertIn("  cores: at least 1", result.stderr)

    def test_version_conflict_shows_both_versions_and_a_hint(self) -> None:
        detail = "the patch is against version 3, the current version is 4"
        result = self.refuse(412, "version_conflict", "not_run", detail=detail)
        self.assertEqual(ExitCode.CONFLICT, result.exit_code)
        self.assertIn(detail, result.stderr)
        self.assertIn("--version", result.stderr)

    def test_unknown_outcome_advises_a_check_before_repeating(self) -> None:
        result = self.refuse(503, "store_unavailable", "unknown")
        self.assertEqual(ExitCode.UNKNOWN, result.exit_code)
        self.assertIn("before repeating", result.stderr)

    def test_patch_with_unknown_outcome_names_the_key_to_look_it_up(self) -> None:
        problem = {"reason": "store_unavailable", "outcome": "unknown", "detail": "lost"}
        arguments = ("config", "patch", "-", "--version", "3", "--idempotency-key", "k-1")
        result = run(gate_responding(503, problem), *arguments, stdin="{}")
        self.assertEqual(ExitCode.UNKNOWN, result.exit_code)
        self.assertIn("pollengate config find k-1", result.stderr)

    def test_unreachable_gate(self) -> None:
        result = run(gates_failing(httpx.ConnectError), "status")
        self.assertEqual(ExitCode.UNREACHABLE, result.exit_code)
        self.assertIn("--gate", result.stderr)

    def test_failure_as_json(self) -> None:
        result = run(gate_responding(404, {"reason": "not_found"}), "task", "show", "t-1", "--json")
        self.assertEqual("not_found", json.loads(result.stderr)["reason"])

    def test_unknown_command_is_a_usage_error(self) -> None:
        self.assertEqual(
            ExitCode.USAGE, run(gate_responding(200, {}), "zone", "sideways").exit_code
        )


class LocalCommandTest(unittest.TestCase):
    """Commands that do not call a gate."""

    def test_settings_check(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            good, bad = Path(directory) / "good.toml", Path(directory) / "bad.toml"
            good.write_text(VALID)
            bad.write_text(VALID.replace("[listen]", "[lissten]"))
            result = CliRunner().invoke(main, ["settings", "check", str(good), str(bad)])
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn(f"{good}: valid, process gate-1", result.stdout)
        self.assertIn("'listen'", result.stderr)
        self.assertIn("listen: the key is missing", result.stderr)

    def test_completion(self) -> None:
        for shell in ("bash", "zsh", "fish"):
            with self.subTest(shell=shell):
                result = CliRunner().invoke(main, ["completion", shell])
                self.assertEqual(ExitCode.OK, result.exit_code, result.output)
                self.assertIn("_POLLENGATE_COMPLETE", result.stdout)

    def test_every_command_that_calls_a_gate_can_print_json(self) -> None:
        for group_name, group in main.commands.items():
            if group_name in ("completion", "settings"):
                continue
            commands = group.commands if isinstance(group, click.Group) else {"": group}
            for name, command in commands.items():
                with self.subTest(command=f"{group_name} {name}"):
                    self.assertIn("as_json", [parameter.name for parameter in command.params])


class TableTest(unittest.TestCase):
    """Formatting of tables."""

    def test_numbers_are_right_aligned_and_text_is_left_aligned(self) -> None:
        table = format_table(("NAME", "COUNT"), [("a", 5), ("long", 1000)])
        self.assertEqual("NAME  COUNT\na         5\nlong   1000", table)

    def test_none_is_a_dash_and_booleans_are_yes_or_no(self) -> None:
        self.assertEqual("A  B\n-  no", format_table(("A", "B"), [(None, False)]))
