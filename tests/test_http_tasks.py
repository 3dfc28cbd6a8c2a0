"""Tests of the routes for batch tasks: malformed requests do not reach a scheduler."""

import json
import unittest
from typing import Any

import httpx
from hypothesis import given, settings
from hypothesis import strategies as st
from pollengate.jobs import JobSpec
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate_net.messages import scheduler_pb2 as pb
from pollengate_net.scheduler_messages import job_from_message, job_to_message
from pollengated.http_server import create_app
from pollengated.http_tasks import task_router
from pollengated.metrics import Metrics
from result import Err, Ok, Result

from tests.utils import build_settings, request_app

BODY = {"team": "league", "cores": 2, "memory_mb": 500}


class JobRouterFake:
    """Records submitted jobs, or refuses every submission."""

    def __init__(self, refusal: Refusal | None = None) -> None:
        self.specs_by_id: dict[str, JobSpec] = {}
        self._refusal = refusal

    async def submit(self, spec: JobSpec) -> Result[pb.JobReply, Refusal]:
        if self._refusal is not None:
            return Err(self._refusal)
        is_new = spec.job_id not in self.specs_by_id
        self.specs_by_id[spec.job_id] = spec
        return Ok(pb.JobReply(status=_status(spec), created=is_new))

    async def show(self, job_id: str) -> Result[pb.JobReply, Refusal]:
        if job_id not in self.specs_by_id:
            return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, "unknown"))
        return Ok(pb.JobReply(status=_status(self.specs_by_id[job_id])))

    async def cancel(self, job_id: str) -> Result[pb.JobReply, Refusal]:
        return await self.show(job_id)

    async def list_jobs(self) -> list[pb.JobStatus]:
        return [_status(spec) for spec in self.specs_by_id.values()]


def _status(spec: JobSpec) -> pb.JobStatus:
    return pb.JobStatus(job=job_to_message(spec), zone="a", state="queued")


class HttpTasksTest(unittest.TestCase):
    """Calls the routes without sockets."""

    def setUp(self) -> None:
        self.jobs = JobRouterFake()

    def request(self, method: str, path: str, **options: Any) -> httpx.Response:
        metrics = Metrics()
        router = task_router(self.jobs, metrics)  # type: ignore[arg-type]
        app = create_app([router], build_settings(), metrics)
        return request_app(app, method, path, **options)

    def assert_invalid(self, response: httpx.Response, *fields: str) -> None:
        self.assertEqual(422, response.status_code, response.text)
        document = response.json()
        self.assertEqual(("not_run", "invalid_request"), (document["outcome"], document["reason"]))
        self.assertEqual(set(fields), {entry["field"] for entry in document["fields"]})
        self.assertEqual({}, self.jobs.specs_by_id)

    def test_first_submission_returns_201_and_a_repeated_one_200(self) -> None:
        self.assertEqual(201, self.request("PUT", "/tasks/t-1", json=BODY).status_code)
        response = self.request("PUT", "/tasks/t-1", json=BODY)
        self.assertEqual(200, response.status_code)
        self.assertEqual(("t-1", "queued"), (response.json()["task_id"], response.json()["state"]))

    def test_show_list_and_cancel(self) -> None:
        self.request("PUT", "/tasks/t-1", json=BODY)
        self.assertEqual("t-1", self.request("GET", "/tasks/t-1").json()["task_id"])
        self.assertEqual("t-1", self.request("DELETE", "/tasks/t-1").json()["task_id"])
        self.assertEqual(
            ["t-1"], [task["task_id"] for task in self.request("GET", "/tasks").json()]
        )

    def test_all_invalid_fields_are_listed(self) -> None:
        body = {"cores": 0, "memory_mb": "much", "colour": "red"}
        response = self.request("PUT", "/tasks/t-1", json=body)
        self.assert_invalid(response, "team", "cores", "memory_mb", "colour")

    def test_body_that_is_not_a_json_object_is_refused(self) -> None:
        for body in (b"", b"{", b"[]", b"3", b"\xff", b'"x"', b"null"):
            with self.subTest(body=body):
                self.assert_invalid(self.request("PUT", "/tasks/t-1", content=body), "body")

    def test_invalid_task_ids_are_refused(self) -> None:
        for task_id in ("a b", "-a", "a" * 129, "%C3%A9", "a%2Fb", "a%00", "..x", "a%0A"):
            for method in ("PUT", "GET", "DELETE"):
                with self.subTest(task_id=task_id, method=method):
                    response = self.request(method, f"/tasks/{task_id}", json=BODY)
                    if response.status_code == 404:
                        self.assertIn("%2F", task_id)
                    else:
                        self.assert_invalid(response, "task_id")

    def test_refusal_of_a_scheduler_is_returned_to_the_caller(self) -> None:
        self.jobs = JobRouterFake(Refusal(Outcome.UNKNOWN, Reason.NO_OWNER, "lost", 1.5))
        response = self.request("PUT", "/tasks/t-1", json=BODY)
        self.assertEqual((503, "2"), (response.status_code, response.headers["retry-after"]))
        self.assertEqual("unknown", response.json()["outcome"])

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([*BODY, "accelerators", "count", "duration_ms", "urgent", "other"]),
            st.integers(-5, 2**70) | st.booleans() | st.none() | st.text(max_size=4) | st.floats(),
        )
    )
    def test_any_object_is_either_submitted_completely_or_refused(
        self, body: dict[str, Any]
    ) -> None:
        self.jobs = JobRouterFake()
        response = self.request("PUT", "/tasks/t-1", content=json.dumps(BODY | body))
        if response.status_code == 201:
            spec = self.jobs.specs_by_id["t-1"]
            self.assertEqual(spec, job_from_message(job_to_message(spec)))
        else:
            self.assertEqual(422, response.status_code, response.text)
            self.assertEqual({}, self.jobs.specs_by_id)
