"""Measures how long no task starts in a zone after the owner of its shard is stopped or killed.

.venv/bin/python -m benchmarks.takeover [--times 5]
"""

import asyncio
import itertools
import signal
import statistics

import click
from pollengate.jobs import JobSpec, Resources

from benchmarks.zone_host import ZoneHost

SETTLE_S = 4.0
OBSERVE_S = 8.0
TASK_MS = 300
JOBS = 15
TASKS_PER_JOB = 1_000


async def measure(stop_signal: signal.Signals, times: int) -> list[float]:
    """Sends the signal to the owner `times` times.

    Returns:
        For each time, the longest interval between two starts, in seconds.
    """
    zone = ZoneHost(workers=8, cores=8)
    await zone.start()
    try:
        return await _end_owners(zone, stop_signal, times)
    finally:
        await zone.stop()


async def _end_owners(zone: ZoneHost, stop_signal: signal.Signals, times: int) -> list[float]:
    zone.start_scheduler()
    zone.start_scheduler()
    await zone.owner()
    for job in range(JOBS):
        spec = JobSpec(f"job-{job}", "bench", "default", Resources(1, 100), TASKS_PER_JOB, TASK_MS)
        await zone.submit(spec)
    gaps = []
    for _ in range(times):
        await asyncio.sleep(SETTLE_S)
        owner = await zone.owner_process()
        began_at = asyncio.get_running_loop().time()
        owner.signal(stop_signal)
        await asyncio.sleep(OBSERVE_S)
        starts = [at for at in zone.starts() if at >= began_at - 0.5]
        gaps.append(max(after - before for before, after in itertools.pairwise(starts)))
        zone.start_scheduler()
    started = [ref for model in zone.models for ref in model.starts]
    print(f"{stop_signal.name}: started {len(started)}, twice {len(started) - len(set(started))}")
    return gaps


@click.command()
@click.option("--times", default=5)
def main(times: int) -> None:
    """Measures a graceful shutdown (SIGTERM) and a kill (SIGKILL)."""
    for stop_signal in (signal.SIGTERM, signal.SIGKILL):
        gaps = asyncio.run(measure(stop_signal, times))
        listed = ", ".join(f"{gap:.2f}" for gap in gaps)
        print(
            f"{stop_signal.name}: longest time without a start {listed} s, "
            f"median {statistics.median(gaps):.2f} s, most {max(gaps):.2f} s"
        )


if __name__ == "__main__":
    main()
