"""Compares strategies to share slots and to admit requests, in virtual time with seeded load.

Run: .venv/bin/python -m benchmarks.requests_policy
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable

from pollengate.memory_backend import MemoryBackendClient
from pollengate.slots import SlotGrant, SlotGrantor, SlotReply, SlotRequest
from pollengate_net.calls import CallFailure
from pollengated import slot_manager
from result import Err, Ok, Result

from benchmarks.fixed_split import FixedSplitProxy
from tests.service_fleet import HOP_LATENCY_S, FleetGate, ServiceFleet, build_request, exponential
from tests.utils import run_virtual

SEED = 11
BACKENDS = 10
GATES = 3
SLOTS_PER_BACKEND = 8
WORK_S = 0.02
CAPACITY_PER_S = BACKENDS * SLOTS_PER_BACKEND / WORK_S
TIMEOUT_MS = 500
LOAD_S = 2.0
SKEWED_SHARES = (0.8, 0.1, 0.1)
EVEN_SHARES = (1 / 3, 1 / 3, 1 / 3)
BURST_S = 0.3
SAMPLE_S = 0.05

GateChooser = Callable[[random.Random, float], int]
FaultInjector = Callable[[ServiceFleet], Awaitable[None]]


def even(generator: random.Random, _: float) -> int:
    """Chooses every gate with the same probability."""
    return generator.choices(range(GATES), EVEN_SHARES)[0]


def skewed(generator: random.Random, _: float) -> int:
    """Chooses the first gate most of the time."""
    return generator.choices(range(GATES), SKEWED_SHARES)[0]


def burst(generator: random.Random, now: float) -> int:
    """Chooses one gate most of the time, the next one after every `BURST_S`."""
    first = generator.choices(range(GATES), SKEWED_SHARES)[0]
    return (first + int(now / BURST_S)) % GATES


async def no_fault(_: ServiceFleet) -> None:
    """Injects no fault."""


async def one_slow(fleet: ServiceFleet) -> None:
    """Makes one backend server ten times slower."""
    fleet.backend("a0").get_duration_s = exponential(WORK_S * 10, SEED)


async def gate_killed(fleet: ServiceFleet) -> None:
    """Kills a gate after a quarter of `LOAD_S`; the load balancer notices at once."""
    await asyncio.sleep(LOAD_S / 4)
    fleet.gates[0].kill()


async def zone_cut(fleet: ServiceFleet) -> None:
    """Cuts zone a off from zone b after half of `LOAD_S`."""
    await asyncio.sleep(LOAD_S / 2)
    for vm in fleet.vms.backends_in("b"):
        del fleet.backends_by_address[vm.address]


async def owner_lost(fleet: ServiceFleet) -> None:
    """Removes the slot grantor for longer than an owner's lease, then starts a successor."""
    del fleet.grantors_by_zone["a"]
    await asyncio.sleep(4.5)
    fleet.grantors_by_zone["a"] = SlotGrantor(asyncio.get_running_loop().time(), is_first=False)


class FixedGate(FleetGate):
    """A gate with a request queue that always gets a fixed share of the slots."""

    async def request_slots(
        self, address: str, request: SlotRequest, zone: str, epoch: int
    ) -> Result[SlotReply, CallFailure]:
        """Grants the fixed share of each backend server."""
        share = SLOTS_PER_BACKEND // GATES
        grants = tuple(SlotGrant(d.backend_id, share, share) for d in request.demands)
        return Ok(SlotReply(request.sequence, 60.0, grants))


@dataclasses.dataclass
class Cell:
    """The results of one run, which is one cell of the comparison.

    Attributes:
        latencies: seconds of each request that was answered.
        refusals: number of refused requests by reason.
        offered: number of requests sent.
        span_s: seconds under load.
        over_slots: requests that a backend server refused because its slots were in use.
        unusable_slot_s: slot-seconds that no running gate was allowed to use.
    """

    latencies: list[float]
    refusals: collections.Counter[str]
    offered: int
    span_s: float
    over_slots: int
    unusable_slot_s: float = 0.0

    def row(self, name: str) -> str:
        """Returns the row of the table whose columns `HEADER` names."""
        ordered = sorted(self.latencies)
        p50, p99, p999 = (
            1000 * ordered[int(len(ordered) * part)] if ordered else float("nan")
            for part in (0.5, 0.99, 0.999)
        )
        refused = sum(self.refusals.values()) / self.offered * 100
        reasons = ", ".join(f"{k} {v}" for k, v in self.refusals.most_common(3)) or "-"
        return (
            f"| {name} | {p50:.0f} | {p99:.0f} | {p999:.0f} | {refused:.1f} | "
            f"{len(ordered) / self.span_s:.0f} | {self.over_slots} | {self.unusable_slot_s:.1f} | "
            f"{reasons} |"
        )


HEADER = (
    "| cell | p50 ms | p99 ms | p99.9 ms | not answered % | answers/s | over slots "
    "| unusable slot-s | reasons |\n|---|---|---|---|---|---|---|---|---|"
)


async def measure(
    strategy: str,
    load: float,
    choose_gate: GateChooser,
    inject_fault: FaultInjector,
    zones: tuple[str, ...],
    load_s: float,
) -> Cell:
    """Runs one cell and returns its results."""
    fleet = ServiceFleet(BACKENDS, GATES, zones, SLOTS_PER_BACKEND)
    if strategy == "pooled":
        fleet = ServiceFleet(BACKENDS, 1, zones, SLOTS_PER_BACKEND)
    slot_manager.RENEW_INTERVAL_S = 2.0 if strategy == "store shares" else 0.2
    await fleet.start(settle_s=0.0)
    if strategy == "fixed split, queued":
        await fleet.stop()
        fleet.gates = [FixedGate(fleet, f"gate-a{number}", "a") for number in range(GATES)]
    await asyncio.sleep(6.0 if strategy == "store shares" else 2.0)
    client = MemoryBackendClient(fleet.backends_by_address, HOP_LATENCY_S)
    baseline_proxies = [
        FixedSplitProxy("a", fleet.vms, client, SLOTS_PER_BACKEND, GATES) for _ in range(GATES)
    ]
    cell = Cell([], collections.Counter(), 0, load_s, 0)
    loop = asyncio.get_running_loop()
    generator = random.Random(SEED)
    entry_hop_s = HOP_LATENCY_S if strategy == "pooled" else 0.0

    async def send(index: int) -> None:
        request = build_request(True, TIMEOUT_MS)
        began_at = loop.time()
        await asyncio.sleep(entry_hop_s)
        if strategy == "baseline":
            result = await baseline_proxies[index].send(request)
        else:
            gate = fleet.gates[0 if strategy == "pooled" else index]
            result = await gate.proxy.send(request)
        await asyncio.sleep(entry_hop_s)
        if isinstance(result, Err):
            cell.refusals[result.err_value.reason.value] += 1
        else:
            cell.latencies.append(loop.time() - began_at)

    async def sample() -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            cell.unusable_slot_s += SAMPLE_S * count_unusable_slots(fleet)

    tasks = [asyncio.create_task(inject_fault(fleet))]
    sampling = asyncio.create_task(sample())
    end = loop.time() + load_s
    while loop.time() < end:
        await asyncio.sleep(generator.expovariate(CAPACITY_PER_S * load))
        index = choose_gate(generator, loop.time())
        if strategy != "pooled" and fleet.gates[index].renewing.done():
            index = 1 + index % (GATES - 1)
        cell.offered += 1
        tasks.append(asyncio.create_task(send(index)))
    sampling.cancel()
    await asyncio.gather(*tasks)
    cell.over_slots = fleet.refused()
    if strategy == "baseline":
        cell.unusable_slot_s = 0.0
    await fleet.stop()
    return cell


def count_unusable_slots(fleet: ServiceFleet) -> int:
    """Returns the number of slots of zone a that no running gate may use."""
    now = asyncio.get_running_loop().time()
    held = 0
    for gate in fleet.gates:
        if not gate.renewing.done():
            for slots in gate.slot_manager.slots("a").slots_by_backend.values():
                held += slots.held if now < slots.expires_at else slots.in_use
    return max(0, len(fleet.vms.backends_in("a")) * SLOTS_PER_BACKEND - held)


def run(
    strategy: str,
    name: str,
    load: float,
    choose_gate: GateChooser = even,
    inject_fault: FaultInjector = no_fault,
    zones: tuple[str, ...] = ("a",),
    load_s: float = LOAD_S,
) -> None:
    """Runs one cell and prints its row."""
    cell = run_virtual(measure(strategy, load, choose_gate, inject_fault, zones, load_s))
    print(cell.row(f"{name}, {strategy}"), flush=True)


def main() -> None:
    """Prints both tables."""
    print("## Ways to share slots, 0.8 of the capacity\n\n" + HEADER)
    for name, choose_gate in (("even", even), ("skewed", skewed), ("burst", burst)):
        for strategy in ("fixed split, queued", "store shares", "pooled", "grants"):
            run(strategy, name, 0.8, choose_gate)
    run("fixed split, queued", "gate killed", 0.6, even, gate_killed, load_s=12.0)
    run("grants", "gate killed", 0.6, even, gate_killed, load_s=12.0)
    run("grants", "owner lost 4.5 s", 0.6, skewed, owner_lost, load_s=8.0)
    print("\n## The request path against the baseline\n\n" + HEADER)
    for load in (0.5, 0.9, 1.0, 1.5, 3.0):
        for name, choose_gate in (("even", even), ("skewed", skewed)):
            for strategy in ("baseline", "grants"):
                run(strategy, f"{name} {load}", load, choose_gate)
    for strategy in ("baseline", "grants"):
        run(strategy, "one slow backend server 0.7", 0.7, even, one_slow)
        run(strategy, "gate killed 0.6", 0.6, even, gate_killed)
        run(strategy, "zone a at 1.3, zone b idle then cut", 1.3, even, zone_cut, ("a", "b"))


if __name__ == "__main__":
    main()
