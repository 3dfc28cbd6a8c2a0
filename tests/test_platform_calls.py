"""Tests of calls to the platform: requests sent and responses decoded."""

import asyncio
import json
import unittest
from collections.abc import Callable, Mapping
from typing import Any

from pollengate.store import FailureKind, Put, Unchanged
from pollengate.workflow.clients import EndKind, OrderRejection, RenewOrder, StartOrder
from pollengate_platform.advice import HttpAdviceClient
from pollengate_platform.http import HttpClient, HttpFailure, HttpResponse
from pollengate_platform.kv_store import KvStore
from pollengate_platform.workers import HttpWorkerClient
from result import Err, Ok, Result

from scripts.local_run import free_addresses
from tests.utils import run_virtual


class ScriptedHttpClient(HttpClient):
    """Returns scripted responses and records the calls."""

    def __init__(self, *responses: HttpResponse | HttpFailure) -> None:
        self._responses = list(responses)
        self.calls: list[tuple[str, str, Any, dict[str, str]]] = []
        self.timeouts_s: list[float] = []

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        is_bulk: bool = False,
        max_bytes: int | None = None,
        on_part: Callable[[], None] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Records the call and returns the next scripted response."""
        sent = None if body is None else json.loads(body)
        self.calls.append((method, url, sent, dict(headers or {})))
        self.timeouts_s.append(timeout_s)
        http_response = self._responses.pop(0)
        return Err(http_response) if isinstance(http_response, HttpFailure) else Ok(http_response)


def http_response(status: int, body: Any = None) -> HttpResponse:
    """Returns a response with a JSON body, or an empty one for None."""
    return HttpResponse(status, b"" if body is None else json.dumps(body).encode())


ITEM = {"key": "k", "value": "dg==", "revision": 4, "created": 3, "lease": 9}


class KvStoreTest(unittest.TestCase):
    """Client of the key-value store."""

    def test_get_returns_an_entry_or_none(self) -> None:
        http_client = ScriptedHttpClient(
            http_response(200, ITEM | {"currentRev": 7}), http_response(404)
        )
        store = KvStore("ip:1", http_client)
        entry = run_virtual(store.get("a/b")).unwrap()
        assert entry is not None
        self.assertEqual((entry.value, entry.revision, entry.created_revision), (b"v", 4, 3))
        self.assertIsNone(run_virtual(store.get("a/b")).unwrap())
        self.assertEqual(http_client.calls[0][1], "http://ip:1/v1/kv-key?key=a%2Fb")

    def test_list_reads_all_pages_and_keeps_the_first_revision(self) -> None:
        second = ITEM | {"key": "l"}
        http_client = ScriptedHttpClient(
            http_response(200, {"items": [ITEM], "truncated": True, "currentRev": 7}),
            http_response(200, {"items": [second], "truncated": False, "currentRev": 9}),
        )
        listing = run_virtual(KvStore("ip:1", http_client).list("")).unwrap()
        self.assertEqual([entry.key for entry in listing.entries], ["k", "l"])
        self.assertEqual(listing.revision, 7)
        self.assertIn("after=k", http_client.calls[1][1])

    def test_only_a_stale_listing_allows_any_replica_to_reply(self) -> None:
        # Guards against takeovers that load old records, and against costly reads for hints.
        page = {"items": [ITEM], "truncated": False, "currentRev": 7}
        http_client = ScriptedHttpClient(http_response(200, page), http_response(200, page))
        store = KvStore("ip:1", http_client)
        self.assertEqual(run_virtual(store.list("p")), run_virtual(store.list_stale("p")))
        self.assertEqual(["allowStale=1" in call[1] for call in http_client.calls], [False, True])

    def test_failed_page_does_not_make_a_listing_start_anew(self) -> None:
        first = http_response(200, {"items": [ITEM], "truncated": True, "currentRev": 7})
        last = http_response(200, {"items": [ITEM | {"key": "l"}], "currentRev": 9})
        http_client = ScriptedHttpClient(
            first, HttpFailure(True, "reset"), http_response(503), last
        )
        listing = run_virtual(KvStore("ip:1", http_client).list("")).unwrap()
        self.assertEqual([entry.key for entry in listing.entries], ["k", "l"])
        self.assertEqual(listing.revision, 7)
        self.assertEqual(len({url for _, url, *_ in http_client.calls[1:]}), 1)

    def test_listing_fails_if_a_page_fails_repeatedly_or_is_the_first(self) -> None:
        first = http_response(200, {"items": [ITEM], "truncated": True, "currentRev": 7})
        for replies in ([http_response(503)], [first, *[http_response(503)] * 3]):
            http_client = ScriptedHttpClient(*replies)
            failure = run_virtual(KvStore("ip:1", http_client).list("")).unwrap_err()
            self.assertIs(failure.kind, FailureKind.REJECTED)
            self.assertEqual(len(http_client.calls), len(replies))

    def test_transaction_has_time_to_be_sent_over_a_slow_link(self) -> None:
        http_client = ScriptedHttpClient(*[http_response(200, {"revision": 12})] * 2)
        store = KvStore("ip:1", http_client)
        values = (b"v" * 5_000, b"v" * 25_000)
        for value in values:
            puts = [Put(f"k{number}", value) for number in range(29)]
            run_virtual(store.commit((), puts)).unwrap()
        sent_bytes = [29 * 4 / 3 * len(value) for value in values]
        link_bits_per_s = 2_000_000
        longer_s = http_client.timeouts_s[1] - http_client.timeouts_s[0]
        self.assertGreater(longer_s, 8 * (sent_bytes[1] - sent_bytes[0]) / link_bits_per_s)

    def test_changes_report_writes_deletions_and_lost_history(self) -> None:
        events = [ITEM, {"key": "old", "revision": 5, "deleted": True}]
        http_client = ScriptedHttpClient(
            http_response(200, {"events": events, "currentRev": 8}), http_response(410)
        )
        store = KvStore("ip:1", http_client)
        changes = run_virtual(store.changes("", 3, 2.0)).unwrap()
        self.assertEqual([event.entry is None for event in changes.events], [False, True])
        self.assertEqual(changes.revision, 8)
        failure = run_virtual(store.changes("", 3, 2.0)).unwrap_err()
        self.assertIs(failure.kind, FailureKind.HISTORY_GONE)

    def test_commit_reports_success_conflict_lost_lease_and_unknown_effect(self) -> None:
        http_client = ScriptedHttpClient(
            http_response(200, {"revision": 12}),
            http_response(412, {"items": [ITEM]}),
            http_response(404),
            http_response(503),
            HttpFailure(True, "reset"),
            HttpFailure(False, "refused"),
        )
        store = KvStore("ip:1", http_client)

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
            http_client.calls[0][2],
            {
                "expect": [{"key": "k", "revision": 3}],
                "puts": [{"key": "k", "value": "dg==", "lease": 9}],
                "remove": [],
            },
        )

    def test_leases_are_granted_renewed_and_revoked(self) -> None:
        http_client = ScriptedHttpClient(
            http_response(200, {"lease": 5, "ttlMs": 2500}),
            http_response(200, {"ttlMs": 2500}),
            http_response(404),
            http_response(404),
        )
        store = KvStore("ip:1", http_client)
        self.assertEqual(run_virtual(store.grant_lease(2.5)).unwrap(), 5)
        self.assertEqual(run_virtual(store.renew_lease(5)).unwrap(), 2.5)
        self.assertEqual(run_virtual(store.renew_lease(5)).unwrap(), 0.0)
        self.assertIsNone(run_virtual(store.revoke_lease(5)).unwrap())

    def test_malformed_response_leaves_the_effect_unknown(self) -> None:
        store = KvStore("ip:1", ScriptedHttpClient(HttpResponse(200, b"<html>")))
        failure = run_virtual(store.commit((), ())).unwrap_err()
        self.assertIs(failure.kind, FailureKind.UNKNOWN)


class WorkerClientTest(unittest.TestCase):
    """Orders to workers and their reports."""

    def start(self, reply: HttpResponse | HttpFailure) -> Any:
        """Sends a start order and returns the result and the call."""
        http_client = ScriptedHttpClient(reply)
        order = StartOrder("aa.0.0.0", 2, "payload", 486_000, 7, "saved", "ticket")
        result = run_virtual(HttpWorkerClient(http_client).start("ip:2", "w0", order))
        return result, http_client.calls[0]

    def test_start_sends_the_worker_id_and_all_fields(self) -> None:
        result, call = self.start(http_response(200, {"clockMs": 482_113}))
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

    def test_rejections_by_status_and_reason(self) -> None:
        cases: list[tuple[HttpResponse | HttpFailure, OrderRejection]] = [
            (http_response(409, {"clockMs": 1, "reason": "fence"}), OrderRejection.FENCED),
            (http_response(409, {"clockMs": 1, "reason": "old"}), OrderRejection.OLD_RUN),
            (http_response(409, {"clockMs": 1, "reason": "late"}), OrderRejection.TOO_LATE),
            (http_response(409, {"clockMs": 1, "reason": "room"}), OrderRejection.NO_ROOM),
            (http_response(409, {"clockMs": 1, "reason": "ticket"}), OrderRejection.NO_TICKET),
            (http_response(409, {"clockMs": 1, "reason": "new word"}), OrderRejection.NO_ANSWER),
            (http_response(421), OrderRejection.OTHER_INCARNATION),
            (http_response(429), OrderRejection.UNHEALTHY),
            (http_response(503), OrderRejection.UNHEALTHY),
            (http_response(400), OrderRejection.INVALID),
            (http_response(500), OrderRejection.NO_ANSWER),
            (HttpFailure(True, "timeout"), OrderRejection.NO_ANSWER),
            (HttpFailure(False, "refused"), OrderRejection.NOT_SENT),
        ]
        for reply, kind in cases:
            with self.subTest(kind=kind, reply=reply):
                result, _ = self.start(reply)
                self.assertIs(result.unwrap_err().kind, kind)

    def test_report_of_a_renewal(self) -> None:
        body = {
            "clockMs": 10,
            "born": 99,
            "running": [["aa.0.1.17", 2, "c1", 41, 37], ["aa.0.1.18", 1, "", 0]],
            "ended": [[58, "aa.0.1.9", 1, "broken", ""], [59, "aa.0.1.8", 1, "alone", "c"]],
        }
        http_client = ScriptedHttpClient(http_response(200, body))
        order = RenewOrder(7, 57, 486_000, 1000)
        report = run_virtual(HttpWorkerClient(http_client).renew("ip:2", "w0", order)).unwrap()
        self.assertEqual((report.worker_clock_ms, report.born_ms), (10, 99))
        self.assertEqual(report.running[0].measurement, 37.0)
        self.assertEqual(report.running[1].percent, 0.0)
        self.assertIs(report.ended[0].how, EndKind.MEMBER_LOST)
        self.assertIs(report.ended[1].how, EndKind.UNACCOMPANIED)
        sent = {"fencingToken": 7, "ackedUpto": 57, "untilMs": 486_000, "waitMs": 1000}
        self.assertEqual(http_client.calls[0][2], sent)

    def test_report_with_a_malformed_row_is_a_failure(self) -> None:
        body = {"clockMs": 10, "ended": [[58, "aa.0.1.9", 1, "vanished", ""]]}
        http_client = ScriptedHttpClient(http_response(200, body))
        result = run_virtual(HttpWorkerClient(http_client).renew("ip:2", "w0", RenewOrder(7, 0)))
        self.assertIs(result.unwrap_err().kind, OrderRejection.NO_ANSWER)

    def test_report_with_an_odd_value_is_a_failure(self) -> None:
        task = "aa.0.1.9"
        huge = int("9" * 400)
        row = [task, 1, "", 5.0, 1.0]
        deep = "[" * 100_000 + "]" * 100_000
        bodies: list[dict[str, Any]] = [
            {"clockMs": huge},
            {"clockMs": -5},
            {"born": huge},
            {"running": [[task, 1, "", huge]]},
            {"running": [row[:4] + [huge]]},
            {"running": [row[:3] + ["nan"]]},
            {"running": [[task, huge, *row[2:]]]},
            {"running": [[task, -1, *row[2:]]]},
            {"running": [[None, *row[1:]]]},
            {"running": [row[:2]]},
            {"running": [{"task": task}]},
            {"running": ["@"]},
            {"running": [["@", *row[1:]]]},
            {"ended": [[huge, task, 1, "done", ""]]},
            {"ended": [["1", task, 1, "done", ""]]},
            {"ended": [[1, task, 1, ["done"], ""]]},
            {"ended": [[1, task, 1, "done"]]},
            {"odd": "@"},
        ]
        for body in bodies:
            with self.subTest(body=str(body)[:60]):
                content = json.dumps({"clockMs": 10} | body).replace('"@"', deep).encode()
                client = HttpWorkerClient(ScriptedHttpClient(HttpResponse(200, content)))
                result = run_virtual(client.renew("ip:2", "w0", RenewOrder(7, 0)))
                self.assertIs(result.unwrap_err().kind, OrderRejection.NO_ANSWER)


class AdviceTest(unittest.TestCase):
    """Client of the advice service."""

    def test_tickets_by_worker(self) -> None:
        http_client = ScriptedHttpClient(
            http_response(200, {"good": [["w0", "t0"]], "validMs": 3000})
        )
        client = HttpAdviceClient("ip:3", http_client)
        (ticket,) = run_virtual(client.advise("aa.0.0", ["w0", "w1"])).unwrap()
        self.assertEqual((ticket.worker_id, ticket.value), ("w0", "t0"))
        self.assertEqual(http_client.calls[0][2], {"step": "aa.0.0", "workers": ["w0", "w1"]})


class HttpClientTest(unittest.TestCase):
    """The HTTP client against servers on the loopback interface."""

    def call(self, serve: Any, timeout_s: float = 5.0) -> Result[HttpResponse, HttpFailure]:
        """Calls a server that handles each connection with `serve`."""

        async def main() -> Result[HttpResponse, HttpFailure]:
            handlers: list[asyncio.Task[None]] = []

            def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                handlers.append(asyncio.create_task(serve(reader, writer)))

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            http_client = HttpClient()
            result = await http_client.call("POST", f"http://127.0.0.1:{port}/x", timeout_s, b"{}")
            await http_client.close()
            await asyncio.gather(*handlers)
            server.close()
            return result

        return asyncio.run(main())

    def test_response_with_its_body(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")

        self.assertEqual(self.call(serve).unwrap(), HttpResponse(409, b"{}"))

    def test_request_may_have_arrived_if_the_connection_ends_without_a_response(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        self.assertTrue(self.call(serve).unwrap_err().was_sent)

    def test_connection_without_a_response_times_out(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        self.assertTrue(self.call(serve, timeout_s=0.05).unwrap_err().was_sent)

    def read_slowly(self, body: Any, call: Any, stalls_after: int = 10) -> Any:
        """Makes a call whose response arrives in ten parts, the last of them after 3 s.

        Args:
            body: the response body.
            call: makes the call, with an HTTP client and the address of the server.
            stalls_after: number of parts after which nothing more arrives.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            encoded = json.dumps(body).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(encoded))
            size = -(-len(encoded) // 10)
            for part in range(stalls_after):
                await asyncio.sleep(0.3)
                writer.write(encoded[part * size : (part + 1) * size])
            await reader.read()
            writer.close()

        async def main() -> Any:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            http_client = HttpClient()
            result = await call(http_client, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            await http_client.close()
            server.close()
            return result

        return run_virtual(main())

    def test_reads_that_take_longer_than_the_timeout_succeed_while_parts_arrive(self) -> None:
        item = ITEM | {"currentRev": 7}
        entry = self.read_slowly(item, lambda client, address: KvStore(address, client).get("k"))
        self.assertEqual(entry.unwrap().value, b"v")
        page = {"items": [ITEM], "currentRev": 7}
        listing = self.read_slowly(page, lambda client, address: KvStore(address, client).list(""))
        self.assertEqual(len(listing.unwrap().entries), 1)
        events = {"events": [ITEM], "currentRev": 8}
        changes = self.read_slowly(
            events, lambda client, address: KvStore(address, client).changes("", 7, 0.5)
        )
        self.assertEqual(len(changes.unwrap().events), 1)
        report = {"clockMs": 10, "ended": [[58, "aa.0.1.9", 1, "done", ""]]}
        renewal = self.read_slowly(
            report,
            lambda client, address: HttpWorkerClient(client).renew(address, "w0", RenewOrder(7, 0)),
        )
        self.assertEqual(len(renewal.unwrap().ended), 1)

    def test_read_fails_when_no_further_part_arrives(self) -> None:
        page = {"items": [ITEM], "currentRev": 7}
        listing = self.read_slowly(
            page, lambda client, address: KvStore(address, client).list(""), stalls_after=5
        )
        self.assertIs(listing.unwrap_err().kind, FailureKind.UNKNOWN)

    def test_request_is_not_sent_if_the_connection_is_refused(self) -> None:
        async def main() -> Result[HttpResponse, HttpFailure]:
            http_client = HttpClient()
            (address,) = free_addresses(1)
            result = await http_client.call("GET", f"http://{address}/", 5.0)
            await http_client.close()
            return result

        self.assertFalse(asyncio.run(main()).unwrap_err().was_sent)

    def test_connections_to_an_address_are_counted_but_not_reused_ones(self) -> None:
        # An order over a new connection may reach another incarnation of a worker.
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            writer.close()

        async def main() -> list[int | None]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            http_client = HttpClient()
            counts = [http_client.opened_connections(address)]
            for _ in range(3):
                await http_client.call("GET", f"http://{address}/x", 5.0)
                counts.append(http_client.opened_connections(address))
            await http_client.close()
            server.close()
            return counts

        self.assertEqual(asyncio.run(main()), [None, 1, 1, 2])

    def test_call_that_cannot_be_made_is_a_failure(self) -> None:
        async def call(url: str, headers: dict[str, str]) -> Result[HttpResponse, HttpFailure]:
            connections: list[asyncio.Task[None]] = []

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                writer.close()
                await writer.wait_closed()

            def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                connections.append(asyncio.create_task(serve(reader, writer)))

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            http_client = HttpClient()
            result = await http_client.call("GET", url.format(port=port), 5.0, None, headers)
            await http_client.close()
            await asyncio.gather(*connections)
            server.close()
            return result

        for url, header in (
            ("http://127.0.0.1:{port}/", "a\nb"),
            ("http://127.0.0.1:{port}/", "a\x00b"),
            (f"http://{'a' * 64}.b:{{port}}/", "a"),
            ("http://127.0.0.1:99999/", "a"),
        ):
            with self.subTest(url=url, header=header):
                result = asyncio.run(call(url, {"Expect-Instance": header}))
                self.assertTrue(result.is_err())
