"""Two runners are lost for good, each with a lasting task of a step with `maxPerServer`."""

import asyncio
import os
import random
import sys
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from system_3 import PREFIX, System, began, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Above 70 runners the system uses two shards. Racks have 12 runners, two racks a zone.
RUNNERS = 72
RACK = 12
LOST = 2
WATCHED_S = 40.0


def labels(number: int) -> tuple[str, str]:
    """Returns the kind and the rack; runner N is in the zone N modulo 3."""
    zone, place = number % 3, number // 3
    return ("a", f"rack-{zone}-{place // RACK}")


def id_of_shard(ids: random.Random, shard: int) -> str:
    """Returns a job id that belongs to a shard; each second one that is drawn does."""
    while True:
        job = f"{ids.getrandbits(64):016x}"
        if zlib.crc32(job.encode()) % 2 == shard:
            return job


async def hand_in(system: System, job: str, cpu: int) -> bool:
    """Hands a job in; returns whether it was accepted."""
    step = {
        "count": RUNNERS // 2,
        "cpu": cpu,
        "memMb": 100,
        "longRunning": True,
        "image": "watch",
        "maxPerServer": 1,
    }
    document = {"spec": "watch", "steps": [step]}
    response = await system.request(system.edges[0], "POST", PREFIX + job, document)
    return response is not None and response[0] == 200


def running(system: System, job: str) -> dict[str, str]:
    """Returns the runner of each task of a job that runs."""
    return {
        run.task: runner.id
        for runner in system.runners
        if runner.is_up
        for run in runner.runs.values()
        if run.task.startswith(job)
    }


async def main() -> int:
    """Plays the case; returns the exit code."""
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (float("inf"), "done")
    ids = random.Random(1)
    first, second = id_of_shard(ids, 0), id_of_shard(ids, 1)
    count = RUNNERS // 2
    try:
        await system.start(edges=3, runners=RUNNERS, labels=labels)
        system.record("layout", layout=system.store.value("pollengate/layout"))
        # 20 cores of 64 on each runner of one half, and 40 on each of the other half.
        if not await hand_in(system, first, 20_000) or not await hand_in(system, second, 40_000):
            return 2
        await asyncio.sleep(8)
        if len(running(system, first)) < count or len(running(system, second)) < count:
            return 2
        if TROUBLE:
            hosts = sorted(set(running(system, first).values()))
            lost = [runner for runner in system.runners if runner.id in hosts[:LOST]]
            for runner in lost:
                await runner.crash()
                asyncio.get_running_loop().call_later(
                    3.3, system.store.remove, f"servers/{runner.id}"
                )
        await asyncio.sleep(WATCHED_S)
        missing = sorted(
            {f"{first}.0.0.{index}" for index in range(count)} - running(system, first).keys()
        )
        starts = {task: [r["t"] for r in began(system.record, task + "")] for task in missing}
        used = sum(
            20_000 if run.task.startswith(first) else 40_000
            for runner in system.runners
            if runner.is_up
            for run in runner.runs.values()
        )
        system.record("verdict", missing=missing, starts=starts, millicores_in_use=used)
        return 1 if missing else 0
    finally:
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    run_case(main, 110)
