"""A runner crashes three times and is back each time; no run of the lasting task has failed."""

import asyncio

from standins_2 import Deployment, run_case

JOB = "5c0e7a21d94b36f8"
RUNNERS = {f"i-{number}": ["a", f"r{number}"] for number in range(1, 8)} | {"i-8": ["b", "r8"]}
CRASHES, DOWN_S, UP_S = 3, 2.0, 5.0


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Crashes the only runner with the job's label, and asks for the job's state at the end."""
    step = {"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": 300}
    step |= {"longRunning": True, "requiredLabel": "b"}
    await deployment.submit(JOB, {"spec": '{"ms":[null]}', "steps": [step]})
    await asyncio.sleep(UP_S)
    for _ in range(CRASHES):
        if is_troubled:
            await deployment.kill("i-8")
            await asyncio.sleep(DOWN_S)
            await deployment.start_runner("i-8")
        await asyncio.sleep(UP_S)
    await asyncio.sleep(14)
    _, body = await deployment.call("GET", JOB)
    state = body.get("state") if body else None
    events = deployment.runner_events()
    failed = [row for row in events if row["event"] == "end" and row["how"] == "failed"]
    if state == "failed" and not failed:
        return ["LOST: the job is shown as failed, and no run has ended failed"]
    if state in ("cancelled", None):
        return [f"LOST: the job is shown as {state}"]
    return []


run_case(play, RUNNERS)
