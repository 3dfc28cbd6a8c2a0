"""Seeded tests that neither odd jobs nor odd reports end an ownership term, on virtual time."""

import asyncio
import dataclasses
import json
import random
from typing import Any
from unittest import mock

from pollengate.workflow.clients import OrderFailure, RenewOrder, Report, RunningTask
from pollengate.workflow.policy import OverloadPolicy, SchedulingPolicy
from pollengate_platform.client_api import decode_workflow
from pollengate_standins.lease_worker import LeaseWorker
from result import Err, Ok, Result

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual

SEEDS = range(8)
JOBS = 40
MAX_NUMBER = 2**53 - 1
AMOUNTS = (0, 0, 1, 1, 2, 3, 100, 1000, 1500, 4000, 4001, 2**31, MAX_NUMBER)
TIMES_MS = (0, 0.5, 1, 1e-300, 150.7, 1000, 2000, MAX_NUMBER)
MEASUREMENTS = (0.0, -5.0, 1.0, 50.0, 120.0, 5e-324, 1e-200, 9e15)
ACCOUNTS = [
    {"name": "x", "apiKeys": ["k1"], "cap": {"cpu": 4000, "memMb": 1000}},
    {"name": "y", "apiKeys": ["k2"], "weight": 1e9},
]
FLAGS = ("savesProgress", "gang", "sameRack", "speculative", "longRunning", "fills")


def build_body(generator: random.Random) -> bytes:
    """Returns the body of a submission as a client might send it."""
    steps = []
    for number in range(generator.randint(1, 4)):
        step: dict[str, Any] = {
            "count": generator.choice((1, 1, 2, 3, 10, 40)),
            "cpu": generator.choice(AMOUNTS),
            "memMb": generator.choice((0, 1, 10, 100, MAX_NUMBER)),
            "estimateMs": generator.choice(TIMES_MS),
            "image": generator.choice(("", "a", "b", "\0")),
        }
        step |= {flag: True for flag in FLAGS if generator.random() < 0.25}
        if generator.random() < 0.4:
            step["targetMs"] = generator.choice(TIMES_MS)
        if number and generator.random() < 0.4:
            step["after"] = [generator.randrange(number) for _ in range(2)]
        for name in ("maxPerServer", "mayMiss", "gpu"):
            if generator.random() < 0.2:
                step[name] = generator.choice(AMOUNTS)
        steps.append(step)
    if generator.random() < 0.1:
        steps[0] |= generator.choice(({"count": 0}, {"after": [0]}, {"cpu": -1}, {"image": 1}))
    job: dict[str, Any] = {"steps": steps}
    if generator.random() < 0.1:
        job |= {"firstMs": generator.choice(AMOUNTS), "intervalMs": generator.choice(AMOUNTS)}
        job["repeatCount"] = generator.choice((0, 1, 3))
    return json.dumps(job).encode()


class OddInputTest(EdgeTestCase):
    """Jobs of clients and reports of workers with numbers and names of every kind."""

    def add_odd_rows(self, generator: random.Random, report: Report) -> Report:
        """Returns a report with rows of runs that nobody started."""
        jobs = [row.task.partition(".")[0] for row in report.running] or ["unknown"]
        numbers = ("", ".0.0.0", ".0.0." + "9" * 5000, ".0.9.9", "..0.0", ".0.0.\u0661", "...")
        added = tuple(
            RunningTask(
                generator.choice(jobs) + generator.choice(numbers),
                generator.choice((0, 1, 64, MAX_NUMBER)),
                "",
                generator.choice((-1e15, 0.0, 50.0, 1e15)),
                generator.choice(MEASUREMENTS),
            )
            for _ in range(generator.randint(0, 2))
        )
        return dataclasses.replace(report, running=report.running + added)

    async def play(self, seed: int) -> None:
        """Submits odd jobs to a cluster whose workers send odd reports."""
        generator = random.Random(seed)
        cluster = EdgeCluster(workers=4)
        is_enabled = seed % 2 == 1
        cluster.policy = SchedulingPolicy(OverloadPolicy(is_enabled))
        for worker in cluster.workers_by_id.values():
            worker.duration_of = lambda task: generator.choice((0.05, 0.5, 1.0, float("inf")))
            worker.measurement_of = lambda task: generator.choice(MEASUREMENTS)
            worker.fails = lambda task: generator.random() < 0.1
        renew = LeaseWorker.renew

        def renew_oddly(worker: LeaseWorker, order: RenewOrder) -> Result[Report, OrderFailure]:
            report = renew(worker, order)
            if isinstance(report, Err) or generator.random() < 0.7:
                return report
            return Ok(self.add_odd_rows(generator, report.ok_value))

        await cluster.open(nodes=2)
        await cluster.configure(2, tenants=ACCOUNTS)
        term = await cluster.wait_for_term()
        accepted = []
        with mock.patch.object(LeaseWorker, "renew", renew_oddly):
            for number in range(JOBS):
                workflow = decode_workflow(build_body(generator))
                if isinstance(workflow, Err):
                    continue
                job_id = f"{number:016x}"
                account = generator.choice(("x", "y", "z"))
                await cluster.submit(job_id, workflow.ok_value, account=account)
                accepted.append(job_id)
                await asyncio.sleep(generator.choice((0.0, 0.1, 1.0)))
            await asyncio.sleep(10.0)
        self.assertIs(cluster.term(), term)
        self.assertGreater(len(accepted), JOBS / 2)
        for node in cluster.nodes_by_name.values():
            for metric in (node.metrics.failed_decisions, node.metrics.failed_terms):
                values = [sample.value for found in metric.collect() for sample in found.samples]
                self.assertEqual(sum(values), 0, metric)

    def test_odd_jobs_and_reports_make_no_decision_fail(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(self.play(seed))
