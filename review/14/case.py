"""Large jobs that come at once, on processes that the platform limits to `memoryMb`."""

import asyncio
import collections
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from system_3 import PREFIX, Edge, System, began, job_id, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
LARGE_JOBS = 10
# The largest number of tasks of a job that docs/callers.md names.
LARGE_TASKS = 50_000 if TROUBLE else 50
RESTART_S = 1.0
WATCHED_S = 70.0


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def limit_memory(system: System, ends: collections.Counter[str]) -> None:
    """Does as the platform: kills a process over its limit, and starts it again after a while."""

    async def restart(edge: Edge) -> None:
        await asyncio.sleep(RESTART_S)
        edge.start()

    while True:
        await asyncio.sleep(0.05)
        for edge in system.edges:
            if edge.process is None or edge.process.poll() is not None:
                continue
            used_mb = resident_mb(edge.process.pid)
            if used_mb > MEMORY_MB:
                ends[edge.name] += 1
                edge.send(signal.SIGKILL)
                edge.process.wait()
                system.record("memory over the limit", edge=edge.name, mb=round(used_mb))
                asyncio.get_running_loop().create_task(restart(edge))


def ordinary_steps() -> list[dict]:
    """Three steps, one after the other."""
    step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 3000}
    return [step, step | {"after": [0]}, step | {"after": [1]}]


def large_steps() -> list[dict]:
    """Returns the one step of a large job."""
    return [{"count": LARGE_TASKS, "cpu": 32000, "memMb": 1000, "estimateMs": 500}]


async def hand_in(system: System, number: int, job: str, steps: list[dict], spec: str) -> bool:
    """Hands a job in; returns whether it was accepted."""
    edge = system.edges[number % len(system.edges)]
    document = {"spec": spec, "steps": steps}
    response = await system.request(edge, "POST", PREFIX + job, document)
    return response is not None and response[0] == 200


async def state_of(system: System, job: str) -> str | None:
    """Returns the state that a client is shown, None without an answer."""
    for edge in system.edges:
        response = await system.request(edge, "GET", PREFIX + job, timeout_s=2)
        if response is not None and response[0] == 200:
            return response[1]["state"]
    return None


async def main() -> int:
    """Plays the case; returns the exit code."""
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (float(spec), "done")
    ends: collections.Counter[str] = collections.Counter()
    limiter = None
    try:
        await system.start(edges=3, runners=8)
        limiter = asyncio.create_task(limit_memory(system, ends))
        ordinary = job_id()
        last: str | None = None
        if not await hand_in(system, 0, ordinary, ordinary_steps(), "3.0"):
            return 2
        large = [job_id() for _ in range(LARGE_JOBS)]
        answers = await asyncio.gather(
            *(
                hand_in(system, number, job, large_steps(), "0.5")
                for number, job in enumerate(large)
            )
        )
        system.record("large jobs handed in", accepted=sum(answers))
        until = system.record.now() + WATCHED_S
        while system.record.now() < until:
            await asyncio.sleep(5)
            last = await state_of(system, ordinary)
            runs = sum(len(began(system.record, job)) for job in large)
            system.record("look", ordinary=last, starts_of_large_jobs=runs, ends=dict(ends))
            done = [await state_of(system, job) for job in large] if not TROUBLE else []
            if done and all(state == "completed" for state in done):
                break
        # Fault: on two machines at least, processes have ended three times by their use of memory.
        is_fault = sum(count >= 3 for count in ends.values()) >= 2
        # LOST: an accepted job has had nothing running for long, beside idle runners.
        newest = max((row["t"] for row in began(system.record, ordinary)), default=0.0)
        is_lost = last != "completed" and system.record.now() - newest > 20
        system.record("verdict", ends_by_memory=dict(ends), fault=is_fault, lost=is_lost)
        return 1 if is_fault or is_lost else 0
    finally:
        if limiter is not None:
            limiter.cancel()
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    run_case(main, 112)
