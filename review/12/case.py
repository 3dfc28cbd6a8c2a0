"""Jobs that need one of two kinds of runners come at once, in a deployment with two shards."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from system_3 import PREFIX, System, began, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Above 70 runners the system uses two shards. Racks have 12 runners of one kind, two racks a zone.
RUNNERS = 72
RACK = 12
JOBS = 12
WATCHED_S = 45.0
# Bounds of the rule.
FINISH_S = 14.0
STALL_S = 3.0


def labels(number: int) -> tuple[str, str]:
    """Returns the kind and the rack; runner N is in the zone N modulo 3."""
    zone, place = number % 3, number // 3
    return ("ab"[place // RACK], f"rack-{zone}-{place // RACK}")


def kind_of(number: int) -> str:
    """Returns the label that a job needs."""
    return "ab"[number % 2]


async def hand_in(system: System, number: int, job: str) -> bool:
    """Hands a job in; returns whether it was accepted."""
    step = {"count": 2, "cpu": 2000, "memMb": 100, "estimateMs": 800}
    document = {"spec": "work", "steps": [step | {"requiredLabel": kind_of(number)}]}
    edge = system.edges[number % len(system.edges)]
    response = await system.request(edge, "POST", PREFIX + job, document)
    return response is not None and response[0] == 200


async def state_of(system: System, job: str) -> str | None:
    """Returns the state that a client is shown, None without an answer."""
    for edge in system.edges:
        response = await system.request(edge, "GET", PREFIX + job)
        if response is not None and response[0] == 200:
            return response[1]["state"]
    return None


async def main() -> int:
    """Plays the case; returns the exit code."""
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (0.8, "done")
    # Drawn at random, but the same in each run: a job belongs to a shard by a hash of its id.
    ids = random.Random(1)
    jobs = [f"{ids.getrandbits(64):016x}" for _ in range(JOBS)]
    try:
        await system.start(edges=3, runners=RUNNERS, labels=labels)
        system.record("layout", layout=system.store.value("pollengate/layout"))
        accepted: list[str] = []
        for number, job in enumerate(jobs):
            if await hand_in(system, number, job):
                accepted.append(job)
            until = system.record.now() + 8
            while not TROUBLE and system.record.now() < until:
                await asyncio.sleep(0.5)
                if await state_of(system, job) == "completed":
                    break
        if len(accepted) < JOBS:
            return 2
        await asyncio.sleep(WATCHED_S if TROUBLE else FINISH_S + STALL_S)
        lost = {}
        for number, job in enumerate(jobs):
            state = await state_of(system, job)
            if state != "completed" and not began(system.record, job):
                lost[job] = f"{state}, needs {kind_of(number)}"
        system.record("verdict", accepted=len(accepted), never_started=lost)
        return 1 if lost else 0
    finally:
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    run_case(main, 115)
