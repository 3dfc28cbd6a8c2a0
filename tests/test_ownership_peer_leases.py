"""Tests of ownership renewed through peers and by peer leases, and of takeovers.

An owner that can't reach the store may renew its lease through a peer, or hold peer leases
instead. A successor must not become the owner before the earlier owner has stopped.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from pollengate.failpoints import NoFailpoints
from pollengate.membership import Role
from pollengate.owner_lease import OwnerLease
from pollengate.ownership import Ownership
from pollengated.peer_guard import PeerGuard

from tests.configuration_nodes import Cluster, Node
from tests.network import STORE
from tests.utils import run_virtual

RENEW_INTERVAL_S = 0.8
SAMPLE_INTERVAL_S = 0.05
TAKEOVER_WAIT_S = 9.0


class Candidate:
    """A scheduler that takes shard 0 of its zone when it is free, and renews it as the owner."""

    def __init__(self, cluster: Cluster, node: Node) -> None:
        self.ownership = Ownership(node.zone, 0)
        self._cluster = cluster
        self._node = node
        guard = PeerGuard(node.store, node.registry, node.peers, node.peer_handler, node.metrics)
        self._lease = OwnerLease(
            node.store, self.ownership, node.name, node.name, NoFailpoints(), guard
        )
        node.tasks.append(asyncio.create_task(self._run()))

    def is_valid(self) -> bool:
        """Whether the process is running and regards itself as the owner."""
        is_alive = self._cluster.nodes_by_name.get(self._node.name) is self._node
        return is_alive and self.ownership.is_valid(asyncio.get_running_loop().time())

    async def _run(self) -> None:
        while True:
            if await self._lease.acquire() is not None:
                while self.is_valid():
                    await self._lease.renew()
                    await asyncio.sleep(RENEW_INTERVAL_S)
                self.ownership.drop()
            await asyncio.sleep(RENEW_INTERVAL_S)


class Zone:
    """The candidates of one zone, with periodic samples of which regard themselves as the owner."""

    def __init__(self, schedulers: int) -> None:
        self.cluster = Cluster(zones=2, gates=1, schedulers=schedulers)
        self.candidates_by_name: dict[str, Candidate] = {}
        self.samples: list[tuple[float, tuple[str, ...]]] = []

    async def start(self) -> None:
        """Starts the cluster and the candidates of zone z0; the first of them takes the shard."""
        await self.cluster.start()
        for name in sorted(self.cluster.nodes_by_name):
            if name.startswith("s0"):
                self.add_candidate(name)
                await asyncio.sleep(1)
        self._sampling = asyncio.create_task(self._sample())
        await asyncio.sleep(5)

    def add_candidate(self, name: str) -> None:
        """Makes a scheduler a candidate for the shard."""
        self.candidates_by_name[name] = Candidate(self.cluster, self.cluster.nodes_by_name[name])

    def owners(self, begin: float) -> list[str]:
        """Returns the successive owners since loop time `begin`, "" for a period without one."""
        names = [",".join(owners) for at, owners in self.samples if at >= begin]
        return [name for i, name in enumerate(names) if i == 0 or names[i - 1] != name]

    def stop(self) -> None:
        """Stops the samples and the cluster."""
        self._sampling.cancel()
        self.cluster.stop()

    async def _sample(self) -> None:
        while True:
            held = tuple(name for name, c in self.candidates_by_name.items() if c.is_valid())
            self.samples.append((asyncio.get_running_loop().time(), held))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class OwnershipPeerLeaseTest(unittest.TestCase):
    """At most one owner at any time, and no gap in ownership where none is needed."""

    def run_zone(self, schedulers: int, scenario: Callable[[Zone], Awaitable[None]]) -> None:
        """Runs a scenario and checks that there was at most one owner in every sample."""

        async def main() -> None:
            zone = Zone(schedulers)
            await zone.start()
            self.assertEqual(zone.owners(14), ["s00"])
            await scenario(zone)
            for at, owners in zone.samples:
                self.assertLessEqual(len(owners), 1, at)
            zone.stop()

        run_virtual(main())

    def test_owner_remains_during_a_store_outage(self) -> None:
        async def scenario(zone: Zone) -> None:
            zone.cluster.network.is_store_down = True
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(600)
            self.assertEqual(zone.owners(begin), ["s00"])

        self.run_zone(2, scenario)

    def test_only_scheduler_of_a_zone_remains_owner_during_a_store_outage(self) -> None:
        async def scenario(zone: Zone) -> None:
            zone.cluster.network.is_store_down = True
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(600)
            self.assertEqual(zone.owners(begin), ["s00"])

        self.run_zone(1, scenario)

    def test_owner_without_store_connection_renews_through_a_peer(self) -> None:
        async def scenario(zone: Zone) -> None:
            zone.cluster.network.cut("s00", STORE)
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(60)
            self.assertEqual(zone.owners(begin), ["s00"])

        self.run_zone(2, scenario)

    def test_standby_takes_over_from_a_killed_owner(self) -> None:
        async def scenario(zone: Zone) -> None:
            zone.cluster.kill("s00")
            await asyncio.sleep(2 * SAMPLE_INTERVAL_S)
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(TAKEOVER_WAIT_S)
            self.assertEqual(zone.owners(begin), ["", "s01"])

        self.run_zone(2, scenario)

    def test_isolated_owner_stops_before_its_successor_starts(self) -> None:
        async def scenario(zone: Zone) -> None:
            for other in (STORE, *zone.cluster.nodes_by_name):
                zone.cluster.network.cut("s00", other)
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(TAKEOVER_WAIT_S)
            self.assertEqual(zone.owners(begin), ["s00", "", "s01"])

        self.run_zone(2, scenario)

    def test_candidate_added_after_isolation_waits_for_the_owner_to_stop(self) -> None:
        async def scenario(zone: Zone) -> None:
            network = zone.cluster.network
            for name in ("g00", "g10", "s10", "s11", "s01", STORE):
                network.cut("s00", name)
            zone.cluster.add("s02", Role.SCHEDULER, "z0")
            network.cut("s00", "s02")
            await asyncio.sleep(1)
            zone.add_candidate("s02")
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(30)
            self.assertEqual(zone.owners(begin)[:2], ["s00", ""])

        self.run_zone(2, scenario)

    def test_frozen_owner_is_not_the_owner_when_it_resumes(self) -> None:
        async def scenario(zone: Zone) -> None:
            zone.cluster.network.freeze("s00")
            await asyncio.sleep(TAKEOVER_WAIT_S)
            begin = asyncio.get_running_loop().time()
            zone.cluster.network.wake("s00")
            await asyncio.sleep(10)
            self.assertEqual(zone.owners(begin), ["s01"])

        self.run_zone(2, scenario)

    def test_standby_killed_during_an_outage_ends_the_peer_leases(self) -> None:
        async def scenario(zone: Zone) -> None:
            zone.cluster.network.is_store_down = True
            await asyncio.sleep(10)
            zone.cluster.kill("s01")
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(10)
            self.assertEqual(zone.owners(begin), ["s00", ""])
            zone.cluster.network.heal()
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(TAKEOVER_WAIT_S)
            self.assertEqual(zone.owners(begin), ["", "s00"])

        self.run_zone(2, scenario)


if __name__ == "__main__":
    unittest.main()
