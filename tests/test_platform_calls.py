"""Tests of the platform's calls: what is sent and how answers are read."""

import asyncio
import json
import unittest
from collections.abc import Mapping
from typing import Any

from pollengate.store import FailureKind, Put, Unchanged
from pollengate.workflow.clients import EndKind, OrderRejection, RenewOrder, StartOrder
from pollengate_platform.advice import HttpAdviceClient
from pollengate_platform.http import HttpAnswer, HttpCaller, HttpFailure
from pollengate_platform.kv_store import KvStore
from pollengate_platform.workers import HttpWorkerClient
from result import Err, Ok, Result

from tests.utils import free_addresses, run_virtual


class ScriptedCaller(HttpCaller):
    """Answers from a script and keeps what was sent."""

    def __init__(self, *answers: HttpAnswer | HttpFailure) -> None:
        self._answers = list(answers)
        self.calls: list[tuple[str, str, Any, dict[str, str]]] = []

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpAnswer, HttpFailure]:
        """Returns the next answer."""
        sent = None if body is None else json.loads(body)
        self.calls.append((method, url, sent, dict(headers or {})))
        answer = self._answers.pop(0)
        return Err(answer) if isinstance(answer, HttpFailure) else Ok(answer)


def answer(status: int, body: Any = None) -> HttpAnswer:
    """Returns an answer with a JSON body."""
    return HttpAnswer(status, b"" if body is None else json.dumps(body).encode())


ITEM = {"key": "k", "value": "dg==", "revision": 4, "created": 3, "lease": 9}


class KvStoreTest(unittest.TestCase):
    """The store."""

    def test_get_reads_an_item_and_absence(self) -> None:
        caller = ScriptedCaller(answer(200, ITEM | {"currentRev": 7}), answer(404))
        store = KvStore("ip:1", caller)
        entry = run_virtual(store.get("a/b")).unwrap()
        assert entry is not None
        self.assertEqual((entry.value, entry.revision, entry.created_revision), (b"v", 4, 3))
        self.assertIsNone(run_virtual(store.get("a/b")).unwrap())
        self.assertEqual(caller.calls[0][1], "http://ip:1/v1/kv-key?key=a%2Fb")

    def test_list_follows_pages_and_keeps_the_first_revision(self) -> None:
        second = ITEM | {"key": "l"}
        caller = ScriptedCaller(
            answer(200, {"items": [ITEM], "truncated": True, "currentRev": 7}),
            answer(200, {"items": [second], "truncated": False, "currentRev": 9}),
        )
        listing = run_virtual(KvStore("ip:1", caller).list("")).unwrap()
        self.assertEqual([entry.key for entry in listing.entries], ["k", "l"])
        self.assertEqual(listing.revision, 7)
        self.assertIn("after=k", caller.calls[1][1])

    def test_changes_tell_writes_deletions_and_lost_history(self) -> None:
        events = [ITEM, {"key": "old", "revision": 5, "deleted": True}]
        caller = ScriptedCaller(answer(200, {"events": events, "currentRev": 8}), answer(410))
        store = KvStore("ip:1", caller)
        changes = run_virtual(store.changes("", 3, 2.0)).unwrap()
        self.assertEqual([event.entry is None for event in changes.events], [False, True])
        self.assertEqual(changes.revision, 8)
        failure = run_virtual(store.changes("", 3, 2.0)).unwrap_err()
        self.assertIs(failure.kind, FailureKind.HISTORY_GONE)

    def test_commit_tells_success_conflict_lost_lease_and_doubt(self) -> None:
        caller = ScriptedCaller(
            answer(200, {"revision": 12}),
            answer(412, {"items": [ITEM]}),
            answer(404),
            answer(503),
            HttpFailure(True, "reset"),
            HttpFailure(False, "refused"),
        )
        store = KvStore("ip:1", caller)

        async def commit() -> Any:
            return await store.commit((Unchanged("k", 3),), (Put("k", b"v", 9),))

        committed = run_virtual(commit()).unwrap()
        self.assertTrue(committed.succeeded)
        self.assertEqual(committed.revision, 12)
        conflict = run_virtual(commit()).unwrap()
        self.assertFalse(conflict.succeeded)
        self.assertEqual(conflict.current[0].revision, 4)
        kinds = [run_virtual(commit()).unwrap_err().kind for _ in range(4)]
        self.assertEqual(
            kinds,
            [
                FailureKind.LEASE_GONE,
                FailureKind.REJECTED,
                FailureKind.UNKNOWN,
                FailureKind.NOT_SENT,
            ],
        )
        self.assertEqual(
            caller.calls[0][2],
            {
                "expect": [{"key": "k", "revision": 3}],
                "puts": [{"key": "k", "value": "dg==", "lease": 9}],
                "remove": [],
            },
        )

    def test_leases(self) -> None:
        caller = ScriptedCaller(
            answer(200, {"lease": 5, "ttlMs": 2500}),
            answer(200, {"ttlMs": 2500}),
            answer(404),
            answer(404),
        )
        store = KvStore("ip:1", caller)
        self.assertEqual(run_virtual(store.grant_lease(2.5)).unwrap(), 5)
        self.assertEqual(run_virtual(store.renew_lease(5)).unwrap(), 2.5)
        self.assertEqual(run_virtual(store.renew_lease(5)).unwrap(), 0.0)
        self.assertIsNone(run_virtual(store.revoke_lease(5)).unwrap())

    def test_unreadable_answer_leaves_the_effect_open(self) -> None:
        store = KvStore("ip:1", ScriptedCaller(HttpAnswer(200, b"<html>")))
        failure = run_virtual(store.commit((), ())).unwrap_err()
        self.assertIs(failure.kind, FailureKind.UNKNOWN)


class WorkerClientTest(unittest.TestCase):
    """Orders to workers."""

    def start(self, reply: HttpAnswer | HttpFailure) -> Any:
        """Sends a start order and returns the result and the call."""
        caller = ScriptedCaller(reply)
        order = StartOrder("aa.0.0.0", 2, "payload", 486_000, 7, "saved", "ticket")
        result = run_virtual(HttpWorkerClient(caller).start("ip:2", "w0", order))
        return result, caller.calls[0]

    def test_start_names_the_worker_and_all_fields(self) -> None:
        result, call = self.start(answer(200, {"clockMs": 482_113}))
        self.assertEqual(result.unwrap(), 482_113)
        self.assertEqual(call[:2], ("POST", "http://ip:2/v1/run-start"))
        self.assertEqual(call[3], {"Expect-Instance": "w0"})
        self.assertEqual(
            call[2],
            {
                "task": "aa.0.0.0",
                "run": 2,
                "spec": "payload",
                "untilMs": 486_000,
                "fencingToken": 7,
                "checkpoint": "saved",
                "ticket": "ticket",
            },
        )

    def test_refusals_by_status_and_reason(self) -> None:
        cases: list[tuple[HttpAnswer | HttpFailure, OrderRejection]] = [
            (answer(409, {"clockMs": 1, "reason": "fence"}), OrderRejection.FENCED),
            (answer(409, {"clockMs": 1, "reason": "old"}), OrderRejection.OLD_RUN),
            (answer(409, {"clockMs": 1, "reason": "late"}), OrderRejection.TOO_LATE),
            (answer(409, {"clockMs": 1, "reason": "room"}), OrderRejection.NO_ROOM),
            (answer(409, {"clockMs": 1, "reason": "ticket"}), OrderRejection.NO_TICKET),
            (answer(409, {"clockMs": 1, "reason": "new word"}), OrderRejection.NO_ANSWER),
            (answer(421), OrderRejection.OTHER_INCARNATION),
            (answer(429), OrderRejection.UNHEALTHY),
            (answer(503), OrderRejection.UNHEALTHY),
            (answer(400), OrderRejection.INVALID),
            (answer(500), OrderRejection.NO_ANSWER),
            (HttpFailure(True, "timeout"), OrderRejection.NO_ANSWER),
            (HttpFailure(False, "refused"), OrderRejection.NOT_SENT),
        ]
        for reply, kind in cases:
            with self.subTest(kind=kind, reply=reply):
                result, _ = self.start(reply)
                self.assertIs(result.unwrap_err().kind, kind)

    def test_report_of_a_hold(self) -> None:
        body = {
            "clockMs": 10,
            "born": 99,
            "running": [["aa.0.1.17", 2, "c1", 41, 37], ["aa.0.1.18", 1, "", 0]],
            "ended": [[58, "aa.0.1.9", 1, "broken", ""], [59, "aa.0.1.8", 1, "alone", "c"]],
        }
        caller = ScriptedCaller(answer(200, body))
        order = RenewOrder(7, 57, 486_000, 1000)
        report = run_virtual(HttpWorkerClient(caller).renew("ip:2", "w0", order)).unwrap()
        self.assertEqual((report.worker_clock_ms, report.born_ms), (10, 99))
        self.assertEqual(report.running[0].measurement, 37.0)
        self.assertEqual(report.running[1].percent, 0.0)
        self.assertIs(report.ended[0].how, EndKind.MEMBER_LOST)
        self.assertIs(report.ended[1].how, EndKind.UNACCOMPANIED)
        sent = {"fencingToken": 7, "ackedUpto": 57, "untilMs": 486_000, "waitMs": 1000}
        self.assertEqual(caller.calls[0][2], sent)

    def test_unreadable_row_is_no_report(self) -> None:
        body = {"clockMs": 10, "ended": [[58, "aa.0.1.9", 1, "vanished", ""]]}
        caller = ScriptedCaller(answer(200, body))
        result = run_virtual(HttpWorkerClient(caller).renew("ip:2", "w0", RenewOrder(7, 0)))
        self.assertIs(result.unwrap_err().kind, OrderRejection.NO_ANSWER)


class AdviceTest(unittest.TestCase):
    """The advice service."""

    def test_tickets_by_worker(self) -> None:
        caller = ScriptedCaller(answer(200, {"good": [["w0", "t0"]], "validMs": 3000}))
        client = HttpAdviceClient("ip:3", caller)
        (ticket,) = run_virtual(client.advise("aa.0.0", ["w0", "w1"])).unwrap()
        self.assertEqual((ticket.worker_id, ticket.value), ("w0", "t0"))
        self.assertEqual(caller.calls[0][2], {"step": "aa.0.0", "workers": ["w0", "w1"]})


class HttpCallerTest(unittest.TestCase):
    """The client itself, on loopback."""

    def call(self, serve: Any, timeout_s: float = 5.0) -> Result[HttpAnswer, HttpFailure]:
        """Calls a server that treats each connection as told."""

        async def main() -> Result[HttpAnswer, HttpFailure]:
            handlers: list[asyncio.Task[None]] = []

            def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                handlers.append(asyncio.create_task(serve(reader, writer)))

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            caller = HttpCaller()
            result = await caller.call("POST", f"http://127.0.0.1:{port}/x", timeout_s, b"{}")
            await caller.close()
            await asyncio.gather(*handlers)
            server.close()
            return result

        return asyncio.run(main())

    def test_answer_with_its_body(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")

        self.assertEqual(self.call(serve).unwrap(), HttpAnswer(409, b"{}"))

    def test_connection_that_ends_without_an_answer_leaves_the_effect_open(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        self.assertTrue(self.call(serve).unwrap_err().was_sent)

    def test_silent_connection_is_given_up(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        self.assertTrue(self.call(serve, timeout_s=0.05).unwrap_err().was_sent)

    def test_refused_connection_was_not_sent(self) -> None:
        async def main() -> Result[HttpAnswer, HttpFailure]:
            caller = HttpCaller()
            (address,) = free_addresses(1)
            result = await caller.call("GET", f"http://{address}/", 5.0)
            await caller.close()
            return result

        self.assertFalse(asyncio.run(main()).unwrap_err().was_sent)
