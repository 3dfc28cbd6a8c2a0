"""Tests of the operators' keys that a process gets from its peers, on virtual time."""

import asyncio
import json
import socket
import unittest
from unittest import mock

from grpclib.server import Server
from pollengate.memory_store import MemoryStore
from pollengate.store import Entry
from pollengate.workflow.keys import member_key
from pollengate_net.calls import CallFailure
from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.peer_view import ANY_CHANGE, PeerView
from pollengated.edge.peer_view_fetcher import (
    MAX_RECEIVING_S,
    PEERS_PER_FETCH,
    PeerViewFetcher,
)
from pollengated.edge.rpc import VIEW_TIMEOUT_S, EdgeClient, EdgeService
from result import Err, Ok, Result

from tests.utils import run_virtual

OLD_REVISION = 10
NEW_REVISION = 20


class ScriptedPeers(EdgeClient):
    """Peers of which one has the newest copy, one does not reply and all others are cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_copies: list[str] = []
        self.asked = 0

    async def fetch_view(
        self, address: str, known_change: int = 0
    ) -> Result[PeerView, CallFailure]:
        """Returns the copy of a peer, without entries if it is not newer than is known."""
        if address == "n1:1":
            await asyncio.sleep(VIEW_TIMEOUT_S)
            return Err(CallFailure(True, "timeout"))
        is_current = address == "n2:1"
        revision = NEW_REVISION if is_current else OLD_REVISION
        # Each write of any key raises the revision of the store.
        self.asked += 1
        if revision <= known_change:
            return Ok(PeerView((), revision + self.asked, revision))
        self.sent_copies.append(address)
        tenants = [{"name": "a", "apiKeys": [f"key-{revision}"]}]
        document = json.dumps({"version": revision, "tenants": tenants}).encode()
        entries = [Entry("op/config", document, revision, 1)]
        if is_current:
            entries.append(Entry("op/evacuate/z", b"{}", revision, revision))
        return Ok(PeerView(tuple(entries), revision + self.asked, revision))


class PeerViewFetcherTest(unittest.TestCase):
    """Tests of a process that the store turns away."""

    def start_fetcher(self) -> tuple[OperatorView, asyncio.Task[None]]:
        """Starts a fetcher that asks all peers; returns the view that it updates and its task."""
        clocks = Clocks.of_loop()
        view = OperatorView(MemoryStore(), clocks)
        directory = NodeDirectory(MemoryStore(), clocks)
        members = [NodeRecord(f"n{n}", f"n{n}:1", "x") for n in range(PEERS_PER_FETCH + 1)]
        entries = [Entry(member_key(m.node), m.encode(), 1, 1) for m in members]
        directory.cache.replace_if_newer(entries, 1)
        self.peers = ScriptedPeers()
        fetcher = PeerViewFetcher("n0:1", view, directory, self.peers)
        return view, asyncio.create_task(fetcher.run())

    def test_restarted_process_uses_no_zone_that_a_peer_knows_to_be_evacuated(self) -> None:
        async def main() -> None:
            view, fetch_task = self.start_fetcher()
            versions = set()
            for _ in range(100):
                await asyncio.sleep(0.01)
                if view.deployment is not None:
                    versions.add(view.deployment.version)
            fetch_task.cancel()
            self.assertEqual({NEW_REVISION}, versions)
            self.assertEqual({"z"}, view.evacuated_zones)
            # A key that was withdrawn while the process was down must not be valid again.
            assert view.key_ring is not None
            self.assertEqual("a", view.key_ring.find_account(f"key-{NEW_REVISION}".encode()))
            self.assertIsNone(view.key_ring.find_account(f"key-{OLD_REVISION}".encode()))

        run_virtual(main())

    def test_only_the_newest_copy_is_sent_however_many_peers_have_newer_ones(self) -> None:
        """Guards against copies that take the links of many processes at once."""

        async def main() -> None:
            view, fetch_task = self.start_fetcher()
            await asyncio.sleep(20.0)
            fetch_task.cancel()
            self.assertEqual(["n2:1"], self.peers.sent_copies)
            self.assertEqual(NEW_REVISION, view.cache.newest_change)

        run_virtual(main())

    def test_no_peer_is_asked_while_a_response_of_the_store_arrives(self) -> None:
        """Guards against a copy that takes the link on which the store's response arrives."""

        async def main() -> None:
            view, fetch_task = self.start_fetcher()
            view.cache.confirmed_at = 0.0
            loop = asyncio.get_running_loop()
            with mock.patch.object(MemoryStore, "received_at", lambda store, prefix: loop.time()):
                await asyncio.sleep(MAX_RECEIVING_S - 0.1)
                self.assertEqual([], self.peers.sent_copies)
                await asyncio.sleep(1.5)
                self.assertEqual(["n2:1"], self.peers.sent_copies)
            fetch_task.cancel()

        run_virtual(main())

    def test_process_that_loses_the_store_refuses_a_withdrawn_key_within_3_s(self) -> None:
        """Guards against waiting for a silent peer while another has the newest configuration."""

        async def main() -> None:
            view, fetch_task = self.start_fetcher()
            for phase_s in (0.0, 0.1, 0.2, 0.3):
                old = {"version": 1, "tenants": [{"name": "a", "apiKeys": ["old"]}]}
                entry = Entry("op/config", json.dumps(old).encode(), 5, 1)
                await asyncio.sleep(phase_s)
                view.cache.revision = view.cache.newest_change = 0
                view.deployment = None
                view.cache.replace_if_newer([entry], 5)
                view.cache.confirmed_at = asyncio.get_running_loop().time()
                assert view.key_ring is not None
                self.assertEqual(view.key_ring.find_account(b"old"), "a")
                await asyncio.sleep(2.99)
                self.assertIsNone(view.key_ring.find_account(b"old"))
            fetch_task.cancel()

        run_virtual(main())


class ViewCallTest(unittest.TestCase):
    """Tests of the call between processes."""

    def test_copy_is_sent_only_if_it_is_newer_than_what_the_caller_has(self) -> None:
        async def main() -> None:
            clocks = Clocks.of_loop()
            view = OperatorView(MemoryStore(), clocks)
            view.cache.replace_if_newer([Entry("op/config", b"{}", 7, 1)], 9, 7)
            server = Server([EdgeService(OwnedShards(clocks), view)])
            address = f"127.0.0.1:{free_port()}"
            await server.start("127.0.0.1", int(address.rpartition(":")[2]))
            client = EdgeClient()
            counts = []
            for known in (0, 6, 7, ANY_CHANGE):
                found = (await client.fetch_view(address, known)).unwrap()
                counts.append((len(found.entries), found.revision, found.newest_change))
            self.assertEqual([(1, 9, 7), (1, 9, 7), (0, 9, 7), (0, 9, 7)], counts)
            client.close()
            server.close()

        asyncio.run(main())


def free_port() -> int:
    """Returns a free loopback port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


if __name__ == "__main__":
    unittest.main()
