"""A start without an answer is carried out by the next life of its runner."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from http_3 import Request
from runner_3 import Runner
from system_3 import PREFIX, System, began, job_id, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 8
# Times after the first start order: the runner loses power, is up again, and gets the late order.
DARK_S = 2.0
UP_S = 2.5
LATE_S = 2.8


class Trouble:
    """Leaves one start order without an answer, and lets it arrive late."""

    def __init__(self, system: System, job: str) -> None:
        self._system = system
        self._job = job
        self._is_used = False

    def hook(self, runner: Runner, request: Request) -> bool:
        if self._is_used or request.path != "/v1/run-start":
            return False
        if not request.json()["task"].startswith(self._job):
            return False
        self._is_used = True
        self._system.record("start without an answer", runner=runner.id, call=request.json())
        asyncio.get_running_loop().create_task(self._play(runner, request))
        return True

    async def _play(self, runner: Runner, request: Request) -> None:
        await asyncio.sleep(DARK_S)
        self._system.record("runner loses power", runner=runner.id)
        runner.lose_power()
        await asyncio.sleep(UP_S - DARK_S)
        await runner.start()
        await asyncio.sleep(LATE_S - UP_S)
        status, answer = await runner.carry_out(request)
        self._system.record("late start", runner=runner.id, status=status, answer=answer)


async def main() -> int:
    """Plays the case; returns the exit code."""
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (0.5, "done")
    job = job_id()
    trouble = Trouble(system, job)
    try:
        await system.start(edges=3, runners=RUNNERS)
        if TROUBLE:
            for runner in system.runners:
                runner.hook = lambda request, at=runner: trouble.hook(at, request)
        step = {"count": 1, "cpu": 2000, "memMb": 100, "estimateMs": 500}
        document = {"spec": "once", "steps": [step]}
        response = await system.request(system.edges[0], "POST", PREFIX + job, document)
        if response is None or response[0] != 200:
            return 2
        await asyncio.sleep(12)
        await system.request(system.edges[0], "GET", PREFIX + job)
        rows = [row for row in system.record.rows if str(row.get("task", "")).startswith(job)]
        done = [r["t"] for r in rows if r["event"] == "run ended" and r["how"] == "done"]
        noted = [r["t"] for r in rows if r["event"] == "end noted" and r["how"] == "done"]
        late = [r for r in began(system.record, job) if done and r["t"] > done[0]]
        system.record("verdict", done=done, noted=noted, starts_after_it=late)
        if not done or not noted:
            return 2
        # A start after a run has ended `done`, whose end was taken note of.
        return 1 if late else 0
    finally:
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    run_case(main, 60)
