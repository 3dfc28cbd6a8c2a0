"""A runner rejects all starts for a while, and clients ask how many jobs wait."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import Deployment, run_case

JOBS = [f"00c0ffee000000{number:02x}" for number in range(1, 7)]
UNHEALTHY_S = 6.5
VISIBLE_S = 3.0
COUNT_AGE_S = 2.0


async def count_waiting_jobs(deployment: Deployment, trouble: bool) -> int:
    """Asks how many jobs wait; returns whether an answer is below half of them."""
    floor, record = deployment.floor, deployment.record
    await deployment.start([deployment.route("tables", "/tables/")], runners=10, kinds={3: "b"})
    (only,) = (runner for runner in floor.runners.values() if runner.kind == "b")
    if trouble:
        only.rejects_starts = True
        record.write(f"{only.runner_id}, the only runner of kind b, is unhealthy")
    began_at = record.now()
    spec = json.dumps({"steps": [{"ms": 1_000, "cpu": 2_000}]})
    step = {"count": 1, "cpu": 2_000, "memMb": 2_000, "estimateMs": 1_000, "requiredLabel": "b"}
    accepted_at: dict[str, float] = {}
    for job_id in JOBS:
        await deployment.submit(f"/tables/{job_id}", {"spec": spec, "steps": [step]})
        accepted_at[job_id] = record.now()
    broken = 0
    while record.now() < began_at + UNHEALTHY_S:
        await asyncio.sleep(0.3)
        for edge in deployment.edges:
            asked_at = record.now()
            status, answer = await deployment.client(edge, "GET", "/tables/")
            begun = {start[1].partition(".")[0] for start in floor.starts}
            due = [
                job_id
                for job_id, at in accepted_at.items()
                if job_id not in begun and at < asked_at - VISIBLE_S - COUNT_AGE_S
            ]
            if status == 200 and due and answer["waiting"] < len(due) / 2:
                broken += 1
                record.write(f"{len(due)} jobs have waited for over 5 s; told {answer}")
    only.rejects_starts = False
    record.write(f"{only.runner_id} is healthy again")
    await asyncio.sleep(6.0)
    for job_id in JOBS:
        await deployment.client(deployment.edges[0], "GET", f"/tables/{job_id}")
    return int(broken > 0)


run_case(count_waiting_jobs, __file__, has_trouble=os.environ["TROUBLE"] != "0")
