"""The order among client accounts, played on a job table on virtual time.

The shard has 64 cores, or as many as a test names, and is one of four.
"""

import dataclasses
import heapq
import random
import statistics
import unittest
from unittest import mock

from pollengate.accounts.fair_order import AccountOrder
from pollengate.workflow.clients import EndKind
from pollengate.workflow.model import NO_DEMAND, ClientAccount, Demand, Step
from pollengate.workflow.ordering import DeadlineOrder
from pollengate.workflow.progress import JobProgress, Run
from pollengated.edge.edge_metrics import EdgeMetrics

from tests import workflow_builders as builders
from tests.workflow_builders import build_step

TICK_S = 0.05
SHARDS = 4
CORES = 64


class Shard:
    """A shard of workers of 16 cores whose tasks run for their estimate, with a plan each tick."""

    def __init__(self, weights: dict[str, float], cores: int = CORES) -> None:
        size = Demand(16_000, 64_000)
        workers = [builders.build_lease_worker(f"w{n}", capacity=size) for n in range(cores // 16)]
        self.job_table = table = builders.build_job_table(*workers)
        later = builders.build_deployment(name="later", priority=1).queues
        table.deployment = dataclasses.replace(
            table.deployment, queues=table.deployment.queues + later
        )
        self.configure({name: ClientAccount(name, weight=w) for name, w in weights.items()})
        self.order = AccountOrder(DeadlineOrder(), table, table.account_usage.usage_of, SHARDS)
        self.planner = builders.build_planner(table, order=self.order)
        self.now = 0.0
        self.started: list[tuple[float, JobProgress]] = []
        self._random = random.Random(1)
        self._ends: list[tuple[float, int, Run]] = []

    def configure(self, accounts: dict[str, ClientAccount] | None) -> None:
        deployment = self.job_table.deployment
        self.job_table.deployment = dataclasses.replace(deployment, accounts_by_name=accounts)

    def submit(self, account: str, step: Step, queue: str = builders.QUEUE) -> JobProgress:
        job_id = f"{len(self.job_table.jobs_by_id):016x}"
        job = builders.build_job(job_id, step)
        job.account, job.queue_name, job.accepted_at = account, queue, self.now
        job.accepted_ms = round(self.now * 1000)
        self.order.record_accepted(job, self.now)
        self.job_table.add(job, self.now, 0)
        return job

    def tick(self) -> None:
        while self._ends and self._ends[0][0] <= self.now + 1e-9:
            self.job_table.mark_ended(heapq.heappop(self._ends)[2], EndKind.DONE, "", self.now, 0)
        for run in self.planner.plan(self.now):
            self.job_table.mark_started(run, self.now)
            self.started.append((self.now, run.task.step.job))
            end_at = self.now + run.task.step.spec.estimate_ms / 1000
            heapq.heappush(self._ends, (end_at, len(self.started), run))
        self.now += TICK_S

    def play(self, seconds: float, rates: dict[str, float] | None = None) -> dict[str, float]:
        """Submits jobs of a core and 0.5 to 1.5 s at rates a second; returns mean cores running."""
        cores = dict.fromkeys(self.job_table.deployment.accounts_by_name or {}, 0.0)
        for _ in range(round(seconds / TICK_S)):
            for n, (account, rate) in enumerate((rates or {}).items()):
                before = self.now * rate + n / len(rates or {})
                for _ in range(int(before + TICK_S * rate) - int(before)):
                    step = build_step(estimate_ms=self._random.randint(500, 1500))
                    self.submit(account, step)
            self.tick()
            for name in cores:
                used = self.job_table.account_usage.usage_of(name).cpu_millis
                cores[name] += used / 1000 * TICK_S / seconds
        return cores

    def waits_s(self) -> list[float]:
        return [at - job.accepted_at for at, job in self.started if job.account != "flood"]


class AccountOrderTest(unittest.TestCase):
    """Each test names the failure that it guards against and the load."""

    def test_account_with_ten_times_its_rate_does_not_delay_the_others(self) -> None:
        """Others wait behind a flood. Load: 10 x 4 jobs/s (40 of 64 cores), one with 60/s (6)."""
        rates = {f"a{n}": 4.0 for n in range(10)}
        weights = dict.fromkeys([*rates, "flood"], 6.0 * SHARDS)
        calm, flooded = Shard(weights), Shard(weights)
        calm.play(10.0, rates)
        flooded.play(10.0, rates | {"flood": 60.0})
        self.assertEqual(0.0, max(calm.waits_s()))
        self.assertLessEqual(statistics.quantiles(flooded.waits_s(), n=20)[-1], 2 * TICK_S)
        self.assertGreaterEqual(len(flooded.waits_s()), 10 * 4 * 9)
        self.assertGreater(sum(at > 5.0 for at, _ in flooded.started), 0.9 * 5 * CORES)

    def test_weights_are_kept_when_all_is_full(self) -> None:
        """Shares follow deadlines. Load: 256 cores, weights 1, 2 and 5, unlike tasks."""
        weights = {"a": 1.0, "b": 2.0, "c": 5.0}
        shard = Shard(weights, cores=256)
        for number in range(40):
            shard.submit("a", build_step(80, estimate_ms=700))
            shard.submit("b", build_step(60, demand=Demand(2000), estimate_ms=1300))
            shard.submit("c", build_step(120, estimate_ms=1000 + 10 * number))
        shard.play(3.0)
        cores = shard.play(10.0)
        self.assertGreater(sum(cores.values()), 0.95 * 256)
        for name, weight in weights.items():
            self.assertAlmostEqual(1.0, cores[name] / (256 * weight / 8), delta=0.1)

    def test_weights_of_large_accounts_are_kept_beside_small_and_long_running_ones(self) -> None:
        """Others move the mean away from two backlogs. Load: 256 cores, 15 small, one with 96."""
        small = [f"s{n}" for n in range(15)]
        shard = Shard(dict.fromkeys([*small, "hog", "a", "b"], 1.0), cores=256)
        shard.submit("hog", build_step(96, is_long_running=True, estimate_ms=60_000))
        shard.tick()
        for _ in range(10):
            shard.submit("a", build_step(200))
        shard.play(0.5)
        for _ in range(10):
            shard.submit("b", build_step(150, estimate_ms=1400))
        shard.play(4.0, dict.fromkeys(small, 0.2))
        cores = shard.play(10.0)
        self.assertGreater(cores["a"] + cores["b"], 0.9 * 160)
        self.assertAlmostEqual(1.0, cores["a"] / cores["b"], delta=0.1)

    def test_no_account_starves_and_usage_is_that_of_all_runs(self) -> None:
        """A small account never runs. Load: 2 x the capacity, 4 with 20 times its weight."""
        weights = {"small": 0.5} | {f"a{n}": 10.0 for n in range(4)}
        shard = Shard(weights)
        shard.play(15.0, {"small": 1.0} | {f"a{n}": 32.0 for n in range(4)})
        views = shard.job_table.fleet.workers_by_id.values()
        steps = [run.task.step for view in views for run in view.runs.values()]
        for name in weights:
            starts = [at for at, job in shard.started if job.account == name]
            gaps = [b - a for a, b in zip([0.0, *starts], [*starts, 15.0], strict=True)]
            self.assertLess(max(gaps), 5.0, name)
            used = sum((s.spec.demand for s in steps if s.job.account == name), NO_DEMAND)
            self.assertEqual(used, shard.job_table.account_usage.usage_of(name))

    def test_deadlines_decide_below_the_fair_share_and_priorities_before_accounts(self) -> None:
        """Late starts of urgent work. Load: 14 cores are free, `a` has 2 and `b` 4 of 10."""
        shard = Shard({"a": 8.0, "b": 8.0, "c": 8.0})
        for account, cores in (("c", 44), ("a", 2), ("b", 4)):
            shard.submit(account, build_step(cores, estimate_ms=30_000))
        shard.tick()
        shard.submit("a", build_step(2), queue="later")
        for account, estimate_ms in (("b", 5000), ("a", 4000), ("b", 1000), ("b", 3000)):
            shard.submit(account, build_step(2, estimate_ms=estimate_ms))
        shard.tick()
        started = [(job.account, job.workflow.steps[0].estimate_ms) for _, job in shard.started]
        expected = [("b", 1000), ("b", 3000), ("a", 4000), ("b", 5000), ("a", 1000)]
        self.assertEqual(expected, started[50::2])

    def test_only_tasks_that_run_again_come_before_other_accounts(self) -> None:
        """A serving task's siblings pass others. Load: a full shard, 2 cores freed, one of `a`."""
        shard = Shard({"a": 1.0, "b": 1.0})
        shard.submit("", build_step(estimate_ms=100))
        shard.tick()
        serving = build_step(CORES, is_long_running=True, estimate_ms=9000)
        job = shard.submit("a", serving)
        shard.tick()
        shard.submit("b", build_step(2))
        lost = job.occurrences_by_number[0].steps[0].tasks[0]
        shard.job_table.mark_lost(lost.runs_by_number[1])
        shard.tick()
        self.assertEqual(["a", "b"], [started.account for _, started in shard.started[CORES:]])

    def test_takeover_starts_with_full_buckets_and_keeps_the_flood_behind(self) -> None:
        """A flood's backlog moves ahead. Load: 40 jobs at once at weight 8, 2 jobs/s of another."""
        before, after = Shard({"a": 8.0, "b": 8.0}), Shard({"a": 8.0, "b": 8.0})
        jobs = [before.submit("a", build_step()) for _ in range(40)]
        for _ in range(20):
            jobs.append(before.submit("b", build_step()))
            before.now += 0.5
        classes = [job.is_over_rate for job in jobs]
        self.assertEqual([False] * 4 + [True] * 36 + [False] * 20, classes)
        for job in reversed(jobs):
            job.is_restored, job.is_over_rate, job.accepted_at = True, False, 0.0
            job.occurrences_by_number.clear()
            job.due_count = 0
            after.job_table.add(job, 0.0, 0)
        after.tick()
        self.assertEqual([False] * 24 + [True] * 36, [j.is_over_rate for _, j in after.started])
        new_jobs = [after.submit("a", build_step()) for _ in range(5)]
        self.assertEqual([False] * 4 + [True], [job.is_over_rate for job in new_jobs])

    def test_order_and_metrics_follow_the_configuration(self) -> None:
        """Old accounts stay in order or metrics. Load: 4 of 64 cores, one task held back."""
        shard, metrics = Shard({"a": 1.0}), EdgeMetrics()
        shard.submit("a", build_step(4))
        shard.tick()
        steps = list(shard.submit("a", build_step()).occurrences_by_number[0].steps)
        held = mock.Mock(count_startable=lambda step: 0)
        names = [f"pollengate_edge_account_{n}" for n in ("running_millis", "share", "held_tasks")]
        seen = []
        for accounts in ({"a": ClientAccount("a")}, {"b": ClientAccount("b")}, None):
            shard.configure(accounts)
            metrics.accounts.update(0, shard.job_table, held, 0.0)
            get_value = metrics.registry.get_sample_value
            seen.append([get_value(name, {"account": "a"}) for name in names])
        self.assertEqual([[4000.0, 0.0625, 1.0], [None] * 3, [None] * 3], seen)
        queue_of = shard.job_table.queue_of
        self.assertEqual(steps, shard.order.arrange(steps, queue_of, 0.0))


if __name__ == "__main__":
    unittest.main()
