"""Tests of the operations on gates and of their HTTP client against fake gates."""

import json
import unittest
from collections.abc import Callable
from typing import Any

import httpx
from hypothesis import given, settings
from hypothesis import strategies as st
from pollengate_cli import porcelain
from pollengate_cli.client import GateClient
from pollengate_cli.exit_codes import ExitCode
from pollengate_cli.failures import Failure, next_step
from pollengate_cli.views import TaskSubmission

CONFIGURATION = {
    "version": 4,
    "configuration": {
        "zones": {"a": {"in_service": True}},
        "services": {
            "scoring": {
                "slots": 8,
                "connections": 64,
                "default_timeout_ms": 2000,
                "priority": 0,
                "added_later": 1,
            }
        },
    },
}
TASK = {
    "task_id": "t-1",
    "team": "league",
    "state": "running",
    "zone": "a",
    "count": 1,
    "tasks": [{"task_id": "t-1.0", "state": "running", "worker_id": "w0", "attempt": 1}],
}


class FakeGate:
    """Responds to requests with a function and records them."""

    def __init__(self, respond: Callable[[httpx.Request], httpx.Response]) -> None:
        self.requests: list[httpx.Request] = []
        self._respond = respond

    def client(self, *addresses: str) -> GateClient:
        transport = httpx.MockTransport(self._handle)
        return GateClient(addresses or ("10.0.0.1:80",), transport)

    def _handle(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        return self._respond(request)


def gate_responding(status: int, document: Any, headers: dict[str, str] | None = None) -> FakeGate:
    """Returns a gate that gives the same response to every request."""
    return FakeGate(lambda _: httpx.Response(status, json=document, headers=headers))


def gates_failing(error: type[httpx.HTTPError], *good: str) -> FakeGate:
    """Returns gates whose calls raise an error, except for the hosts in `good`."""

    def respond(request: httpx.Request) -> httpx.Response:
        if request.url.host in good:
            return httpx.Response(200, json=CONFIGURATION)
        raise error("failed")

    return FakeGate(respond)


class GateChoiceTest(unittest.TestCase):
    """Choice of the gate that a call is sent to."""

    def test_next_gate_is_tried_if_the_connection_fails(self) -> None:
        for error in (httpx.ConnectError, httpx.ConnectTimeout):
            with self.subTest(error=error):
                gates = gates_failing(error, "10.0.0.2")
                client = gates.client("10.0.0.1:80", "10.0.0.2:80")
                self.assertEqual(4, porcelain.get_configuration(client).unwrap().version)
                self.assertEqual(2, len(gates.requests))

    def test_request_that_a_gate_may_have_received_is_not_resent(self) -> None:
        for error in (
            httpx.ReadTimeout,
            httpx.ReadError,
            httpx.WriteError,
            httpx.RemoteProtocolError,
        ):
            with self.subTest(error=error):
                gates = gates_failing(error, "10.0.0.2")
                client = gates.client("10.0.0.1:80", "10.0.0.2:80")
                failure = porcelain.cancel_task(client, "t-1").unwrap_err()
                self.assertEqual(1, len(gates.requests))
                self.assertEqual(ExitCode.UNKNOWN, failure.exit_code())
                self.assertIn("before repeating", next_step(failure))

    def test_call_has_no_effect_if_no_gate_accepts_a_connection(self) -> None:
        client = gates_failing(httpx.ConnectError).client("10.0.0.1:80", "10.0.0.2:80")
        failure = porcelain.cancel_task(client, "t-1").unwrap_err()
        self.assertEqual(("not_run", ExitCode.UNREACHABLE), (failure.outcome, failure.exit_code()))
        self.assertIn("10.0.0.1:80, 10.0.0.2:80", failure.detail)

    def test_read_without_a_response_has_no_effect(self) -> None:
        failure = porcelain.list_tasks(gates_failing(httpx.ReadTimeout).client()).unwrap_err()
        self.assertEqual(("not_run", ExitCode.UNREACHABLE), (failure.outcome, failure.exit_code()))


class PatchTest(unittest.TestCase):
    """Patches of the configuration."""

    def test_zone_patch_is_based_on_the_current_version(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        accepted = porcelain.patch_zone(gate.client(), "a", False, None, "key-1").unwrap()
        self.assertEqual("key-1", accepted.idempotency_key)
        read, sent = gate.requests
        self.assertEqual(("GET", "PATCH"), (read.method, sent.method))
        self.assertEqual('"4"', sent.headers["If-Match"])
        self.assertEqual("key-1", sent.headers["Idempotency-Key"])
        self.assertEqual({"zones": {"a": {"in_service": False}}}, json.loads(sent.content))

    def test_zone_patch_is_based_on_the_given_version(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        porcelain.patch_zone(gate.client(), "a", True, 3, "key-1").unwrap()
        self.assertEqual('"3"', gate.requests[-1].headers["If-Match"])

    def test_zone_that_is_not_configured_is_not_patched(self) -> None:
        gate = gate_responding(200, CONFIGURATION)
        failure = porcelain.patch_zone(gate.client(), "b", False, None, "key-1").unwrap_err()
        self.assertEqual(1, len(gate.requests))
        self.assertEqual("zone 'b' is not configured; configured: a", failure.detail)

    def test_version_conflict_is_not_retried(self) -> None:
        problem = {"outcome": "not_run", "reason": "version_conflict", "detail": "3, not 4"}
        gate = gate_responding(412, problem)
        patch = porcelain.Patch(3, {}, "key-1")
        failure = porcelain.patch_configuration(gate.client(), patch).unwrap_err()
        self.assertEqual(1, len(gate.requests))
        self.assertEqual(ExitCode.CONFLICT, failure.exit_code())

    def test_every_patch_has_its_own_key(self) -> None:
        self.assertNotEqual(porcelain.new_idempotency_key(), porcelain.new_idempotency_key())


class DecodeTest(unittest.TestCase):
    """Encoding of requests and decoding of responses."""

    def test_task(self) -> None:
        task = porcelain.show_task(gate_responding(200, TASK).client(), "t-1").unwrap()
        self.assertEqual("w0", task.tasks[0].worker_id)

    def test_task_id_is_quoted(self) -> None:
        gate = gate_responding(200, TASK)
        porcelain.show_task(gate.client(), "a/../b?c").unwrap()
        self.assertEqual(b"/tasks/a%2F..%2Fb%3Fc", gate.requests[0].url.raw_path)

    def test_submission_sends_every_field(self) -> None:
        gate = gate_responding(201, TASK)
        porcelain.submit_task(gate.client(), "t-1", TaskSubmission("league", cores=4)).unwrap()
        sent = json.loads(gate.requests[0].content)
        self.assertEqual(
            ("league", 4, True, False),
            (sent["team"], sent["cores"], sent["idempotent"], sent["urgent"]),
        )

    def test_unknown_fields_are_dropped(self) -> None:
        [service] = porcelain.list_services(gate_responding(200, CONFIGURATION).client()).unwrap()
        self.assertEqual(("scoring", 8), (service.name, service.slots))

    def test_problem_document(self) -> None:
        problem = {
            "outcome": "not_run",
            "reason": "invalid_request",
            "detail": "the task is invalid",
            "fields": [{"field": "cores", "detail": "at least 1"}],
        }
        headers = {"Retry-After": "3", "Pollengate-Request-Id": "r-1"}
        failure = porcelain.show_task(
            gate_responding(422, problem, headers).client(), "t"
        ).unwrap_err()
        self.assertEqual(
            (422, 3, "r-1"), (failure.status, failure.retry_after_s, failure.request_id)
        )
        self.assertEqual("cores", failure.fields[0].field)
        self.assertEqual(ExitCode.REFUSED, failure.exit_code())

    def test_error_without_an_outcome_has_an_unknown_outcome(self) -> None:
        failure = porcelain.cancel_task(gate_responding(502, {}).client(), "t").unwrap_err()
        self.assertEqual(("unknown", "http_502"), (failure.outcome, failure.reason))

    def test_write_with_a_malformed_response_has_an_unknown_outcome(self) -> None:
        gate = FakeGate(lambda _: httpx.Response(200, content=b"<html>"))
        failure = porcelain.cancel_task(gate.client(), "t").unwrap_err()
        self.assertEqual(("unknown", "malformed_answer"), (failure.outcome, failure.reason))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.integers(200, 599),
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda c: st.lists(c, max_size=3)
            | st.dictionaries(
                st.sampled_from(["version", "configuration", "zones", "fields", "tasks", "reason"]),
                c,
            ),
            max_leaves=8,
        ),
    )
    def test_any_response_is_a_result_or_a_failure(self, status: int, document: Any) -> None:
        for call in (
            porcelain.get_status,
            porcelain.list_tasks,
            porcelain.list_services,
        ):
            result = call(gate_responding(status, document).client())
            if result.is_err():
                self.assertIsInstance(result.unwrap_err(), Failure)
