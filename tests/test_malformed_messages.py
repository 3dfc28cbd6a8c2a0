"""Malformed messages from outside end neither a loop nor a process.

Each decoder gets arbitrary bytes and valid messages with one part replaced. It returns an outcome;
it raises nothing.
"""

import asyncio
import base64
import json
import unittest
from collections.abc import Callable
from typing import Any

from grpclib.testing import ChannelFor
from hypothesis import given, settings
from hypothesis import strategies as st
from pollengate.accounts.shares_record import decode_shares
from pollengate.memory_store import MemoryStore
from pollengate.store import Changes, Entry, Listing, PolledStore, Put, StoreFailure
from pollengate.workflow.clients import RenewOrder
from pollengate.workflow.keys import assignment_key, capacity_request_key, member_key
from pollengate.workflow.records import decode_job, decode_progress, encode_job, encode_progress
from pollengate.workflow.records import restore as restore_job
from pollengate_net.messages import edge_pb2 as pb
from pollengate_net.messages.edge_grpc import EdgeStub
from pollengate_platform.advice import HttpAdviceClient
from pollengate_platform.client_api import decode_workflow
from pollengate_platform.documents import decode_deployment, decode_worker
from pollengate_platform.http import HttpClient, HttpFailure, HttpResponse
from pollengate_platform.kv_store import KvStore
from pollengate_platform.workers import HttpWorkerClient
from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import decode_commit_number
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.interference_record import decode_estimates
from pollengated.edge.layout import Layout, decode_layout
from pollengated.edge.node_directory import NodeDirectory, decode_node_record
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.recorded_workers import decode_recorded_workers
from pollengated.edge.rpc import EdgeClient, EdgeService
from pollengated.edge.run_lists import decode_run_lists
from pollengated.edge.worker_assignments import WorkerAssignments
from pollengated.http_configuration import decode_merge_patch
from result import Err, Ok, Result

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_job

EXAMPLES = 300
NESTING = 20_000
WORKER = {
    "service": "s",
    "addr": "10.0.0.1:1",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 1, "memMb": 1, "gpu": 0},
    "labels": ["k", "r"],
    "coldMs": 10.5,
    "born": 1,
    "remainingMs": 10.0,
}
DEPLOYMENT = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "prefix": "/",
            "service": "s",
            "timeoutMs": 1,
            "targetLatencyMs": 1.5,
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 1.5,
            "advice": {"decideMs": 1, "eachMs": 1, "validMs": 1},
        }
    ],
    "services": [{"name": "s", "rejectsOverload": True}],
    "limits": {"maxBodyBytes": 1},
}
WORKFLOW = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 1.5, "targetMs": 2.5, "after": []}],
    "firstMs": 1,
    "intervalMs": 1,
    "repeatCount": 1,
}
REPORT = {
    "clockMs": 1,
    "born": 1,
    "running": [["00000000000000aa.0.0.0", 1, "c", 10, 1.5]],
    "ended": [[1, "00000000000000aa.0.0.0", 1, "done", "c"]],
}
PAGE = {
    "currentRev": 3,
    "items": [{"key": "k", "value": "eA==", "revision": 1, "created": 1, "lease": 0}],
    "events": [{"key": "k", "value": "eA==", "revision": 1}],
    "truncated": False,
}

NODE_RECORD = {"node": "n", "address": "10.0.0.1:1", "incarnation": "x", "cores": 1.5}
CAPACITY_REQUEST = {
    "shard": 1,
    "service": "s",
    "required_label": "",
    "demand": {"cpu_millis": 1},
    "workers": 2,
}
RECORD_DECODERS: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "node": (NODE_RECORD, decode_node_record),
    "layout": ({"shards": 2, "shard_by_rack": {"r": 1}}, decode_layout),
    "interference": ({"s": {"f": [1.5, 2.5]}}, decode_estimates),
    "shares": ({"a": {"0": {"part": {"cpu_millis": 1}, "ticket": 1}}}, decode_shares),
    "commit number": ({"tenure": 1, "sequence": 1}, lambda v: Ok(decode_commit_number(v))),
    "workers": ({"w": "10.0.0.1:1"}, lambda value: Ok(decode_recorded_workers(value))),
    "run lists": (
        {"term": 1, "tasks_by_worker_id": {"w": ["00000000000000aa.0.0.0"]}},
        lambda value: Ok(decode_run_lists(value)),
    ),
}

_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**400), 10**4000, -1, 0, 2**53, 2**63, 2**64])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(["10.0.0.1:99999", ":", "a:٣", "\ud800", "=", "!", "A", "AAAAA"])
)
_VALUES = st.recursive(
    _SCALARS,
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=4), children, max_size=3),
    max_leaves=6,
)


def _paths(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all parts of a document."""
    found = [path] if path else []
    items: list[tuple[Any, Any]] = []
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    for key, value in items:
        found += _paths(value, (*path, key))
    return found


def _replace(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    if not path:
        return value
    changed = dict(document) if isinstance(document, dict) else list(document)
    part = changed.get(path[0]) if isinstance(changed, dict) else changed[path[0]]
    changed[path[0]] = _replace(part, path[1:], value)
    return changed


def messages(document: Any) -> st.SearchStrategy[bytes]:
    """Returns arbitrary bytes, and the document with one part replaced, nested or cut off."""
    paths = _paths(document) or [()]
    mutated = st.builds(
        lambda path, value: json.dumps(_replace(document, path, value)).encode(),
        st.sampled_from(paths),
        _VALUES,
    )
    huge_number = st.builds(
        lambda path: json.dumps(_replace(document, path, "@")).replace('"@"', "1e999").encode(),
        st.sampled_from(paths),
    )
    deep = st.builds(
        lambda path, brackets: json.dumps(_replace(document, path, "@"))
        .replace('"@"', f"{brackets[0] * NESTING}1{brackets[1] * NESTING}")
        .encode(),
        st.sampled_from([*paths, ("unknown",)] if isinstance(document, dict) else paths),
        st.sampled_from([("[", "]"), ('{"a":', "}")]),
    )
    encoded = json.dumps(document).encode()
    cut = st.integers(0, len(encoded)).map(lambda length: encoded[:length])
    return st.binary(max_size=40) | mutated | huge_number | deep | cut


class ScriptedHttpClient(HttpClient):
    """Answers every call with the same response."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = HttpResponse(status, body)

    async def call(self, *_: Any, **__: Any) -> Result[HttpResponse, HttpFailure]:
        """Returns the response."""
        return Ok(self._response)


class DecoderTest(unittest.TestCase):
    """Each decoder returns an outcome for any input."""

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(WORKER))
    def test_worker_registration(self, value: bytes) -> None:
        result = decode_worker(Entry("servers/w", value, 1, 1))
        self.assertIsInstance(result, Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(DEPLOYMENT))
    def test_configuration(self, value: bytes) -> None:
        self.assertIsInstance(decode_deployment(value), Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(WORKFLOW))
    def test_submitted_workflow(self, value: bytes) -> None:
        self.assertIsInstance(decode_workflow(value), Ok | Err)

    def test_workflow_that_would_exhaust_the_owner_is_invalid(self) -> None:
        step = {"count": 2, "cpu": 1000}
        self.assertIsInstance(decode_workflow(json.dumps({"steps": [step]}).encode()), Ok)
        for document in (
            {"steps": [step | {"count": 10**9}]},
            {"steps": [step | {"count": 10_000}] * 10},
            {"steps": [step], "repeatCount": 10**9},
            {"steps": [step | {"cpu": -1000}]},
            {"steps": [step | {"memMb": -1}]},
        ):
            with self.subTest(document=str(document)[:60]):
                self.assertIsInstance(decode_workflow(json.dumps(document).encode()), Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(json.loads(encode_job(build_job()))))
    def test_job_record(self, value: bytes) -> None:
        decoded = decode_job(value)
        self.assertIsInstance(decoded, Ok | Err)
        if isinstance(decoded, Ok):
            job = restore_job(decoded.ok_value, None, 0.0).unwrap()
            self.assertGreaterEqual(job.critical_path_ms(), 0)
            job.open_occurrence(0)
            encode_job(job)
            encode_progress(job)

    def test_job_record_that_no_planner_can_rank_is_invalid(self) -> None:
        record = json.loads(encode_job(build_job()))
        for path, value in (
            (("workflow", "steps"), []),
            (("workflow", "steps", 0, "after"), [5]),
            (("workflow", "steps", 0, "count"), -1),
            (("workflow", "steps", 0, "count"), 10**9),
            (("workflow", "steps", 0, "estimate_ms"), 10**400),
        ):
            with self.subTest(path=path):
                changed = json.dumps(_replace(record, path, value)).encode()
                self.assertIsInstance(decode_job(changed), Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.data())
    def test_progress_record(self, data: st.DataObject) -> None:
        job = build_job()
        job.open_occurrence(0).steps[0].tasks[0].failed_runs.add(1)
        stored_job = decode_job(encode_job(job)).unwrap()
        value = data.draw(messages(json.loads(encode_progress(job))))
        progress = decode_progress(value)
        if isinstance(progress, Ok):
            self.assertIsInstance(restore_job(stored_job, progress.ok_value, 0.0), Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.sampled_from(list(RECORD_DECODERS)), st.data())
    def test_record_of_another_process(self, name: str, data: st.DataObject) -> None:
        document, decode = RECORD_DECODERS[name]
        self.assertIsInstance(decode(json.dumps(document).encode()), Ok)
        self.assertIsInstance(decode(data.draw(messages(document))), Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(NODE_RECORD), messages(1), messages(CAPACITY_REQUEST))
    def test_copies_of_records_follow_the_store(
        self, node: bytes, assignment: bytes, request: bytes
    ) -> None:
        clocks = Clocks(lambda: 0.0, lambda: 0)
        metrics = EdgeMetrics()
        directory = NodeDirectory(MemoryStore(), clocks, metrics)
        changed: list[str] = []
        assignments = WorkerAssignments(
            0, Layout(2), MemoryStore(), clocks, changed.extend, metrics
        )
        assignments.load(Listing((), 1))
        self.assertTrue(directory.cache.replace_if_newer([Entry(member_key("n"), node, 2, 2)], 2))
        entries = [
            Entry(assignment_key("w"), assignment, 2, 2),
            Entry(capacity_request_key(1), request, 2, 2),
        ]
        self.assertTrue(assignments.cache.replace_if_newer(entries, 2))
        self.assertEqual(["w"], changed)
        (family,) = metrics.unapplied_entries.collect()
        self.assertEqual([], family.samples)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(REPORT))
    def test_report_of_a_worker(self, body: bytes) -> None:
        client = HttpWorkerClient(ScriptedHttpClient(200, body))
        result = asyncio.run(client.renew("10.0.0.1:1", "w", RenewOrder(1, 0, None, 0)))
        self.assertIsInstance(result, Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages({"zones": {"a": {"drained": True}}}))
    def test_configuration_patch(self, body: bytes) -> None:
        self.assertIsInstance(decode_merge_patch(body), Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages({"good": [["w", "ticket"]]}))
    def test_advice(self, body: bytes) -> None:
        client = HttpAdviceClient("10.0.0.1:1", ScriptedHttpClient(200, body))
        result = asyncio.run(client.advise("00000000000000aa.0.0", ["w"]))
        self.assertIsInstance(result, Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(messages(PAGE), st.sampled_from([200, 404, 410, 412, 500]))
    def test_response_of_the_store(self, body: bytes, status: int) -> None:
        store = KvStore("10.0.0.1:1", ScriptedHttpClient(status, body))
        calls: list[Callable[[], Any]] = [
            lambda: store.get("k"),
            lambda: store.changes("k", 1, 0.0),
            lambda: store.commit((), (Put("k", b"x"),)),
            lambda: store.grant_lease(1.0),
            lambda: store.renew_lease(1),
            lambda: store.revoke_lease(1),
        ]
        for call in calls:
            self.assertIsInstance(asyncio.run(call()), Ok | Err)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.text(max_size=12), st.text(max_size=12))
    def test_reply_of_another_process(self, kind: str, state: str) -> None:
        class ScriptedEdgeClient(EdgeClient):
            async def _call(self, *_: Any) -> Any:
                return Ok(pb.JobReply(kind=kind, state=state))

        for sent_kind in (kind, "found"):
            kind = sent_kind
            asyncio.run(ScriptedEdgeClient().show("a:1", 0, "00000000000000aa", REQUESTER))


class RequestTest(EdgeTestCase):
    """Requests of other processes."""

    def test_malformed_workflow_of_another_process_is_not_accepted(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open(nodes=1)
            node = cluster.serving_node()
            owned_shards = OwnedShards(Clocks.of_loop())
            owned_shards.electors_by_shard[0] = node.elector
            view = OperatorView(MemoryStore(), Clocks.of_loop())
            async with ChannelFor([EdgeService(owned_shards, view)]) as channel:
                misplaced = {"payload": "", "steps": [{"count": 1, "after": [5]}]}
                for workflow in (
                    b"",
                    b"{}",
                    b'{"payload":"","steps":[]}',
                    json.dumps(misplaced).encode(),
                    b"[" * NESTING + b"]" * NESTING,
                ):
                    request = pb.SubmitRequest(
                        shard=0, queue="queue", job_id="00000000000000aa", workflow=workflow
                    )
                    reply = await EdgeStub(channel).Submit(request, timeout=5.0)
                    self.assertEqual("not_accepted", reply.kind)

        run_virtual(main())


class MalformedItemStore(MemoryStore):
    """A store whose watch returns an item that is not Base64, as the adapter decodes it."""

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Polls through the adapter."""
        polled = (await super().changes(prefix, after_revision, wait_s, max_bytes)).unwrap()
        items = [
            {
                "key": event.key,
                "revision": event.revision,
                "value": base64.b64encode(event.entry.value).decode() if event.entry else "",
            }
            for event in polled.events
        ]
        if items:
            items.append({"key": f"{prefix}odd", "revision": polled.revision, "value": "A"})
        body = json.dumps({"currentRev": polled.revision, "events": items}).encode()
        adapter: PolledStore = KvStore("10.0.0.1:1", ScriptedHttpClient(200, body))
        return await adapter.changes(prefix, after_revision, 0.0)


class LoopTest(unittest.TestCase):
    """A loop goes on after a malformed message."""

    def test_configuration_is_applied_after_an_item_that_is_not_base64(self) -> None:
        async def main() -> None:
            store = MalformedItemStore()
            view = OperatorView(store, Clocks.of_loop())
            cache_task = asyncio.create_task(view.cache.run())
            await asyncio.sleep(0.1)
            for version in (1, 2):
                document = json.dumps({"version": version}).encode()
                await store.commit((), (Put("op/config", document),))
                await asyncio.sleep(0.1)
                assert view.deployment is not None
                self.assertEqual(version, view.deployment.version)
            self.assertFalse(cache_task.done())
            cache_task.cancel()

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
