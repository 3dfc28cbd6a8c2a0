"""Measures how long a zone goes without a start when its shard's owner ends.

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


async def measure(number: signal.Signals, times: int) -> list[float]:
    """Ends the owner a number of times and returns the longest gap between starts each time."""
    zone = ZoneHost(workers=8, cores=8)
    await zone.start()
    try:
        return await _end_owners(zone, number, times)
    finally:
        await zone.stop()


async def _end_owners(zone: ZoneHost, number: signal.Signals, times: int) -> list[float]:
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
        begun = asyncio.get_running_loop().time()
        owner.signal(number)
        await asyncio.sleep(OBSERVE_S)
        starts = [at for at in zone.starts() if at >= begun - 0.5]
        gaps.append(max(after - before for before, after in itertools.pairwise(starts)))
        zone.start_scheduler()
    started = [ref for model in zone.models for ref in model.starts]
    print(f"{number.name}: started {len(started)}, twice {len(started) - len(set(started))}")
    return gaps


@click.command()
@click.option("--times", default=5)
def main(times: int) -> None:
    """Measures both kinds of end."""
    for number in (signal.SIGTERM, signal.SIGKILL):
        gaps = asyncio.run(measure(number, times))
        listed = ", ".join(f"{gap:.2f}" for gap in gaps)
        print(
            f"{number.name}: longest time without a start {listed} s, "
            f"median {statistics.median(gaps):.2f} s, most {max(gaps):.2f} s"
        )


if __name__ == "__main__":
    main()
