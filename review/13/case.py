"""A batch task that failed once, on the only runner that lasting tasks leave free."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from system_3 import PREFIX, System, began, job_id, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 12
# Of 64 cores a runner. Under half of all cores are in use, and the free runner has room for two
# such tasks; no other one has room for any.
SERVING_CPU = 33_000
BATCH_CPU = 32_000
GREY_S = 3.0
WATCHED_S = 45.0


async def hand_in(system: System, job: str, step: dict, spec: str) -> bool:
    """Hands a job in; returns whether it was accepted."""
    document = {"spec": spec, "steps": [step]}
    response = await system.request(system.edges[0], "POST", PREFIX + job, document)
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
    grey: set[str] = set()
    lasting, batch = job_id(), job_id()
    try:
        await system.start(edges=3, runners=RUNNERS)
        for runner in system.runners:
            runner.plan = lambda task, spec, at=runner: (
                (float("inf"), "done")
                if spec == "serve"
                else (0.4, "failed") if at.id in grey else (0.8, "done")
            )
        serving = {
            "count": RUNNERS - 1,
            "cpu": SERVING_CPU,
            "memMb": 1000,
            "longRunning": True,
            "image": "serve",
        }
        if not await hand_in(system, lasting, serving, "serve"):
            return 2
        await asyncio.sleep(3)
        if len(began(system.record, lasting)) < RUNNERS - 1:
            return 2
        (free,) = [runner for runner in system.runners if not runner.runs]
        if TROUBLE:
            grey.add(free.id)
            system.record("runner fails all that it starts", runner=free.id, for_s=GREY_S)
            asyncio.get_running_loop().call_later(GREY_S, grey.clear)
        step = {"count": 1, "cpu": BATCH_CPU, "memMb": 1000, "estimateMs": 800}
        if not await hand_in(system, batch, step, "batch"):
            return 2
        until = system.record.now() + WATCHED_S
        state = None
        while system.record.now() < until and state not in ("completed", "failed"):
            await asyncio.sleep(3)
            state = await state_of(system, batch)
        last = max((row["t"] for row in began(system.record, batch)), default=0.0)
        failed = [
            row
            for row in system.record.rows
            if row["event"] == "run ended" and row["how"] == "failed"
        ]
        idle_s = round(system.record.now() - last, 1)
        system.record("verdict", state=state, failures=len(failed), idle_s=idle_s, free=free.id)
        if state is None or state == "failed":
            return 2
        # Nothing of the job runs, long after the runner works again, and the runner is idle.
        return 1 if state != "completed" and idle_s > 20 else 0
    finally:
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    run_case(main, 110)
