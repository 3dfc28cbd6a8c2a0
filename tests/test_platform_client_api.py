"""Tests of the HTTP interfaces for job clients and for probes."""

import dataclasses
import json
import unittest
from typing import Any
from unittest import mock

import httpx
import msgspec
from pollengate.workflow.job_service import (
    Accepted,
    Cancelled,
    Found,
    JobResponse,
    JobService,
    NoSuchJob,
    NotAccepted,
    Undecided,
    UnknownKey,
    WaitingCount,
)
from pollengate.workflow.model import Demand, Queue, Step, Workflow
from pollengate.workflow.progress import JobState
from pollengate_platform import client_api
from pollengate_platform.client_api import create_client_app, create_probe_app, decode_workflow
from result import Err, Ok, Result

from tests.utils import request_app
from tests.workflow_builders import build_deployment

JOB = "5c0e7a21d94b36f8"
BODY = json.dumps({"spec": "x", "steps": [{"count": 1}]})


class StubJobService(JobService):
    """Returns the same response to all requests and records them."""

    def __init__(
        self, job_response: JobResponse, has_configuration: bool = True, key: str = ""
    ) -> None:
        self._job_response = job_response
        self._has_configuration = has_configuration
        self._key = key
        self.calls: list[tuple[str, ...]] = []

    def authenticate(self, queue: Queue, key: bytes) -> Result[str, UnknownKey]:
        """Accepts the key given to the constructor; its account is `a`."""
        return Ok("a") if key == self._key.encode() else Err(UnknownKey("unknown"))

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Finds a queue of the test deployment."""
        return build_deployment().find_queue(host, path)

    def has_configuration(self) -> bool:
        """Returns the value given to the constructor."""
        return self._has_configuration

    async def submit(
        self, queue: Queue, job_id: str, workflow: Workflow, account: str
    ) -> JobResponse:
        """Records a submission."""
        self.calls.append(("submit", job_id, account))
        return self._job_response

    async def show(self, queue: Queue, job_id: str, account: str) -> JobResponse:
        """Records a status request."""
        self.calls.append(("show", job_id, account))
        return self._job_response

    async def cancel(self, queue: Queue, job_id: str, account: str) -> JobResponse:
        """Records a cancellation."""
        self.calls.append(("cancel", job_id, account))
        return self._job_response

    async def count_waiting(self, queue: Queue) -> JobResponse:
        """Records a request for the number of waiting jobs."""
        self.calls.append(("count", queue.name))
        return self._job_response


class ClientApiTest(unittest.TestCase):
    """Routing of requests and encoding of responses."""

    def send(
        self, job_service: StubJobService, method: str, path: str, **options: Any
    ) -> httpx.Response:
        """Sends a request to the queue's host."""
        headers = {"host": "host"} | options.pop("headers", {})
        return request_app(create_client_app(job_service), method, path, headers=headers, **options)

    def test_job_responses_map_to_http_statuses(self) -> None:
        cases: list[tuple[str, JobResponse, int, Any]] = [
            ("POST", Accepted(), 200, {}),
            ("GET", Found(JobState.COMPLETED), 200, {"state": "completed"}),
            ("GET", NoSuchJob(), 410, None),
            ("DELETE", Cancelled(), 200, {}),
            ("DELETE", NoSuchJob(), 410, None),
            ("POST", Undecided("x"), 504, None),
            ("POST", NotAccepted("x", 1.0), 503, None),
            ("POST", NotAccepted("x", 1.0, is_overload=True), 429, None),
        ]
        for method, job_response, status, body in cases:
            with self.subTest(method=method, job_response=job_response):
                options = {"content": BODY} if method == "POST" else {}
                response = self.send(
                    StubJobService(job_response), method, f"/jobs/{JOB}", **options
                )
                self.assertEqual(response.status_code, status)
                if body is not None:
                    self.assertEqual(response.json(), body)

    def test_key_withdrawn_while_the_body_is_sent_is_refused(self) -> None:
        """Guards against a slow upload that keeps a withdrawn key valid."""
        job_service = StubJobService(Accepted())
        answers = [Ok("a"), Err(UnknownKey("unknown"))]
        with mock.patch.object(job_service, "authenticate", side_effect=answers):
            response = self.send(job_service, "POST", f"/jobs/{JOB}", content=BODY)
        self.assertEqual(response.status_code, 401)
        self.assertEqual(job_service.calls, [])

    def test_refusal_has_a_retry_after_header(self) -> None:
        job_service = StubJobService(NotAccepted("no_owner", 2.0))
        response = self.send(job_service, "POST", f"/jobs/{JOB}", content=BODY)
        self.assertEqual(response.headers["retry-after"], "2")

    def test_path_without_a_job_id_counts_waiting_jobs(self) -> None:
        # The trailing slash is part of the queue's prefix, but the framework drops it.
        job_service = StubJobService(WaitingCount(12))
        response = self.send(job_service, "GET", "/jobs/")
        self.assertEqual((response.status_code, response.json()), (200, {"waiting": 12}))
        self.assertEqual(job_service.calls, [("count", "queue")])

    def test_prefix_of_one_slash_counts_and_accepts_jobs(self) -> None:
        # Guards against a 404 for the path "/", which the path parameter does not match.
        queue = dataclasses.replace(build_deployment().queues[0], prefix="/")
        for method, path, answer in (
            ("GET", "/", WaitingCount(3)),
            ("POST", f"/{JOB}", Accepted()),
            ("GET", f"/{JOB}", Found(JobState.QUEUED)),
        ):
            job_service = StubJobService(answer)
            with mock.patch.object(job_service, "find_queue", return_value=queue):
                options = {"content": BODY} if method == "POST" else {}
                response = self.send(job_service, method, path, **options)
            self.assertEqual(response.status_code, 200, (method, path))
            self.assertEqual(1, len(job_service.calls))

    def test_unknown_queues_and_invalid_job_ids_are_not_found(self) -> None:
        job_service = StubJobService(WaitingCount(0))
        self.assertEqual(self.send(job_service, "GET", "/other/").status_code, 404)
        self.assertEqual(self.send(job_service, "GET", "/jobs/not-an-id").status_code, 404)
        self.assertEqual(job_service.calls, [])

    def test_without_a_configuration_nothing_is_accepted(self) -> None:
        job_service = StubJobService(Accepted(), has_configuration=False)
        response = self.send(job_service, "POST", f"/jobs/{JOB}", content=BODY)
        self.assertEqual(response.status_code, 503)
        self.assertEqual(job_service.calls, [])

    def test_invalid_body_is_refused(self) -> None:
        job_service = StubJobService(Accepted())
        response = self.send(job_service, "POST", f"/jobs/{JOB}", content='{"steps":[]}')
        self.assertEqual(response.status_code, 400)
        self.assertEqual(job_service.calls, [])

    def test_odd_body_is_refused_with_400(self) -> None:
        deep = b"[" * 100_000 + b"]" * 100_000
        many = json.dumps({"steps": [{"count": 1}] * 20_000}).encode()
        bodies = {
            "nested": b'{"steps":[{"count":1}],"unknown":' + deep + b"}",
            "huge": b'{"steps":[{"count":' + b"9" * 400 + b"}]}",
            "order": b'{"steps":[{"count":1},{"count":1,"after":[' + b"9" * 400 + b"]}]}",
            "surrogate": b'{"steps":[{"count":1}],"spec":"\\ud800"}',
            "spec larger than a record": json.dumps(
                {"steps": [{"count": 1}], "spec": "x" * 1_048_577}
            ).encode(),
            "steps larger than a record": many,
        }
        for name, body in bodies.items():
            with self.subTest(name=name):
                job_service = StubJobService(Accepted())
                response = self.send(job_service, "POST", f"/jobs/{JOB}", content=body)
                self.assertEqual((400, []), (response.status_code, job_service.calls))

    def test_steps_that_fit_in_no_record_are_not_converted(self) -> None:
        body = json.dumps({"steps": [{"count": 1}] * 40_000}).encode()
        with mock.patch.object(client_api, "_step", side_effect=AssertionError):
            self.assertIn("40000 steps", decode_workflow(body).unwrap_err())

    def test_step_takes_no_less_of_a_record_than_is_assumed(self) -> None:
        flags = {
            field.name: True for field in dataclasses.fields(Step) if field.type in ("bool", bool)
        }
        smallest = Step(count=1, demand=Demand(0, 0, 0), **flags)
        self.assertGreaterEqual(len(msgspec.json.encode(smallest)), client_api.MIN_STEP_BYTES)

    def test_each_request_needs_a_key_and_has_its_account(self) -> None:
        """Guards against a path that needs no key, lost accounts and keys decoded as Latin-1."""
        for method, path in (
            ("POST", JOB),
            ("GET", JOB),
            ("DELETE", JOB),
            ("GET", ""),
            ("GET", "x"),
        ):
            job_service = StubJobService(Accepted(), key="clé")
            for key in ("", "Bearer clé", "clé"):
                headers = {"credential": key.encode()}
                options = {"content": BODY, "headers": headers}
                response = self.send(job_service, method, f"/jobs/{path}", **options)
                self.assertEqual(response.status_code == 401, key != "clé")
                self.assertEqual(response.json() == {"error": "unknown key"}, key != "clé")
            self.assertEqual(
                [call[2:] for call in job_service.calls if call[1] == JOB], [("a",)] * (path == JOB)
            )
        # A client must not give up its key because of a process that can't know it.
        unconfigured = StubJobService(Accepted(), has_configuration=False, key="k")
        self.assertEqual(self.send(unconfigured, "GET", "/jobs/").status_code, 503)
        self.assertEqual(self.send(job_service, "GET", "/other/").status_code, 404)


class ProbeAppTest(unittest.TestCase):
    """Readiness probes and metrics."""

    def test_readiness_status_follows_the_process_and_metrics_do_not(self) -> None:
        for is_ready, status in ((True, 200), (False, 503)):
            app = create_probe_app(lambda ready=is_ready: ready, lambda: b"x 1\n")  # type: ignore
            self.assertEqual(request_app(app, "GET", "/v1/readiness").status_code, status)
            self.assertEqual(request_app(app, "GET", "/metrics").content, b"x 1\n")
