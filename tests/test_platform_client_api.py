"""Tests of the interface for clients of jobs."""

import json
import unittest
from typing import Any

import httpx
from pollengate.workflow.job_service import (
    Accepted,
    Cancelled,
    Found,
    JobResponse,
    JobService,
    NoSuchJob,
    NotAccepted,
    Undecided,
    WaitingCount,
)
from pollengate.workflow.model import Queue, Workflow
from pollengate.workflow.progress import JobState
from pollengate_platform.client_api import create_client_app, create_probe_app

from tests.utils import request_app
from tests.workflow_builders import build_deployment

JOB = "5c0e7a21d94b36f8"
BODY = json.dumps({"spec": "x", "steps": [{"count": 1}]})


class FixedDesk(JobService):
    """Gives one answer to all and keeps what it was asked."""

    def __init__(self, answer: JobResponse, has_configuration: bool = True) -> None:
        self._answer = answer
        self._has_configuration = has_configuration
        self.asked: list[tuple[str, str]] = []

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Finds the queue of the built configuration."""
        return build_deployment().find_queue(host, path)

    def has_configuration(self) -> bool:
        """Tells what it was made with."""
        return self._has_configuration

    async def submit(self, queue: Queue, job_id: str, workflow: Workflow) -> JobResponse:
        """Answers."""
        self.asked.append(("submit", job_id))
        return self._answer

    async def show(self, queue: Queue, job_id: str) -> JobResponse:
        """Answers."""
        self.asked.append(("show", job_id))
        return self._answer

    async def cancel(self, queue: Queue, job_id: str) -> JobResponse:
        """Answers."""
        self.asked.append(("cancel", job_id))
        return self._answer

    async def count_waiting(self, queue: Queue) -> JobResponse:
        """Answers."""
        self.asked.append(("count", queue.name))
        return self._answer


class ClientApiTest(unittest.TestCase):
    """Routes, states and refusals."""

    def ask(self, desk: FixedDesk, method: str, path: str, **options: Any) -> httpx.Response:
        """Sends a request to the queue's host."""
        headers = {"host": "host"}
        return request_app(create_client_app(desk), method, path, headers=headers, **options)

    def test_answers_become_statuses(self) -> None:
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
        for method, answer, status, body in cases:
            with self.subTest(method=method, answer=answer):
                options = {"content": BODY} if method == "POST" else {}
                response = self.ask(FixedDesk(answer), method, f"/jobs/{JOB}", **options)
                self.assertEqual(response.status_code, status)
                if body is not None:
                    self.assertEqual(response.json(), body)

    def test_refusal_says_when_to_come_back(self) -> None:
        desk = FixedDesk(NotAccepted("no_owner", 2.0))
        response = self.ask(desk, "POST", f"/jobs/{JOB}", content=BODY)
        self.assertEqual(response.headers["retry-after"], "2")

    def test_prefix_alone_counts_waiting_jobs(self) -> None:
        # The framework drops the slash at the end of the path, which is part of the prefix.
        desk = FixedDesk(WaitingCount(12))
        response = self.ask(desk, "GET", "/jobs/")
        self.assertEqual((response.status_code, response.json()), (200, {"waiting": 12}))
        self.assertEqual(desk.asked, [("count", "queue")])

    def test_unknown_queues_and_jobs(self) -> None:
        desk = FixedDesk(WaitingCount(0))
        self.assertEqual(self.ask(desk, "GET", "/other/").status_code, 404)
        self.assertEqual(self.ask(desk, "GET", "/jobs/not-an-id").status_code, 404)
        self.assertEqual(desk.asked, [])

    def test_without_a_configuration_nothing_is_accepted(self) -> None:
        desk = FixedDesk(Accepted(), has_configuration=False)
        response = self.ask(desk, "POST", f"/jobs/{JOB}", content=BODY)
        self.assertEqual(response.status_code, 503)
        self.assertEqual(desk.asked, [])

    def test_invalid_body_is_refused(self) -> None:
        desk = FixedDesk(Accepted())
        response = self.ask(desk, "POST", f"/jobs/{JOB}", content='{"steps":[]}')
        self.assertEqual(response.status_code, 400)
        self.assertEqual(desk.asked, [])


class ProbeAppTest(unittest.TestCase):
    """Readiness and metrics."""

    def test_readiness_follows_the_process(self) -> None:
        for is_ready, status in ((True, 200), (False, 503)):
            app = create_probe_app(lambda ready=is_ready: ready, lambda: b"x 1\n")  # type: ignore
            self.assertEqual(request_app(app, "GET", "/v1/readiness").status_code, status)
            self.assertEqual(request_app(app, "GET", "/metrics").content, b"x 1\n")
