"""Every configuration fault at every step, judged by what store, workers and callers saw."""

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
# Long enough for a lost registration to be renewed and for all processes to catch up.
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
    """Loses every answer of the store to one process, as a silent connection does."""
    cluster.network.cuts.add((STORE, name))


def _store_down(cluster: Cluster, _: str) -> None:
    cluster.network.is_store_down = True


def _store_slow(cluster: Cluster, _: str) -> None:
    cluster.network.store_delay_s = 0.4


def _store_too_slow(cluster: Cluster, _: str) -> None:
    cluster.network.store_delay_s = 1.5


def _lose_answer(cluster: Cluster, name: str) -> None:
    cluster.network.lost_replies.add(name)


def _lose_answer_then_store(cluster: Cluster, name: str) -> None:
    cluster.network.lost_replies.add(name)
    asyncio.get_running_loop().call_later(0.02, _store_down, cluster, name)


def _write_late(cluster: Cluster, name: str) -> None:
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
    "store down": _store_down,
    "store slow": _store_slow,
    "store too slow": _store_too_slow,
    "answer lost": _lose_answer,
    "answer lost, then store down": _lose_answer_then_store,
    "write late": _write_late,
    "VM replaced": _replace,
}


class FaultCell:
    """One cell: a cluster, the patches sent and their answers."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self.test = test
        self.cluster = Cluster(seed=seed)
        self.answers: dict[str, Any] = {}
        self._sent: list[asyncio.Task[None]] = []

    def send(self, gate: str, patch: dict[str, Any], version: int | None = None) -> None:
        """Sends a patch that also adds a service named by its key."""
        key = f"p{len(self._sent)}"
        base = self.cluster.accepted[-1][1] if version is None else version
        marked = {**patch, "services": {key: {}}}

        async def run() -> None:
            if gate in self.cluster.nodes_by_name:
                self.answers[key] = await self.cluster.patch(gate, base, marked, key)

        self._sent.append(asyncio.create_task(run()))

    async def heal(self) -> None:
        """Ends every fault."""
        network = self.cluster.network
        network.heal()
        for name in list(network.frozen):
            network.wake(name)
        await asyncio.sleep(HEALED_S)

    def check(self) -> None:
        """Checks every rule from what was seen."""
        self._check_starts()
        self._check_versions()
        self._check_answers()
        for task in self._sent:
            task.cancel()
        self.cluster.stop()

    def _check_starts(self) -> None:
        accepted = self.cluster.accepted
        for start in self.cluster.starts:
            in_service = any(
                start.zone in zones
                for index, (at, _, zones) in enumerate(accepted)
                if at <= start.at and self._replaced_at(index) + MAX_START_LAG_S > start.at
            )
            self.test.assertTrue(in_service, f"{start} long after {accepted}")

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

    def _check_answers(self) -> None:
        services = self.cluster.accepted_services
        for key, answer in self.answers.items():
            if isinstance(answer, Ok):
                self.test.assertIn(key, services)
            elif answer.err_value.outcome is Outcome.NOT_RUN:
                self.test.assertNotIn(key, services)


async def _patch(run: FaultCell, inject: Callable[[str], None]) -> None:
    inject("g00")
    run.send("g00", {})
    await asyncio.sleep(FAULT_S)


async def _zone_out(run: FaultCell, inject: Callable[[str], None]) -> None:
    inject("s10")
    run.send("g00", {"zones": {"z1": {"in_service": False}}})
    await asyncio.sleep(FAULT_S)


async def _zone_out_at_gate(run: FaultCell, inject: Callable[[str], None]) -> None:
    run.send("g00", {"zones": {"z1": {"in_service": False}}})
    await asyncio.sleep(0.008)
    inject("g00")
    await asyncio.sleep(FAULT_S)


async def _zone_in(run: FaultCell, inject: Callable[[str], None]) -> None:
    run.send("g01", {"zones": {"z1": {"in_service": False}}})
    await asyncio.sleep(SETTLE_S)
    inject("g00")
    run.send("g00", {"zones": {"z1": {"in_service": True}}})
    await asyncio.sleep(FAULT_S)


async def _pass_on(run: FaultCell, inject: Callable[[str], None]) -> None:
    run.send("g00", {})
    await asyncio.sleep(0.05)
    inject("s10")
    await asyncio.sleep(FAULT_S)


async def _fresh_start(run: FaultCell, inject: Callable[[str], None]) -> None:
    inject("g00")
    run.cluster.add("g12", Role.GATE, "z1")
    run.cluster.add("s12", Role.SCHEDULER, "z1")
    await asyncio.sleep(SETTLE_S)
    run.send("g12", {"zones": {"z0": {"in_service": False}}})
    await asyncio.sleep(FAULT_S)


async def _freshness_grant(run: FaultCell, inject: Callable[[str], None]) -> None:
    for name in run.cluster.nodes_by_name:
        if name != "g11":
            run.cluster.network.cut(name, STORE)
    await asyncio.sleep(SETTLE_S)
    inject("g11")
    run.send("g11", {"zones": {"z0": {"in_service": False}}})
    await asyncio.sleep(FAULT_S)


OPERATIONS = {
    "patch": _patch,
    "zone out": _zone_out,
    "zone out, fault at the gate": _zone_out_at_gate,
    "zone in": _zone_in,
    "pass on": _pass_on,
    "fresh start": _fresh_start,
    "promise": _freshness_grant,
}


class ConfigurationFaultTest(unittest.TestCase):
    """The rules of the configuration under every single fault."""

    def run_cell(self, operation: str, fault: str) -> FaultCell:
        """Runs one cell and checks it."""
        run = FaultCell(self, seed=len(operation) * 100 + len(fault))

        async def main() -> None:
            await run.cluster.start()
            await OPERATIONS[operation](run, lambda name: FAULTS[fault](run.cluster, name))
            await run.heal()
            healed_at = asyncio.get_running_loop().time()
            self.assertGreater(run.cluster.starts_between("z0", 0, healed_at), 0)
            run.check()

        run_virtual(main())
        return run

    def run_operation(self, operation: str) -> None:
        """Runs every fault at one step."""
        for fault in FAULTS:
            with self.subTest(step=operation, fault=fault):
                self.run_cell(operation, fault)

    def test_patch(self) -> None:
        self.run_operation("patch")

    def test_zone_out(self) -> None:
        self.run_operation("zone out")

    def test_zone_out_at_gate(self) -> None:
        self.run_operation("zone out, fault at the gate")

    def test_zone_in(self) -> None:
        self.run_operation("zone in")

    def test_pass_on(self) -> None:
        self.run_operation("pass on")

    def test_fresh_start(self) -> None:
        self.run_operation("fresh start")

    def test_freshness_grant(self) -> None:
        self.run_operation("promise")


class RaceTest(unittest.TestCase):
    """Racing operators, repeated patches and answers that were lost."""

    def run_cluster(self, scenario: Callable[[FaultCell], Any]) -> None:
        """Runs a scenario on a started cluster and checks the rules."""
        run = FaultCell(self, seed=7)

        async def main() -> None:
            await run.cluster.start()
            await scenario(run)
            await run.heal()
            run.check()

        run_virtual(main())

    def test_one_of_racing_patches_wins(self) -> None:
        async def scenario(run: FaultCell) -> None:
            for gate in ("g00", "g01", "g10", "g11"):
                run.send(gate, {})
            await asyncio.sleep(2)
            won = [a for a in run.answers.values() if isinstance(a, Ok)]
            lost = [a.err_value for a in run.answers.values() if isinstance(a, Err)]
            self.assertEqual(len(won), 1)
            self.assertEqual({refusal.reason for refusal in lost}, {"version_conflict"})
            self.assertTrue(all("current version is 2" in refusal.detail for refusal in lost))

        self.run_cluster(scenario)

    def test_retry_gives_the_first_answer_at_any_gate_and_later(self) -> None:
        async def scenario(run: FaultCell) -> None:
            first = await run.cluster.patch("g00", 1, {"services": {"a": {}}}, "k")
            await run.cluster.patch("g00", 2, {"services": {"b": {}}}, "other")
            await asyncio.sleep(3600)
            second = await run.cluster.patch("g11", 1, {"services": {"a": {}}}, "k")
            self.assertEqual(first.unwrap(), second.unwrap())
            changed = await run.cluster.patch("g11", 1, {"services": {"c": {}}}, "k")
            self.assertEqual(changed.unwrap_err().reason, "idempotency_conflict")

        self.run_cluster(scenario)

    def test_unknown_patch_is_resolved_once_the_store_answers(self) -> None:
        async def scenario(run: FaultCell) -> None:
            run.cluster.network.lost_replies.add("g00")
            asyncio.get_running_loop().call_later(0.02, _store_down, run.cluster, "")
            answer = await run.cluster.patch("g00", 1, {"services": {"a": {}}}, "k")
            self.assertEqual(answer.unwrap_err().outcome, Outcome.UNKNOWN)
            run.cluster.network.heal()
            await asyncio.sleep(5)
            found = await run.cluster.nodes_by_name["g11"].patcher.find("k")
            self.assertEqual(found.unwrap().version, 2)

        self.run_cluster(scenario)

    def test_starts_go_on_in_an_outage_and_stop_for_an_unknown_zone_out(self) -> None:
        async def scenario(run: FaultCell) -> None:
            run.cluster.network.lost_replies.add("g00")
            asyncio.get_running_loop().call_later(0.02, _store_down, run.cluster, "")
            patch = {"zones": {"z1": {"in_service": False}}}
            await run.cluster.patch("g00", 1, patch, "k")
            begin = asyncio.get_running_loop().time() + 4
            await asyncio.sleep(60)
            self.assertEqual(run.cluster.starts_between("z1", begin, begin + 56), 0)
            self.assertGreater(run.cluster.starts_between("z0", begin, begin + 56), 500)

        self.run_cluster(scenario)

    def test_process_started_in_an_outage_takes_the_highest_version(self) -> None:
        async def scenario(run: FaultCell) -> None:
            run.cluster.network.is_store_down = True
            node = run.cluster.add("g02", Role.GATE, "z0")
            await asyncio.sleep(4)
            self.assertEqual(node.configuration_cache.current.version, 1)
            answer = await run.cluster.patch("g02", 1, {})
            self.assertEqual(answer.unwrap_err().reason, "not_admitted")

        self.run_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
