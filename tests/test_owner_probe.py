"""Tests of the heartbeats that tell a process which owners are reachable, on virtual time."""

import asyncio
import unittest
from collections.abc import Callable, Sequence
from typing import Any

from grpclib.testing import ChannelFor
from pollengate.memory_store import MemoryStore
from pollengate.store import Entry
from pollengate.workflow.keys import owner_key
from pollengate_net.calls import CallFailure, receive_stream
from pollengate_net.messages import edge_pb2 as pb
from pollengate_net.messages.edge_grpc import EdgeStub
from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.edge.rpc import HEARTBEAT_INTERVAL_S, EdgeClient, EdgeService

from tests.utils import run_virtual

# A process that is cut off refuses requests and reports that it is not ready within this time.
MAX_DETECTION_S = 1.6
SHARDS = 4


class HeartbeatSender(EdgeClient):
    """Sends the heartbeats of all owners.

    Attributes:
        shards_by_address: the shards that each owner serves; an absent owner is silent.
        subscriptions: the addresses of the streams that were requested.
        messages: number of heartbeats so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.shards_by_address: dict[str, tuple[int, ...]] = {}
        self.subscriptions: list[str] = []
        self.messages = 0

    async def follow_heartbeats(
        self, address: str, on_heartbeat: Callable[[Sequence[int]], None]
    ) -> CallFailure:
        """Sends heartbeats until cancelled."""
        self.subscriptions.append(address)
        while True:
            if address in self.shards_by_address:
                self.messages += 1
                on_heartbeat(self.shards_by_address[address])
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


class OwnerProbeTest(unittest.TestCase):
    """Tests of the detection of owners that are out of reach."""

    def run_with_probe(self, scenario: Any) -> None:
        """Runs a scenario; process n0 owns shards 0 and 1, n1 owns 2 and 3."""

        async def main() -> None:
            clocks = Clocks.of_loop()
            directory = NodeDirectory(MemoryStore(), clocks)
            client = HeartbeatSender()
            client.shards_by_address = {"n0:1": (0, 1), "n1:1": (2, 3)}
            self.set_owners(directory, 5, ["n0", "n0", "n1", "n1"])
            probe = OwnerProbe(SHARDS, OwnedShards(clocks), directory, client, clocks)
            probe_task = asyncio.create_task(probe.run())
            await scenario(directory, client, probe)
            probe_task.cancel()

        run_virtual(main())

    def set_owners(self, directory: NodeDirectory, revision: int, nodes: list[str]) -> None:
        """Makes processes the owners of the shards; an empty name stands for no owner."""
        entries = [
            Entry(owner_key(shard), NodeRecord(node, f"{node}:1", "x").encode(), revision, 1, 6)
            for shard, node in enumerate(nodes)
            if node
        ]
        directory.cache.replace_if_newer(entries, revision)

    def test_messages_grow_with_the_owners_and_not_with_the_shards(self) -> None:
        async def scenario(
            directory: NodeDirectory, client: HeartbeatSender, probe: OwnerProbe
        ) -> None:
            await asyncio.sleep(20.0)
            self.assertEqual(["n0:1", "n1:1"], sorted(client.subscriptions))
            self.assertLessEqual(client.messages, 2 * (20.0 / HEARTBEAT_INTERVAL_S + 1))
            self.assertTrue(probe.are_all_reachable())

        self.run_with_probe(scenario)

    def test_silent_owner_is_unreachable_in_time_and_reachable_again(self) -> None:
        async def scenario(
            directory: NodeDirectory, client: HeartbeatSender, probe: OwnerProbe
        ) -> None:
            await asyncio.sleep(3.0)
            shards = client.shards_by_address.pop("n1:1")
            await asyncio.sleep(MAX_DETECTION_S)
            reachable = [probe.is_reachable(shard) for shard in range(SHARDS)]
            self.assertEqual([True, True, False, False], reachable)
            self.assertFalse(probe.are_all_reachable())
            await asyncio.sleep(5.0)
            self.assertGreater(probe.failing_s(2), 5.0)
            client.shards_by_address["n1:1"] = shards
            await asyncio.sleep(MAX_DETECTION_S)
            self.assertTrue(probe.are_all_reachable())

        self.run_with_probe(scenario)

    def test_owner_that_does_not_serve_its_shard_is_unreachable(self) -> None:
        async def scenario(
            directory: NodeDirectory, client: HeartbeatSender, probe: OwnerProbe
        ) -> None:
            client.shards_by_address["n0:1"] = (1,)
            await asyncio.sleep(MAX_DETECTION_S)
            self.assertFalse(probe.is_reachable(0))
            self.assertTrue(probe.is_reachable(1))

        self.run_with_probe(scenario)

    def test_heartbeats_of_a_former_owner_do_not_count(self) -> None:
        async def scenario(
            directory: NodeDirectory, client: HeartbeatSender, probe: OwnerProbe
        ) -> None:
            self.set_owners(directory, 6, ["n0", "n0", "n2", "n1"])
            await asyncio.sleep(MAX_DETECTION_S)
            self.assertFalse(probe.is_reachable(2))
            client.shards_by_address["n2:1"] = (2,)
            await asyncio.sleep(MAX_DETECTION_S)
            self.assertTrue(probe.are_all_reachable())

        self.run_with_probe(scenario)

    def test_shard_without_an_owner_is_not_unreachable(self) -> None:
        async def scenario(
            directory: NodeDirectory, client: HeartbeatSender, probe: OwnerProbe
        ) -> None:
            client.shards_by_address = {}
            self.set_owners(directory, 6, ["", "", "", ""])
            await asyncio.sleep(30.0)
            self.assertTrue(probe.are_all_reachable())

        self.run_with_probe(scenario)


class HeartbeatServiceTest(unittest.TestCase):
    """Tests of the stream of heartbeats between two processes."""

    def test_heartbeats_arrive_until_the_stream_is_closed(self) -> None:
        async def main() -> None:
            clocks = Clocks.of_loop()
            service = EdgeService(OwnedShards(clocks), OperatorView(MemoryStore(), clocks))
            received: list[list[int]] = []
            async with ChannelFor([service]) as channel:
                following = asyncio.create_task(
                    receive_stream(
                        EdgeStub(channel).Heartbeats,
                        pb.HeartbeatRequest(),
                        lambda heartbeat: received.append(list(heartbeat.shards)),
                    )
                )
                await asyncio.sleep(2.1)
                self.assertEqual([[]] * 6, received)
                following.cancel()
                await asyncio.wait([following])
                await asyncio.sleep(2.1)
                self.assertEqual([[]] * 6, received)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
