"""Measures the start rate, processor time, bytes and store calls of one scheduler process.

    .venv/bin/python -m benchmarks.starts [--workers 30] [--rate 90] [--seconds 20]

With --rate 0 the queue is filled first, which gives the highest rate.
"""

import asyncio

import click
from pollengate.jobs import JobSpec, Resources

from benchmarks.zone_host import ZoneHost, cpu_seconds, memory_mb

WARM_UP_S = 3.0
TASKS_PER_JOB = 200
TASK_MS = 500
FULL_QUEUE_JOBS = 400


async def measure(workers: int, rate: int, seconds: float) -> None:
    """Measures one zone and prints the results."""
    zone = ZoneHost(workers, cores=64)
    await zone.start()
    try:
        await _run(zone, workers, rate, seconds)
    finally:
        await zone.stop()


async def _run(zone: ZoneHost, workers: int, rate: int, seconds: float) -> None:
    zone.start_scheduler()
    process_id = (await zone.owner_process()).process.pid
    await asyncio.sleep(WARM_UP_S)
    submitting = asyncio.create_task(_submit_jobs(zone, rate))
    await asyncio.sleep(WARM_UP_S)
    cpu, starts = cpu_seconds(process_id), len(zone.starts())
    calls, written = zone.store.calls.copy(), zone.store.bytes_written
    order_bytes = sum(model.order_bytes for model in zone.models)
    await asyncio.sleep(seconds)
    started = len(zone.starts()) - starts
    cpu = cpu_seconds(process_id) - cpu
    calls = zone.store.calls - calls
    written = zone.store.bytes_written - written
    order_bytes = sum(model.order_bytes for model in zone.models) - order_bytes
    print(f"workers {workers}, requested {rate or 'unlimited'} starts/s, {seconds:.0f} s")
    print(f"starts/s {started / seconds:.0f}")
    print(
        f"processor {100 * cpu / seconds:.1f} % of a core, {1000 * cpu / started:.2f} ms per start"
    )
    print(f"order bytes per start {order_bytes / started:.0f}")
    per_second = {name: round(count / seconds, 1) for name, count in sorted(calls.items())}
    print(f"store calls/s {sum(calls.values()) / seconds:.1f} {per_second}")
    print(f"store bytes written/s {written / seconds:.0f}")
    print(f"memory {memory_mb(process_id):.0f} MB")
    submitting.cancel()


async def _submit_jobs(zone: ZoneHost, rate: int) -> None:
    if rate == 0:
        for number in range(FULL_QUEUE_JOBS):
            await zone.submit(_job(number, TASKS_PER_JOB))
        return
    number = 0
    while True:
        number += 1
        await zone.submit(_job(number, rate))
        await asyncio.sleep(1.0)


def _job(number: int, count: int) -> JobSpec:
    return JobSpec(f"job-{number}", "bench", "default", Resources(1, 100), count, TASK_MS)


@click.command()
@click.option("--workers", default=30)
@click.option("--rate", default=90, help="Starts per second; 0 for as many as possible.")
@click.option("--seconds", default=20.0)
def main(workers: int, rate: int, seconds: float) -> None:
    """Measures starts of one scheduler process."""
    asyncio.run(measure(workers, rate, seconds))


if __name__ == "__main__":
    main()
