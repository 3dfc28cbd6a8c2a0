"""A gang with one member a runner, while one of its runners fails all that it starts."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3.system import PREFIX, System, began, job_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 12
MEMBERS = 2
GREY_S = 6.5
WATCHED_S = 45.0


def labels(number: int) -> tuple[str, str]:
    return ("a" if number < MEMBERS else "b", f"r{number // 4}")


async def state_of(system: System, job: str) -> str | None:
    for edge in system.edges:
        response = await system.request(edge, "GET", PREFIX + job)
        if response is not None and response[0] == 200:
            return response[1]["state"]
    return None


async def main() -> int:
    system = System(FOLDER / "record.txt")
    grey: set[str] = set()
    job = job_id()
    system.gangs.sizes[f"{job}.0.0"] = MEMBERS
    step = {
        "count": MEMBERS, "cpu": 1000, "memMb": 100, "estimateMs": 800, "gang": True,
        "requiredLabel": "a", "maxPerServer": 1,
    }
    try:
        await system.start(edges=3, runners=RUNNERS, labels=labels)
        failing = system.runners[MEMBERS - 1]
        for runner in system.runners:
            runner.plan = lambda task, spec, at=runner: (
                (0.4, "failed") if at.id in grey else (0.8, "done")
            )
        if TROUBLE:
            grey.add(failing.id)
            system.record("runner fails all that it starts", runner=failing.id, for_s=GREY_S)
            asyncio.get_running_loop().call_later(GREY_S, grey.clear)
        document = {"spec": "gang", "steps": [step]}
        response = await system.request(system.edges[0], "POST", PREFIX + job, document)
        if response is None or response[0] != 200:
            return 2
        until = system.record.now() + WATCHED_S
        state = None
        while system.record.now() < until and state not in ("completed", "failed"):
            await asyncio.sleep(3)
            state = await state_of(system, job)
        last = max((row["t"] for row in began(system.record, job)), default=0.0)
        failed = [row for row in system.record.rows if row.get("how") == "failed"]
        idle_s = system.record.now() - last
        system.record("verdict", state=state, failures=len(failed), idle_s=round(idle_s, 1))
        if state is None or state == "failed":
            return 2
        # Nothing of the job runs, long after the runner works again, and both runners are idle.
        return 1 if state != "completed" and idle_s > 20 else 0
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
