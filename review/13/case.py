"""A job whose tasks last, while the runners of its pool crash one after the other."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3.system import PREFIX, System, began, job_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 8
TASKS = 16
# One of eight runners is down at a time, each for 2 s; each crashes again 24 s later.
CRASHES = 26
CRASH_INTERVAL_S = 3.0
DOWN_S = 2.0


async def crash_in_turn(system: System, number: int) -> None:
    runner = system.runners[number % RUNNERS]
    await runner.crash()
    await asyncio.sleep(DOWN_S)
    await runner.start()


async def state_of(system: System, job: str) -> str | None:
    """Returns the state that a client is shown, None without an answer."""
    for edge in system.edges:
        response = await system.request(edge, "GET", PREFIX + job)
        if response is not None and response[0] == 200:
            return response[1]["state"]
    return None


async def main() -> int:
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (float("inf"), "done")
    job = job_id()
    step = {"count": TASKS, "cpu": 4000, "memMb": 100, "longRunning": True, "image": "watch"}
    try:
        await system.start(edges=3, runners=RUNNERS)
        document = {"spec": "watch", "steps": [step]}
        response = await system.request(system.edges[0], "POST", PREFIX + job, document)
        if response is None or response[0] != 200:
            return 2
        await asyncio.sleep(4)
        if len(began(system.record, job)) < TASKS:
            return 2
        crashes: list[asyncio.Task] = []
        state = await state_of(system, job)
        for number in range(CRASHES):
            if TROUBLE:
                crashes.append(asyncio.create_task(crash_in_turn(system, number)))
            await asyncio.sleep(CRASH_INTERVAL_S)
            state = await state_of(system, job)
            if state not in (None, "running"):
                break
        await asyncio.gather(*crashes)
        await asyncio.sleep(3)
        state = await state_of(system, job)
        ends = [row["how"] for row in system.record.rows if row["event"] == "run ended"]
        system.record("verdict", state=state, ends_failed=ends.count("failed"))
        if state is None:
            return 2
        # The job was accepted, nobody cancelled it, and none of its runs ended as `failed`.
        return 1 if state in ("failed", "cancelled") and not ends.count("failed") else 0
    finally:
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    try:
        async def bounded() -> int:
            async with asyncio.timeout(110):
                return await main()

        sys.exit(asyncio.run(bounded()))
    except (TimeoutError, OSError, RuntimeError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
