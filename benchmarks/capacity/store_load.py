"""Counts store calls, peer calls and ledger bytes of a simulated system in virtual time."""

import asyncio
import dataclasses

from pollengate.jobs import Resources
from pollengate.memory_store import MemoryStore
from pollengated.owner_directory import OwnerDirectory

from benchmarks.capacity.counting_store import CountingStore, StoreCounts
from benchmarks.capacity.fits import Fit, Point, fit_line
from tests.cluster import ZoneFake
from tests.configuration_nodes import Cluster
from tests.utils import run_virtual

__all__ = ["StoreLoad", "measure_outage", "measure_store_load"]

ZONE_COUNTS = (2, 5, 8)
PROCESS_COUNTS = (2, 4, 8)
FIXED_ZONES = 5
FIXED_PROCESSES_PER_ROLE = 4
MEASUREMENT_S = 60.0
SETTLE_S = 10.0
PATCHES = 6
PATCH_INTERVAL_S = 5.0
START_RATES_PER_S = (10, 30, 90)
CORES_PER_WORKER = 1_000
TASK_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLoad:
    """Calls and bytes per second, except where another unit is named.

    Attributes:
        reads_by_zone: configuration reads against the number of zones, each of 4 gates and 4
            schedulers.
        reads_by_process: configuration reads of 5 zones against the number of gates in each, which
            equals the number of schedulers.
        lease_calls_by_process: renewals of member leases against the number of processes.
        peer_calls_by_process: peer calls that one process makes, against the number of processes
            in its zone.
        outage_peer_calls_by_pair: peer calls of all processes while the store is down, against
            the number of pairs of zones, as each zone calls every gate; each zone has 4 gates
            and 4 schedulers.
        writes_per_patch: store writes for one configuration patch.
        directory_reads: store reads by the owner directory of one gate.
        shard_reads: store reads for one owned shard without tasks.
        shard_lease_calls: lease renewals for one owned shard.
        standby_reads: store reads by one standby of one shard.
        shard_writes_by_start: store writes of one shard against starts per second.
        shard_bytes_by_start: bytes written by one shard against starts per second.
        largest_value: size of the largest value written, in bytes.
    """

    reads_by_zone: Fit
    reads_by_process: Fit
    lease_calls_by_process: Fit
    peer_calls_by_process: Fit
    outage_peer_calls_by_pair: Fit
    writes_per_patch: float
    directory_reads: float
    shard_reads: float
    shard_lease_calls: float
    standby_reads: float
    shard_writes_by_start: Fit
    shard_bytes_by_start: Fit
    largest_value: int


def measure_store_load() -> StoreLoad:
    """Counts all calls; the counts are the same at every run."""
    by_zone = {zones: _idle_calls(zones, FIXED_PROCESSES_PER_ROLE) for zones in ZONE_COUNTS}
    by_process = {count: _idle_calls(FIXED_ZONES, count) for count in PROCESS_COUNTS}
    idle = run_virtual(_count_shard_calls(0, standbys=0))
    standby = run_virtual(_count_shard_calls(0, standbys=1))
    busy = {rate: run_virtual(_count_shard_calls(rate, standbys=0)) for rate in START_RATES_PER_S}
    return StoreLoad(
        reads_by_zone=_fit({z: c["store read"] for z, c in by_zone.items()}),
        reads_by_process=_fit({n: c["store read"] for n, c in by_process.items()}),
        lease_calls_by_process=_fit(
            {n * 2 * FIXED_ZONES: c["store lease"] for n, c in by_process.items()}
        ),
        peer_calls_by_process=_fit(
            {n * 2: c["peer"] / (n * 2 * FIXED_ZONES) for n, c in by_process.items()}
        ),
        outage_peer_calls_by_pair=measure_outage(),
        writes_per_patch=run_virtual(_count_writes_per_patch()),
        directory_reads=run_virtual(_count_directory_reads()) / MEASUREMENT_S,
        shard_reads=idle.reads / MEASUREMENT_S,
        shard_lease_calls=idle.lease_calls / MEASUREMENT_S,
        standby_reads=(standby.reads - idle.reads) / MEASUREMENT_S,
        shard_writes_by_start=_fit({r: c.writes / MEASUREMENT_S for r, c in busy.items()}),
        shard_bytes_by_start=_fit({r: c.written_bytes / MEASUREMENT_S for r, c in busy.items()}),
        largest_value=max(counts.largest_value for counts in busy.values()),
    )


def measure_outage() -> Fit:
    """Returns peer calls per second while the store is down, against pairs of zones."""
    counts = {zones**2: run_virtual(_count_outage_calls(zones)) for zones in ZONE_COUNTS}
    return _fit(counts)


def _fit(values_by_size: dict[int, float]) -> Fit:
    return fit_line([Point(size, value) for size, value in values_by_size.items()])


def _idle_calls(zones: int, processes: int) -> dict[str, float]:
    return run_virtual(_count_idle_calls(zones, processes))


async def _count_idle_calls(zones: int, processes: int) -> dict[str, float]:
    cluster = Cluster(zones=zones, gates=processes, schedulers=processes)
    await cluster.start()
    cluster.network.calls.clear()
    await asyncio.sleep(MEASUREMENT_S)
    calls = {kind: count / MEASUREMENT_S for kind, count in cluster.network.calls.items()}
    cluster.stop()
    return calls


async def _count_outage_calls(zones: int) -> float:
    cluster = Cluster(
        zones=zones, gates=FIXED_PROCESSES_PER_ROLE, schedulers=FIXED_PROCESSES_PER_ROLE
    )
    await cluster.start()
    cluster.network.is_store_down = True
    await asyncio.sleep(SETTLE_S)
    cluster.network.calls.clear()
    await asyncio.sleep(MEASUREMENT_S)
    calls = cluster.network.calls["peer"] / MEASUREMENT_S
    cluster.stop()
    return calls


async def _count_writes_per_patch() -> float:
    cluster = Cluster(zones=2, gates=2, schedulers=2)
    await cluster.start()
    before = cluster.network.calls["store write"]
    for number in range(PATCHES):
        patch = {"services": {f"service-{number}": {}}}
        (await cluster.patch("g00", number + 1, patch)).unwrap()
        await asyncio.sleep(PATCH_INTERVAL_S)
    writes = cluster.network.calls["store write"] - before
    cluster.stop()
    return writes / PATCHES


async def _count_directory_reads() -> int:
    store = CountingStore(MemoryStore())
    task = asyncio.create_task(OwnerDirectory(store).run())
    await asyncio.sleep(MEASUREMENT_S)
    task.cancel()
    return store.counts.reads


async def _count_shard_calls(rate: int, standbys: int) -> StoreCounts:
    store = CountingStore(MemoryStore())
    zone = ZoneFake(store, workers=4, cores=CORES_PER_WORKER, memory_mb=CORES_PER_WORKER * 1000)
    for _ in range(1 + standbys):
        zone.start_owner()
    await zone.serving()
    await asyncio.sleep(SETTLE_S)
    store.counts = StoreCounts()
    for second in range(int(MEASUREMENT_S)):
        if rate:
            await zone.submit(
                job_id=f"job-{second}",
                count=rate,
                duration_ms=TASK_MS,
                resources=Resources(1, 100),
            )
        await asyncio.sleep(1.0)
    return store.counts
