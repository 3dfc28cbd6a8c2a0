"""Tests of explanations over HTTP at the metrics address, and of `pollengate explain`."""

import asyncio
import json
import unittest
from unittest import mock

import httpx
from click.testing import Result
from pollengate.explain.explainer import JobExplainer
from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.model import Deployment
from pollengate_cli.exit_codes import ExitCode
from pollengate_platform.client_api import create_probe_app
from pollengate_platform.explain_api import create_explain_handler
from pollengated.edge.clocks import Clocks
from pollengated.edge.explain_service import EdgeExplainService

from tests.edge_cluster import EdgeCluster
from tests.test_cli import run
from tests.test_porcelain import FakeGate, gates_failing
from tests.utils import request_app, run_virtual
from tests.workflow_builders import (
    build_deployment,
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    start_all,
)

JOB = "00000000000000aa"
ADDRESS = ("--address", "10.0.0.9:9464")
FILE = ("--file", "-", "--queue", "/jobs/")
BODY = json.dumps({"steps": [{"count": 3, "cpu": 3000, "estimateMs": 9000}]})


class ExplainTestCase(unittest.TestCase):
    """A process that owns shard 0; four of five tasks of a job run on its only worker."""

    def setUp(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.fleet.workers_by_id["w0"].born_ms = 1
        job_table.add(build_job(JOB, build_step(5), build_step(after=(0,))), 0.0, 0)
        start_all(job_table)
        self.term = mock.Mock(shard=0, explainer=JobExplainer(build_planner(job_table)))
        self.term.request_handler.current_refusal.return_value = None
        self.owned_shards = mock.Mock(**{"served_shards.return_value": [0]})
        self.owned_shards.serving_term.side_effect = {0: self.term}.get
        self.view = mock.Mock(deployment=build_deployment(7))
        self.view.cache.age_s.return_value = 0.25
        self.directory = mock.Mock()
        self.directory.owner.return_value.record.node = "n7"
        self.service = EdgeExplainService(
            "n0", self.owned_shards, self.view, self.directory, Clocks(lambda: 1.5, lambda: 0)
        )
        self.service.shards = 1
        handlers = [create_explain_handler(self.service)]
        self.app = create_probe_app(lambda: True, lambda: b"x 1\n", handlers)


class ExplainApiTest(ExplainTestCase):
    """Routes, status codes and bodies."""

    def check(self, status: int, reason: str, method: str, path: str, body: str = BODY) -> str:
        """Asserts a refusal and returns its detail."""
        options = {"content": body} if method == "POST" else {}
        response = request_app(self.app, method, path, **options)
        document = response.json()
        self.assertEqual((response.status_code, document["reason"]), (status, reason))
        self.assertEqual(document["outcome"], "not_run")
        return str(document["detail"])

    def test_job_is_explained_with_the_ages_of_the_facts(self) -> None:
        """Guards against old facts that look like new ones, and against a lost metrics page."""
        response = request_app(self.app, "GET", f"/explain/{JOB}")
        document = response.json()
        self.assertEqual(response.status_code, 200)
        facts = ("shard", "shards", "owner", "is_owner", "configuration_version")
        self.assertEqual([document[name] for name in facts], [0, 1, "n0", True, 7])
        self.assertEqual(document["configuration_age_s"], 0.25)
        self.assertEqual(document["workers"], [{"worker": "w0", "zone": "a", "report_age_s": 1.5}])
        self.assertEqual(document["job"]["steps"][0]["against"], {"no_capacity": 1})
        self.assertEqual(request_app(self.app, "GET", "/metrics").content, b"x 1\n")

    def test_workflow_is_explained_with_the_refusal_it_would_get(self) -> None:
        """Guards against a placement that hides that the job would not be accepted."""
        self.term.request_handler.current_refusal.return_value = NotAccepted("handing_over", 2.0)
        for path in ("/explain/jobs/", "/explain/jobs", f"/explain/jobs/{JOB}?host=host"):
            document = request_app(self.app, "POST", path, content=BODY).json()
            self.assertEqual(document["refusal"], {"reason": "handing_over", "retry_after_s": 2.0})
            self.assertEqual(document["job"]["steps"][0]["place"], 2)

    def test_process_that_is_not_the_owner_names_it(self) -> None:
        """Guards against an explanation from the state of a process that decides nothing."""
        self.service.shards = 2
        self.owned_shards.serving_term.side_effect = {}.get
        for method, path in (("GET", f"/explain/{JOB}"), ("POST", f"/explain/jobs/{JOB}")):
            self.assertIn("n7", self.check(421, "not_owner", method, path))
        self.directory.owner.return_value = None
        self.check(421, "no_owner", "GET", f"/explain/{JOB}")

    def test_refusals(self) -> None:
        """Guards against an error of the operator that looks like one of the process."""
        self.check(404, "unknown_job", "GET", f"/explain/{JOB[:-1]}b")
        self.check(404, "unknown_job", "GET", "/explain/nothing")
        self.check(404, "unknown_queue", "POST", "/explain/other/")
        self.check(404, "unknown_queue", "POST", "/explain/jobs/?host=other")
        self.check(400, "unknown_account", "POST", "/explain/jobs/?account=a")
        detail = self.check(400, "invalid_request", "POST", "/explain/jobs/", '{"steps": []}')
        self.assertEqual(detail, "a job needs a step")
        self.check(400, "invalid_request", "POST", "/explain/jobs/", "{")
        twin = build_deployment(name="twin").queues[0]
        self.view.deployment = Deployment(8, (*build_deployment().queues, twin))
        self.check(400, "ambiguous_queue", "POST", "/explain/jobs/")
        self.view.deployment = None
        self.check(503, "no_configuration", "GET", f"/explain/{JOB}")


class ExplainCommandTest(ExplainTestCase):
    """Requests, output and exit codes of `pollengate explain`."""

    def explain(self, gate: FakeGate, *arguments: str, stdin: str = BODY) -> Result:
        return run(gate, "explain", *ADDRESS, *arguments, stdin=stdin)

    def process(self) -> FakeGate:
        """Returns a gate that responds like the application."""

        def respond(request: httpx.Request) -> httpx.Response:
            path = request.url.raw_path.decode()
            response = request_app(self.app, request.method, path, content=request.content)
            return httpx.Response(response.status_code, content=response.content)

        return FakeGate(respond)

    def test_job_is_shown_as_tables_or_json(self) -> None:
        """Guards against a response of the process that the command can't read."""
        gate = self.process()
        result = self.explain(gate, JOB)
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertEqual(f"http://10.0.0.9:9464/explain/{JOB}", str(gate.requests[0].url))
        lines = [" ".join(line.split()) for line in result.stdout.splitlines()]
        for line in (
            f"job {JOB}, running, queue queue",
            "shard 0 of 1, owner n0; configuration version 7, 0.25 s old",
            "0 0 waiting 5 0 1 1 0 no_capacity - 0 of 1 -",
            "0 1 not_open 1 0 0 - - - - - -",
            "0 0 no_capacity 1",
            "1 workers, the oldest report 1.5 s old, 0 without a report",
        ):
            self.assertIn(line, lines)
        document = request_app(self.app, "GET", f"/explain/{JOB}").json()
        self.assertEqual(document, json.loads(self.explain(gate, JOB, "--json").stdout))

    def test_file_is_sent_to_the_queue(self) -> None:
        """Guards against a file that is explained for another queue, host or account."""
        self.term.request_handler.current_refusal.return_value = NotAccepted("handing_over", 2.0)
        gate = self.process()
        result = self.explain(gate, *FILE, "--host", "host")
        self.assertIn("a submission would be refused: handing_over", result.stdout)
        result = self.explain(gate, *FILE, "--account", "a")
        self.assertIn("(unknown_account, not run)", result.stderr)
        paths = [request.url.raw_path for request in gate.requests]
        self.assertEqual(paths, [b"/explain/jobs/?host=host", b"/explain/jobs/?account=a"])

    def test_wrong_usage_is_not_sent(self) -> None:
        """Guards against a malformed file or address that ends in a traceback."""
        gate = self.process()
        for stdin in ("{", "[]"):
            result = self.explain(gate, *FILE, stdin=stdin)
            self.assertEqual(ExitCode.USAGE, result.exit_code)
            self.assertIn("Invalid value for --file", result.stderr)
        for arguments in ((), (JOB, *FILE), FILE[:2], (JOB, "--account", "a")):
            self.assertEqual(ExitCode.USAGE, self.explain(gate, *arguments).exit_code)
        for address in ("n0", "http://n0:1", "n0:1/x"):
            result = run(gate, "explain", "--address", address, JOB)
            self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertEqual([], gate.requests)

    def test_process_that_does_not_respond_is_unreachable(self) -> None:
        """Guards against the exit code of an unknown effect; explaining has none."""
        for error in (httpx.ConnectError, httpx.ReadTimeout):
            for arguments in ((JOB,), FILE):
                result = self.explain(gates_failing(error), *arguments)
                self.assertEqual(ExitCode.UNREACHABLE, result.exit_code)
                self.assertIn("(no_process, not run)", result.stderr)
                self.assertIn("next: check that --address", result.stderr)
                self.assertNotIn("gate", result.stderr)

    def test_refusals_have_a_hint(self) -> None:
        """Guards against an operator who does not learn which process to ask."""
        self.owned_shards.serving_term.side_effect = {}.get
        result = self.explain(self.process(), JOB)
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn("its owner is n7 (not_owner, not run)", result.stderr)
        self.assertIn("next: repeat with the metrics address of that node", result.stderr)


class TermExplainerTest(unittest.TestCase):
    """The explainer of an ownership term."""

    def test_term_explains_a_running_job(self) -> None:
        """Guards against an explainer that does not see the state of the term it belongs to."""

        async def main() -> None:
            cluster = EdgeCluster(workers=1, duration_s=1000.0)
            await cluster.open(nodes=1)
            await cluster.submit(JOB, build_job().workflow)
            await cluster.wait_for_state(JOB, "running")
            term = await cluster.wait_for_term()
            explained = term.explainer.explain_job(JOB, asyncio.get_running_loop().time())
            assert explained is not None
            self.assertEqual([step.state for step in explained.steps], ["running"])
            self.assertIsNone(term.request_handler.current_refusal())
            await asyncio.sleep(1.0)

        run_virtual(main())
