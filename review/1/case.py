"""A client hands in one job with as many tasks as a job may have."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import Deployment, run_case

BIG_JOB = "/tables/00c0ffee000000ff"
BIG_TASKS = 50_000  # the product accepts no more
JOBS = [f"/tables/00c0ffee000000{number:02x}" for number in range(1, 5)]
TASK_MS = 3_000
FINISH_S = 14.0
WATCH_S = 50.0
IDLE_S = 3.0
ATTEMPTS = 5


async def hand_in_large_job(deployment: Deployment, trouble: bool) -> int:
    """Hands in four small jobs, then a large one; returns whether the small ones stand still."""
    floor, record = deployment.floor, deployment.record
    await deployment.start([deployment.route("tables", "/tables/")], runners=8)
    spec = json.dumps({"steps": [{"ms": TASK_MS, "cpu": 1_000}] * 3})
    step = {"count": 2, "cpu": 1_000, "memMb": 1_000, "estimateMs": TASK_MS}
    steps = [step, step | {"after": [0]}, step | {"after": [1]}]
    for job in JOBS:
        await deployment.submit(job, {"spec": spec, "steps": steps})
    if trouble:
        big = {"count": BIG_TASKS, "cpu": 1_000, "memMb": 1_000, "estimateMs": TASK_MS}
        body = {"spec": spec, "steps": [big]}
        for attempt in range(ATTEMPTS):
            edge = deployment.edges[attempt % len(deployment.edges)]
            status, _ = await deployment.client(edge, "POST", BIG_JOB, body)
            if status == 200:
                break
            await asyncio.sleep(0.5)
    sent_at = record.now()
    # No further client hands anything in: the end of the traffic.
    longest_s, idle_since = 0.0, None
    while record.now() < sent_at + WATCH_S:
        await asyncio.sleep(0.25)
        done = {task for _, task, _, how, _ in floor.ends if how == "done"}
        left = [
            f"{job[8:]}.0.{s}.{i}"
            for job in JOBS
            for s in range(3)
            for i in range(2)
            if f"{job[8:]}.0.{s}.{i}" not in done
        ]
        at_work = any(floor.running(task) for task in left)
        used = sum(run.work["cpu"] for r in floor.runners.values() for run in r.runs.values())
        room = sum(r.cpu for r in floor.runners.values())
        is_after = record.now() > sent_at + FINISH_S
        if is_after and left and not at_work and used < room / 2:
            idle_since = idle_since or record.now()
            longest_s = max(longest_s, record.now() - idle_since)
        else:
            idle_since = None
    record.write(f"ordinary jobs had nothing at work, with room, for {longest_s:.1f} s on end")
    states = await asyncio.gather(
        *(deployment.client(edge, "GET", JOBS[0]) for edge in deployment.edges)
    )
    record.write(f"tasks of ordinary jobs that are left: {len(left)}; answers to GET: {states}")
    return int(longest_s > IDLE_S)


run_case(hand_in_large_job, __file__, has_trouble=os.environ["TROUBLE"] != "0")
