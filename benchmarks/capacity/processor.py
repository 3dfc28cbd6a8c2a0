"""Measures processor time and memory of real processes on the loopback interface."""

import asyncio
import dataclasses
import subprocess

from pollengate.jobs import JobSpec, Resources

from benchmarks.capacity.fits import Fit, Point, fit_line
from benchmarks.zone_host import (
    BIN,
    HOST,
    SchedulerProcess,
    ZoneHost,
    cpu_seconds,
    free_address,
    memory_mb,
)

__all__ = ["ProcessorUse", "measure_processor"]

WORKER_COUNTS = (10, 30, 60)
START_RATES_PER_S = (20, 50, 90)
BUSY_OWNER_WORKERS = 30
CORES_PER_WORKER = 64
TASK_MS = 500
SETTLE_S = 5.0
MEASUREMENT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessorUse:
    """Processor time as a share of one core, and resident memory in MB.

    Attributes:
        owner_by_worker: processor time of an owner against its number of workers, each of which
            sends two heartbeats per second.
        owner_by_start: processor time of an owner of 30 workers against starts per second.
        owner_memory_mb: memory of an owner of 30 workers.
        standby: processor time of a standby scheduler.
        gate: processor time of a gate that gets no requests.
        gate_memory_mb: memory of a gate that gets no requests.
    """

    owner_by_worker: Fit
    owner_by_start: Fit
    owner_memory_mb: float
    standby: float
    gate: float
    gate_memory_mb: float


def measure_processor() -> ProcessorUse:
    """Measures one deployment after the other, each of real processes."""
    return asyncio.run(_measure())


async def _measure() -> ProcessorUse:
    by_worker = {count: await _measure_idle_owner(count) for count in WORKER_COUNTS}
    by_start = {rate: await _measure_busy_owner(rate) for rate in START_RATES_PER_S}
    standby, gate, gate_memory_mb = await _measure_standby_and_gate()
    return ProcessorUse(
        owner_by_worker=_fit({n: share for n, (share, _) in by_worker.items()}),
        owner_by_start=_fit(by_start),
        owner_memory_mb=by_worker[BUSY_OWNER_WORKERS][1],
        standby=standby,
        gate=gate,
        gate_memory_mb=gate_memory_mb,
    )


def _fit(values_by_size: dict[int, float]) -> Fit:
    return fit_line([Point(size, value) for size, value in values_by_size.items()])


async def _measure_core_share(process_id: int) -> float:
    before = cpu_seconds(process_id)
    await asyncio.sleep(MEASUREMENT_S)
    return (cpu_seconds(process_id) - before) / MEASUREMENT_S


async def _start_zone(workers: int) -> tuple[ZoneHost, int]:
    zone = ZoneHost(workers, CORES_PER_WORKER)
    await zone.start()
    zone.start_scheduler()
    process_id = (await zone.owner_process()).process.pid
    await asyncio.sleep(SETTLE_S)
    return zone, process_id


async def _measure_idle_owner(workers: int) -> tuple[float, float]:
    zone, process_id = await _start_zone(workers)
    share = await _measure_core_share(process_id)
    used_mb = memory_mb(process_id)
    await zone.stop()
    return share, used_mb


async def _measure_busy_owner(rate: int) -> float:
    zone, process_id = await _start_zone(BUSY_OWNER_WORKERS)
    submitting = asyncio.create_task(_submit_jobs(zone, rate))
    await asyncio.sleep(SETTLE_S)
    share = await _measure_core_share(process_id)
    submitting.cancel()
    await zone.stop()
    return share


async def _submit_jobs(zone: ZoneHost, rate: int) -> None:
    loop = asyncio.get_running_loop()
    next_at = loop.time()
    number = 0
    while True:
        number += 1
        resources = Resources(1, 1000)
        spec = JobSpec(f"feed-{number}", "team", "feed", resources, rate, TASK_MS)
        await zone.submit(spec)
        next_at += 1.0
        await asyncio.sleep(max(0.0, next_at - loop.time()))


async def _measure_standby_and_gate() -> tuple[float, float, float]:
    zone, _ = await _start_zone(BUSY_OWNER_WORKERS)
    standby_id = zone.start_scheduler().process.pid
    gate_id = _start_gate(zone)
    await asyncio.sleep(SETTLE_S)
    standby, gate = await asyncio.gather(
        _measure_core_share(standby_id), _measure_core_share(gate_id)
    )
    gate_memory_mb = memory_mb(gate_id)
    await zone.stop()
    return standby, gate, gate_memory_mb


def _start_gate(zone: ZoneHost) -> int:
    settings = zone.write_settings("gate", free_address())
    command = [str(BIN / "pollengated"), "gate", "--settings", str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    zone.schedulers.append(SchedulerProcess(process, f"{HOST}:0"))
    return process.pid
