"""Measures the memory of a shard owner's tables with tracemalloc."""

import dataclasses
import gc
import tracemalloc
from collections.abc import Callable

from pollengate.jobs import Resources
from pollengate.shard import Shard
from pollengate.shard_policy import shard_policy_builders
from pollengate.worker import Heartbeat, OrderReply, ReportState, TaskReport

from benchmarks.capacity.fits import Fit, Point, fit_line
from tests.utils import build_spec, build_worker

__all__ = ["MemoryUse", "measure_memory"]

WORKER_COUNTS = (50, 100, 200)
QUEUED_COUNTS = (2_000, 4_000, 8_000)
RUNNING_COUNTS = (500, 1_000, 2_000)
TASKS_PER_JOB = 100
CORES_PER_WORKER = 64


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryUse:
    """Bytes of a shard's tables as a function of their size.

    Attributes:
        by_worker: bytes against the number of workers.
        by_queued: bytes against the number of queued tasks.
        by_running: bytes against the number of running tasks.
    """

    by_worker: Fit
    by_queued: Fit
    by_running: Fit


def measure_memory() -> MemoryUse:
    """Measures the bytes of one shard's tables under the policies that learn from reports."""
    return MemoryUse(
        by_worker=_fit(WORKER_COUNTS, _build_shard_with_workers),
        by_queued=_fit(QUEUED_COUNTS, _build_shard_with_queued_tasks),
        by_running=_fit(RUNNING_COUNTS, _build_shard_with_running_tasks),
    )


def _fit(sizes: tuple[int, ...], build: Callable[[int], Shard]) -> Fit:
    return fit_line([Point(size, _measure_bytes(build, size)) for size in sizes])


def _measure_bytes(build: Callable[[int], Shard], size: int) -> int:
    build(1)
    gc.collect()
    tracemalloc.start()
    shard = build(size)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del shard
    return used


def _build_shard_with_workers(count: int) -> Shard:
    policies = shard_policy_builders("a", 0, lambda: 0.0)
    shard = Shard(policies.build_placement(), policies.build_queue(), 1)
    worker_ids = [f"worker-{number:04}" for number in range(count)]
    machines = [
        build_worker(worker_id, cores=CORES_PER_WORKER, memory_mb=CORES_PER_WORKER * 4_000)
        for worker_id in worker_ids
    ]
    shard.apply_vm_listing(machines, 0.0)
    for worker_id in worker_ids:
        shard.attach(worker_id, shard.workers.next_session(worker_id), (), 0.0)
        shard.heartbeat(Heartbeat(worker_id, 1, (), session=1, number=1), 0.0)
    shard.workers.mark_recorded(worker_ids)
    return shard


def _build_shard_with_queued_tasks(count: int) -> Shard:
    shard = _build_shard_with_workers(1)
    for number in range(count // TASKS_PER_JOB):
        resources = Resources(CORES_PER_WORKER + 1, 1)
        shard.accept(build_spec(f"job-{number}", count=TASKS_PER_JOB, resources=resources))
    return shard


def _build_shard_with_running_tasks(count: int) -> Shard:
    shard = _build_shard_with_workers(-(-count // CORES_PER_WORKER))
    for number in range(count // TASKS_PER_JOB):
        shard.accept(build_spec(f"job-{number}", count=TASKS_PER_JOB, resources=Resources(1, 100)))
    while plans := shard.plan_starts(200):
        for plan in plans:
            shard.apply_start_replies([OrderReply(order.ref, True) for order in plan.orders])
            reports = tuple(TaskReport(o.ref, ReportState.RUNNING) for o in plan.orders)
            del reports
    return shard
