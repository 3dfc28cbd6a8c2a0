"""Every configuration fault in every operation, checked by what store, workers and callers see."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from pollengate.membership import Role
from pollengate.refusals import Outcome
from result import Err, Ok

from tests.configuration_nodes import Cluster
from tests.network import STORE
from tests.utils import run_virtual

MAX_START_LAG_S = 4.0
FAULT_S = 12.0
# Long enough to renew a lost registration and for all processes to read the last version.
HEALED_S = 8.0
SETTLE_S = 4.0


def _kill(cluster: Cluster, name: str) -> None:
    cluster.kill(name)


def _freeze(cluster: Cluster, name: str) -> None:
    cluster.network.freeze(name)


def _cut_from_store(cluster: Cluster, name: str) -> None:
    cluster.network.cut(name, STORE)


def _cut_from_peers(cluster: Cluster, name: str) -> None:
    for other in cluster.nodes_by_name:
        if other != name:
            cluster.network.cut(name, other)


def _cut_off(cluster: Cluster, name: str) -> None:
    _cut_from_store(cluster, name)
    _cut_from_peers(cluster, name)


def _cut_one_way_out(cluster: Cluster, name: str) -> None:
    cluster.network.cuts |= {(name, other) for other in (STORE, *cluster.nodes_by_name)}


def _cut_one_way_in(cluster: Cluster, name: str) -> None:
    cluster.network.cuts |= {(other, name) for other in (STORE, *cluster.nodes_by_name)}


def _silence_store(cluster: Cluster, name: str) -> None:
    """Loses every reply of the store to one process, as a silent connection does."""
    cluster.network.cuts.add((STORE, name))


def _stop_store(cluster: Cluster, _: str) -> None:
    cluster.network.is_store_down = True


def _slow_store(cluster: Cluster, _: str) -> None:
    cluster.network.store_delay_s = 0.4


def _slow_store_beyond_timeout(cluster: Cluster, _: str) -> None:
    cluster.network.store_delay_s = 1.5


def _lose_reply(cluster: Cluster, name: str) -> None:
    cluster.network.lost_replies.add(name)


def _lose_reply_then_store(cluster: Cluster, name: str) -> None:
    cluster.network.lost_replies.add(name)
    asyncio.get_running_loop().call_later(0.02, _stop_store, cluster, name)


def _delay_write(cluster: Cluster, name: str) -> None:
    cluster.network.late_writes_s[name] = 2.5


def _replace(cluster: Cluster, name: str) -> None:
    node = cluster.nodes_by_name[name]
    cluster.kill(name)
    cluster.add(f"{name}r", node.role, node.zone)


FAULTS: dict[str, Callable[[Cluster, str], None]] = {
    "killed": _kill,
    "frozen and woken": _freeze,
    "cut from store": _cut_from_store,
    "cut from peers": _cut_from_peers,
    "cut off": _cut_off,
    "one-way cut out": _cut_one_way_out,
    "one-way cut in": _cut_one_way_in,
    "store connection silent": _silence_store,
    "store down": _stop_store,
    "store slow": _slow_store,
    "store too slow": _slow_store_beyond_timeout,
    "answer lost": _lose_reply,
    "answer lost, then store down": _lose_reply_then_store,
    "write late": _delay_write,
    "VM replaced": _replace,
}


class FaultCell:
    """One cell: a cluster, the patches sent and their results."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self.test = test
        self.cluster = Cluster(seed=seed)
        self.results: dict[str, Any] = {}
        self._sent: list[asyncio.Task[None]] = []

    def send(self, gate: str, patch: dict[str, Any], version: int | None = None) -> None:
        """Sends a patch that also adds a service named after its idempotency key."""
        key = f"p{len(self._sent)}"
        base = self.cluster.accepted[-1][1] if version is None else version
        marked = {**patch, "services": {key: {}}}

        async def run() -> None:
            if gate in self.cluster.nodes_by_name:
                self.results[key] = await self.cluster.patch(gate, base, marked, key)

        self._sent.append(asyncio.create_task(run()))

    async def heal(self) -> None:
        """Ends all faults and waits until the cluster has recovered."""
        network = self.cluster.network
        network.heal()
        for name in list(network.frozen):
            network.wake(name)
        await asyncio.sleep(HEALED_S)

    def check(self) -> None:
        """Checks all rules against the observations and stops the cluster."""
        self._check_starts()
        self._check_versions()
        self._check_results()
        for task in self._sent:
            task.cancel()
        self.cluster.stop()

    def _check_starts(self) -> None:
        accepted = self.cluster.accepted
        for start in self.cluster.allowed_starts:
            in_service = any(
                start.zone in zones
                for index, (at, _, zones) in enumerate(accepted)
                if at <= start.at and self._replaced_at(index) + MAX_START_LAG_S > start.at
            )
            self.test.assertTrue(in_service, f"{start} after the allowed lag; accepted: {accepted}")

    def _replaced_at(self, index: int) -> float:
        accepted = self.cluster.accepted
        return accepted[index + 1][0] if index + 1 < len(accepted) else float("inf")

    def _check_versions(self) -> None:
        last = self.cluster.accepted[-1][1]
        for name, seen in self.cluster.versions_by_node.items():
            versions = [version for _, version in seen]
            self.test.assertEqual(versions, sorted(versions), name)
            if name in self.cluster.nodes_by_name:
                self.test.assertEqual(versions[-1], last, name)

    def _check_results(self) -> None:
        services = self.cluster.accepted_services
        for key, result in self.results.items():
            if isinstance(result, Ok):
                self.test.assertIn(key, services)
            elif result.err_value.outcome is Outcome.NOT_RUN:
                self.test.assertNotIn(key, services)


async def _patch_at_faulty_gate(cell: FaultCell, inject: Callable[[str], None]) -> None:
    inject("g00")
    cell.send("g00", {})
    await asyncio.sleep(FAULT_S)


async def _take_zone_out(cell: FaultCell, inject: Callable[[str], None]) -> None:
    inject("s10")
    cell.send("g00", {"zones": {"z1": {"in_service": False}}})
    await asyncio.sleep(FAULT_S)


async def _take_zone_out_at_faulty_gate(cell: FaultCell, inject: Callable[[str], None]) -> None:
    cell.send("g00", {"zones": {"z1": {"in_service": False}}})
    await asyncio.sleep(0.008)
    inject("g00")
    await asyncio.sleep(FAULT_S)


async def _bring_zone_in(cell: FaultCell, inject: Callable[[str], None]) -> None:
    cell.send("g01", {"zones": {"z1": {"in_service": False}}})
    await asyncio.sleep(SETTLE_S)
    inject("g00")
    cell.send("g00", {"zones": {"z1": {"in_service": True}}})
    await asyncio.sleep(FAULT_S)


async def _distribute_patch(cell: FaultCell, inject: Callable[[str], None]) -> None:
    cell.send("g00", {})
    await asyncio.sleep(0.05)
    inject("s10")
    await asyncio.sleep(FAULT_S)


async def _start_processes(cell: FaultCell, inject: Callable[[str], None]) -> None:
    inject("g00")
    cell.cluster.add("g12", Role.GATE, "z1")
    cell.cluster.add("s12", Role.SCHEDULER, "z1")
    await asyncio.sleep(SETTLE_S)
    cell.send("g12", {"zones": {"z0": {"in_service": False}}})
    await asyncio.sleep(FAULT_S)


async def _grant_freshness(cell: FaultCell, inject: Callable[[str], None]) -> None:
    for name in cell.cluster.nodes_by_name:
        if name != "g11":
            cell.cluster.network.cut(name, STORE)
    await asyncio.sleep(SETTLE_S)
    inject("g11")
    cell.send("g11", {"zones": {"z0": {"in_service": False}}})
    await asyncio.sleep(FAULT_S)


OPERATIONS = {
    "patch": _patch_at_faulty_gate,
    "zone out": _take_zone_out,
    "zone out, fault at the gate": _take_zone_out_at_faulty_gate,
    "zone in": _bring_zone_in,
    "pass on": _distribute_patch,
    "fresh start": _start_processes,
    "promise": _grant_freshness,
}


class ConfigurationFaultTest(unittest.TestCase):
    """The configuration rules hold under each fault."""

    def run_cell(self, operation: str, fault: str) -> FaultCell:
        """Runs one operation with one fault and checks the rules."""
        cell = FaultCell(self, seed=len(operation) * 100 + len(fault))

        async def main() -> None:
            await cell.cluster.start()
            await OPERATIONS[operation](cell, lambda name: FAULTS[fault](cell.cluster, name))
            await cell.heal()
            healed_at = asyncio.get_running_loop().time()
            self.assertGreater(cell.cluster.allowed_starts_between("z0", 0, healed_at), 0)
            cell.check()

        run_virtual(main())
        return cell

    def run_operation(self, operation: str) -> None:
        """Runs one operation with every fault."""
        for fault in FAULTS:
            with self.subTest(operation=operation, fault=fault):
                self.run_cell(operation, fault)

    def test_patch(self) -> None:
        self.run_operation("patch")

    def test_zone_out(self) -> None:
        self.run_operation("zone out")

    def test_zone_out_at_gate(self) -> None:
        self.run_operation("zone out, fault at the gate")

    def test_zone_in(self) -> None:
        self.run_operation("zone in")

    def test_patch_distribution(self) -> None:
        self.run_operation("pass on")

    def test_fresh_start(self) -> None:
        self.run_operation("fresh start")

    def test_freshness_grant(self) -> None:
        self.run_operation("promise")


class RaceTest(unittest.TestCase):
    """Concurrent patches, retried patches and lost replies."""

    def run_cluster(self, scenario: Callable[[FaultCell], Any]) -> None:
        """Runs a scenario on a started cluster and checks the rules."""
        cell = FaultCell(self, seed=7)

        async def main() -> None:
            await cell.cluster.start()
            await scenario(cell)
            await cell.heal()
            cell.check()

        run_virtual(main())

    def test_one_of_concurrent_patches_is_accepted(self) -> None:
        async def scenario(cell: FaultCell) -> None:
            for gate in ("g00", "g01", "g10", "g11"):
                cell.send(gate, {})
            await asyncio.sleep(2)
            accepted = [a for a in cell.results.values() if isinstance(a, Ok)]
            refused = [a.err_value for a in cell.results.values() if isinstance(a, Err)]
            self.assertEqual(len(accepted), 1)
            self.assertEqual({refusal.reason for refusal in refused}, {"version_conflict"})
            self.assertTrue(all("current version is 2" in refusal.detail for refusal in refused))

        self.run_cluster(scenario)

    def test_retry_returns_the_first_result_at_any_gate_after_an_hour(self) -> None:
        async def scenario(cell: FaultCell) -> None:
            first = await cell.cluster.patch("g00", 1, {"services": {"a": {}}}, "k")
            await cell.cluster.patch("g00", 2, {"services": {"b": {}}}, "other")
            await asyncio.sleep(3600)
            second = await cell.cluster.patch("g11", 1, {"services": {"a": {}}}, "k")
            self.assertEqual(first.unwrap(), second.unwrap())
            changed = await cell.cluster.patch("g11", 1, {"services": {"c": {}}}, "k")
            self.assertEqual(changed.unwrap_err().reason, "idempotency_conflict")

        self.run_cluster(scenario)

    def test_unknown_patch_is_resolved_once_the_store_replies(self) -> None:
        async def scenario(cell: FaultCell) -> None:
            cell.cluster.network.lost_replies.add("g00")
            asyncio.get_running_loop().call_later(0.02, _stop_store, cell.cluster, "")
            result = await cell.cluster.patch("g00", 1, {"services": {"a": {}}}, "k")
            self.assertEqual(result.unwrap_err().outcome, Outcome.UNKNOWN)
            cell.cluster.network.heal()
            await asyncio.sleep(5)
            found = await cell.cluster.nodes_by_name["g11"].patcher.find("k")
            self.assertEqual(found.unwrap().version, 2)

        self.run_cluster(scenario)

    def test_starts_continue_in_an_outage_but_not_in_a_zone_with_an_unknown_patch(self) -> None:
        async def scenario(cell: FaultCell) -> None:
            cell.cluster.network.lost_replies.add("g00")
            asyncio.get_running_loop().call_later(0.02, _stop_store, cell.cluster, "")
            patch = {"zones": {"z1": {"in_service": False}}}
            await cell.cluster.patch("g00", 1, patch, "k")
            begin = asyncio.get_running_loop().time() + 4
            await asyncio.sleep(60)
            self.assertEqual(cell.cluster.allowed_starts_between("z1", begin, begin + 56), 0)
            self.assertGreater(cell.cluster.allowed_starts_between("z0", begin, begin + 56), 500)

        self.run_cluster(scenario)

    def test_gate_started_in_an_outage_uses_the_highest_version(self) -> None:
        async def scenario(cell: FaultCell) -> None:
            cell.cluster.network.is_store_down = True
            node = cell.cluster.add("g02", Role.GATE, "z0")
            await asyncio.sleep(4)
            self.assertEqual(node.configuration_cache.current.version, 1)
            result = await cell.cluster.patch("g02", 1, {})
            self.assertEqual(result.unwrap_err().reason, "not_admitted")

        self.run_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
