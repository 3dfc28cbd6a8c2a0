"""Jobs that need a label, while a runner with it loses power and returns as another kind."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3.system import PREFIX, System, job_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 8
TASKS = 6
DOWN_S = 2.0
# Of the rule: the 4 s before have to be calm, and nothing of the job runs for 3 s.
CALM_S = 4.0
STALL_S = 3.0


def labels(number: int) -> tuple[str, str]:
    return ("a" if number < RUNNERS // 2 else "b", f"r{number // 4}")


async def hand_in(system: System, accepted: dict[str, float]) -> None:
    job = job_id()
    step = {"count": TASKS, "cpu": 2000, "memMb": 100, "estimateMs": 500, "requiredLabel": "a"}
    document = {"spec": "label", "steps": [step]}
    response = await system.request(system.edges[0], "POST", PREFIX + job, document)
    if response is not None and response[0] == 200:
        accepted[job] = system.record.now()


def longest_idle_s(system: System, job: str, since: float) -> float:
    """Returns for how long the unfinished job had no run at a stretch, counted from `since`."""
    tasks = [f"{job}.0.0.{index}" for index in range(TASKS)]
    running: set[tuple[str, int]] = set()
    done: set[str] = set()
    idle_since, longest_s = since, 0.0
    for row in system.record.rows:
        if row.get("task") not in tasks or row["event"] not in ("run began", "run ended", "run lost"):
            continue
        now = max(row["t"], since)
        if not running:
            longest_s = max(longest_s, now - idle_since)
        if row["event"] == "run began":
            running.add((row["task"], row["run"]))
        else:
            running.discard((row["task"], row["run"]))
            if row.get("how") == "done":
                done.add(row["task"])
        idle_since = now
    if len(done) < TASKS and not running:
        longest_s = max(longest_s, system.record.now() - idle_since)
    return longest_s


async def main() -> int:
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (0.5, "done")
    accepted: dict[str, float] = {}
    try:
        await system.start(edges=3, runners=RUNNERS, labels=labels)
        clients = []
        lost = system.runners[0]

        async def traffic(seconds: float) -> None:
            until = system.record.now() + seconds
            while system.record.now() < until:
                clients.append(asyncio.create_task(hand_in(system, accepted)))
                await asyncio.sleep(0.4)

        await traffic(4)
        if TROUBLE:
            system.record("runner loses power", runner=lost.id)
            lost.lose_power()
        await traffic(DOWN_S)
        if TROUBLE:
            lost.labels = ("b", lost.labels[1])
            await lost.start()
        calm_at = system.record.now() + CALM_S
        await traffic(4)
        await asyncio.gather(*clients)
        await asyncio.sleep(16)
        stalled = {}
        for job, accepted_at in accepted.items():
            idle_s = longest_idle_s(system, job, max(accepted_at, calm_at))
            if idle_s > STALL_S:
                stalled[job] = round(idle_s, 2)
        system.record("verdict", accepted=len(accepted), stalled_s_after_calm=stalled)
        if len(accepted) < 15:
            return 2
        return 1 if stalled else 0
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
