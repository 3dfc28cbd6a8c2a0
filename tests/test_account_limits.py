"""Tests of the limits of client accounts across shards: decisions, model and load."""

import asyncio
import dataclasses
import random
import unittest
from typing import Any
from unittest import mock

from minicheck import check_safety
from pollengate.accounts.limits import AccountLimits
from pollengate.accounts.shares_record import ShareRow, decode_shares
from pollengate.accounts.start_filter import AccountStartFilter
from pollengate.accounts.usage import AccountUsage
from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow.keys import ACCOUNT_SHARES_KEY
from pollengate.workflow.model import ClientAccount, Demand
from pollengate.workflow.placement import Placer
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobProgress
from pollengate.workflow.tickets import TicketCache
from pollengated.edge import operator_view
from result import Err, Ok

from models import account_limits as model
from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.faulty_store import Fault
from tests.test_worker_transfers import job_ids
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
)

ACCOUNT = "a"
TASK = Demand(500, 10)
WALKS = 200
WALK_STEPS = 40


def accounts(cpu_millis: int) -> dict[str, ClientAccount]:
    """Returns the configuration of one account with a limit of its cores."""
    return {ACCOUNT: ClientAccount(ACCOUNT, limit=Demand(cpu_millis))}


def build_limits(cpu_millis: int, shards: int = 4, used: int = 0) -> AccountLimits:
    """Returns the limits of shard 0 with the record read, and runs that use some millicores."""
    usage = AccountUsage()
    usage.add(ACCOUNT, Demand(used), 1)
    limits = AccountLimits(0, shards, usage)
    limits.configure(accounts(cpu_millis))
    limits.apply_record({}, 0, 0.0)
    return limits


def rows(*parts: int, **changes: ShareRow) -> dict[str, dict[int, ShareRow]]:
    """Returns a record with the parts of one account in millicores."""
    by_shard = {shard: ShareRow(Demand(part)) for shard, part in enumerate(parts)}
    return {ACCOUNT: by_shard | {int(name[1:]): row for name, row in changes.items()}}


class ModelTest(unittest.TestCase):
    """Guards against a protocol of rows by which runs exceed a limit."""

    def test_protocol_holds(self) -> None:
        for scenario in model.SCENARIOS:
            with self.subTest(scenario=scenario.name):
                result = check_safety(model.build(scenario, model.Rules()), model.MAX_STATES)
                self.assertTrue(result["exhaustive"])
                for rule, found in result["properties"].items():
                    self.assertIs(found["holds"], True, rule)

    def test_weakened_variants_violate_an_invariant(self) -> None:
        for name, (number, rule, rules) in model.WEAKENED_VARIANTS.items():
            with self.subTest(variant=name):
                protocol = model.build(model.SCENARIOS[number], rules)
                result = check_safety(protocol, model.MAX_VARIANT_STATES)
                self.assertIs(result["properties"][rule]["holds"], False)

    def test_walks_through_the_model_match_account_limits(self) -> None:
        """Guards against unconfirmed writes that `AccountLimits` counts unlike the model."""
        labels: set[str] = set()
        for seed in range(WALKS):
            labels |= self._walk(random.Random(seed))
        for event in ("writes (0, 0)", "is confirmed", "gets no reply", "reads the record"):
            self.assertTrue(any(event in label for label in labels), event)

    def _walk(self, generator: random.Random) -> set[str]:
        scenario = generator.choice(model.SCENARIOS[:2])
        protocol = model.build(scenario, model.Rules())
        state = protocol.initial
        usage = AccountUsage()
        limits = AccountLimits(0, model.SHARDS, usage)
        limits.configure(accounts(scenario.limit))
        limits.apply_record(_record(state.rows), state.revision, 0.0)
        write = None
        labels = set()
        for _ in range(WALK_STEPS):
            before = state.owners[0]
            successors = protocol.transitions(state)
            if not successors:
                break
            label, state = generator.choice(successors)
            labels.add(label)
            owner = state.owners[0]
            usage.add(ACCOUNT, Demand(1), state.running[0] - usage.usage_of(ACCOUNT).cpu_millis)
            if label.startswith("0 writes"):
                waiting = owner.awaited.rows[0][1] or owner.awaited.rows[0][0] > 1
                limits.record_waiting(ACCOUNT, Demand(scenario.limit if waiting else 0))
                write = limits.next_write(0.0)
                row = write and write.own_rows.get(ACCOUNT, limits.row_of(ACCOUNT, 0))
                if row is None or row.part.cpu_millis != owner.awaited.rows[0][0]:
                    return labels  # the model writes changes that the code finds too small
            elif label == "write of 0 is confirmed" and write is not None:
                limits.confirm(write, owner.base, 0.0)
            elif owner.base != before.base:
                limits.apply_record(_record(owner.rows), owner.base, 0.0)
            else:
                continue
            part = model._in_force(owner.limit, owner.rows, 0, owner.unconfirmed)
            self.assertLessEqual(limits.part_of(ACCOUNT).cpu_millis, part, label)
            if label == "write of 0 is confirmed" and owner.rows[0][0] > before.rows[0][0]:
                self.assertEqual(limits.part_of(ACCOUNT).cpu_millis, part, label)
        return labels


def _record(pairs: model.Rows) -> dict[str, dict[int, ShareRow]]:
    return {
        ACCOUNT: {
            shard: ShareRow(Demand(part), Demand(wanted))
            for shard, (part, wanted) in enumerate(pairs)
        }
    }


class DecisionTest(unittest.TestCase):
    """Decisions of one owner about its rows."""

    def test_idle_shard_gives_back_all_but_a_start_share_when_another_wants_more(self) -> None:
        """Guards against an account that gets only an equal part of its limit in one shard."""
        limits = build_limits(8000)
        wanting = ShareRow(Demand(2000), Demand(6000))
        limits.apply_record(rows(2000, 2000, 2000, s1=wanting), 1, 0.0)
        write = limits.next_write(0.0)
        assert write is not None
        self.assertEqual(Demand(125), write.own_rows[ACCOUNT].part)
        self.assertEqual(125, limits.part_of(ACCOUNT).cpu_millis)

    def test_idle_shard_keeps_an_equal_part_while_no_other_wants_more(self) -> None:
        """Guards against a store write before the first tasks after an idle time start."""
        limits = build_limits(8000)
        limits.apply_record(rows(2000, 2000, 2000, 2000), 1, 0.0)
        self.assertIsNone(limits.next_write(0.0))

    def test_nothing_starts_before_the_record_was_read(self) -> None:
        """Guards against a successor that takes an equal part although its row is lower."""
        limits = AccountLimits(0, 4, AccountUsage())
        limits.configure(accounts(8000))
        self.assertFalse(limits.may_start(ACCOUNT, TASK))

    def test_shards_yield_for_a_task_that_is_larger_than_an_equal_part(self) -> None:
        """Guards against a large task that never starts while small ones use every part."""
        limits = build_limits(8000, used=2000)
        limits.record_waiting(ACCOUNT, Demand(50_000))
        waits = ShareRow(Demand(2000), Demand(6000), Demand(7000), ticket=1)
        limits.apply_record(rows(2000, 2000, 2000, 2000, s3=waits), 1, 0.0)
        limits.next_write(0.0)
        self.assertLessEqual(limits.part_of(ACCOUNT).cpu_millis, 1000 // 3)

    def test_wants_of_a_shard_that_leaves_room_unused_are_ignored(self) -> None:
        """Guards against a cut-off zone for whose wants the other shards give up room."""
        limits = build_limits(8000, used=2000)
        limits.record_waiting(ACCOUNT, Demand(50_000))
        cut_off = ShareRow(Demand(1000), Demand(6000), Demand(7000), ticket=1)
        limits.apply_record(rows(2000, 0, 0, s3=cut_off), 1, 0.0)
        first, later = limits.next_write(0.0), limits.next_write(3.0)
        assert first is not None and later is not None
        self.assertEqual(2000, first.own_rows[ACCOUNT].part.cpu_millis)
        self.assertEqual(7000, later.own_rows[ACCOUNT].part.cpu_millis)

    def test_lowered_limit_leaves_what_other_rows_may_be_using(self) -> None:
        """Guards against starts beside long-running tasks that exceed a lowered limit."""
        limits = build_limits(8000, used=1000)
        limits.apply_record(rows(2000, 2000, 2000, 2000), 1, 0.0)
        limits.configure(accounts(4000))
        self.assertFalse(limits.may_start(ACCOUNT, TASK))
        limits.set_reachable(False)
        self.assertEqual(1000, limits.part_of(ACCOUNT).cpu_millis)

    def test_row_covers_what_runs_when_a_limit_is_introduced(self) -> None:
        """Guards against other shards that take room which earlier runs use."""
        limits = build_limits(8000, used=6000)
        write = limits.next_write(0.0)
        assert write is not None
        self.assertEqual(6000, write.own_rows[ACCOUNT].part.cpu_millis)

    def test_malformed_record_is_refused(self) -> None:
        """Guards against negative parts, with which the others would exceed the limit."""
        self.assertIsInstance(decode_shares(b'{"a":{"0":{"part":{"cpu_millis":-1}}}}'), Err)
        self.assertIsInstance(decode_shares(b"[]"), Err)


class StartFilterTest(unittest.TestCase):
    """The planner within one account's limit."""

    def plan(self, limit: Demand, *steps: Any, settled: bool = True) -> int:
        """Returns how many runs a planner adds for a job of an account in the only shard."""
        job_table = build_job_table(*[build_lease_worker(f"w{n}") for n in range(4)])
        account = ClientAccount(ACCOUNT, limit=limit)
        job_table.deployment = dataclasses.replace(
            job_table.deployment, accounts_by_name={ACCOUNT: account}
        )
        job = build_job("00000000000000aa", *steps)
        job.account = ACCOUNT
        job_table.add(job, 0.0, 0)
        limits = AccountLimits(0, 1, job_table.account_usage)
        start_filter = AccountStartFilter(job_table, limits, lambda: settled, lambda: None)
        placer = Placer(job_table.evidence, LatencyModel(), TicketCache())
        runs = Planner(job_table, placer, lambda: True, None, start_filter).plan(0.0)
        used = limits.usage_of(ACCOUNT)
        for run in runs:
            job_table.mark_rejected(run)
        self.assertEqual(Demand(), limits.usage_of(ACCOUNT))
        self.assertEqual(len(runs) * steps[0].demand.cpu_millis, used.cpu_millis)
        return len(runs)

    def test_each_resource_and_fillers_count(self) -> None:
        """Guards against a limit that holds for cores only, or not for fillers."""
        demand = Demand(1000, 100)
        self.assertEqual(3, self.plan(Demand(3000), build_step(8, demand=demand)))
        self.assertEqual(2, self.plan(Demand(0, 200), build_step(8, demand=demand)))
        filler = build_step(8, demand=demand, is_filler=True)
        self.assertEqual(3, self.plan(Demand(3000), filler))

    def test_gang_starts_whole_or_not_at_all(self) -> None:
        """Guards against a part of a gang that holds room of the limit without progress."""
        gang = build_step(4, demand=Demand(1000, 100), is_gang=True)
        self.assertEqual(0, self.plan(Demand(3999), gang))
        self.assertEqual(4, self.plan(Demand(4000), gang))

    def test_nothing_starts_before_earlier_runs_are_known(self) -> None:
        """Guards against a successor that exceeds its row together with unknown runs."""
        self.assertEqual(0, self.plan(Demand(4000), build_step(4), settled=False))


class LoadTest(EdgeTestCase):
    """Several owners, with jobs of one account for more than its limit."""

    limit_millis = 8000

    def setUp(self) -> None:
        """Gives every configuration and job the account; the gate's part of it is elsewhere."""
        create, decode = JobProgress.__init__, operator_view.decode_deployment

        def create_of_account(job: JobProgress, *args: Any, **changes: Any) -> None:
            create(job, *args, **changes)
            job.account = ACCOUNT

        def decode_with_account(value: bytes) -> Any:
            deployment = decode(value).unwrap()
            return Ok(dataclasses.replace(deployment, accounts_by_name=accounts(self.limit_millis)))

        for patch in (
            mock.patch.object(JobProgress, "__init__", create_of_account),
            mock.patch.object(operator_view, "decode_deployment", decode_with_account),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    async def submit_to(self, cluster: EdgeCluster, shard: int, first: int, tasks: int) -> None:
        """Submits a job for one shard."""
        job_id = job_ids(shard, first + 1, 4)[first]
        step = build_step(tasks, demand=TASK, estimate_ms=1000)
        await cluster.submit(job_id, build_workflow(step))

    def running_millis(self, cluster: EdgeCluster, since: float = 0.0) -> list[int]:
        """Returns the millicores in use after each start from a time on."""
        changes = []
        for record in cluster.update_history():
            changes.append((record.began_at, 1))
            if record.ended_at is not None:
                changes.append((record.ended_at, -1))
        used, found = 0, []
        for at, change in sorted(changes):
            used += change * TASK.cpu_millis
            if change > 0 and at >= since:
                found.append(used)
        return found

    def test_account_with_jobs_in_one_shard_reaches_its_limit(self) -> None:
        """Load: 60 tasks of half a core in one of four shards, with a limit of 8 cores."""

        async def main() -> None:
            cluster = EdgeCluster(workers=8, duration_s=1.0, shards=4)
            await cluster.open(nodes=2)
            await self.submit_to(cluster, 0, 0, 60)
            await asyncio.sleep(3.0)
            used = self.running_millis(cluster, since=asyncio.get_running_loop().time() - 1.0)
            self.assertGreaterEqual(max(used), 0.9 * self.limit_millis)
            self.assertLessEqual(max(self.running_millis(cluster)), self.limit_millis)

        run_virtual(main())

    def test_limit_holds_with_lost_and_late_writes_and_a_takeover(self) -> None:
        """Load: 160 tasks in four shards; writes fail and an owner dies; then a lower limit."""

        async def main() -> None:
            cluster = EdgeCluster(workers=8, duration_s=1.0, shards=4)
            await cluster.open(nodes=3)
            faults = (Fault.REPLY_LOST, Fault.LATE, Fault.NOT_SENT)
            await self.submit_to(cluster, 0, 0, 40)
            for number, node in enumerate(cluster.nodes_by_name.values()):
                node.store.fail_once(faults[number], ACCOUNT_SHARES_KEY)
            await asyncio.sleep(1.5)
            for shard in (1, 2, 3):
                await self.submit_to(cluster, shard, 0, 40)
            await asyncio.sleep(1.0)
            for node in cluster.nodes_by_name.values():
                await node.store.release_delayed()
            victim = cluster.owner(shard=1)
            assert victim is not None
            victim.kill()
            await asyncio.sleep(6.0)
            self.assertLessEqual(max(self.running_millis(cluster)), self.limit_millis)
            self.assertGreaterEqual(
                max(self.running_millis(cluster)[-20:]), 0.8 * self.limit_millis
            )
            self.limit_millis = 4000
            await cluster.configure(2)
            lowered_at = asyncio.get_running_loop().time()
            for shard in range(4):
                await self.submit_to(cluster, shard, 1, 40)
            await asyncio.sleep(8.0)
            used = self.running_millis(cluster, since=lowered_at + 1.5)
            self.assertLessEqual(max(used), 4000)
            self.assertGreaterEqual(max(used), 0.8 * 4000)
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_task_larger_than_an_equal_part_starts_beside_small_ones(self) -> None:
        """Load: small tasks for 12 of 8 cores in four shards, and one task of 3.5 cores."""

        async def main() -> None:
            cluster = EdgeCluster(workers=32, duration_s=1.0, shards=4)
            await cluster.open(nodes=2)
            large = asyncio.create_task(self.submit_large(cluster))
            for number in range(24):
                for shard in range(4):
                    await self.submit_to(cluster, shard, number, 3)
                await asyncio.sleep(0.5)
            self.assertTrue(large.done())

        run_virtual(main())

    async def submit_large(self, cluster: EdgeCluster) -> None:
        """Submits a job of a large task to shard 0 after 2 s and waits until it is completed."""
        await asyncio.sleep(2.0)
        job_id = job_ids(0, 100, 4)[99]
        step = build_step(1, demand=Demand(3500, 10), estimate_ms=1000)
        await cluster.submit(job_id, build_workflow(step))
        await cluster.wait_for_state(job_id, "completed")

    def test_tasks_start_within_the_rows_while_the_store_is_down(self) -> None:
        """Load: 120 tasks in four shards, during 1.5 s in which no owner reaches the store."""

        async def main() -> None:
            cluster = EdgeCluster(workers=8, duration_s=1.0, shards=4)
            await cluster.open(nodes=2)
            for shard in range(4):
                await self.submit_to(cluster, shard, 0, 30)
            await asyncio.sleep(1.5)
            for node in cluster.nodes_by_name.values():
                node.store.is_down = True
            down_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1.5)
            used = self.running_millis(cluster, since=down_at + 0.2)
            self.assertLessEqual(max(used), self.limit_millis)
            self.assertGreaterEqual(max(used), 0.8 * self.limit_millis)
            for node in cluster.nodes_by_name.values():
                node.store.is_down = False
            await asyncio.sleep(2.0)
            self.assertLessEqual(max(self.running_millis(cluster)), self.limit_millis)

        run_virtual(main())

    def test_store_is_contacted_only_once_there_are_accounts(self) -> None:
        """Guards against store calls without accounts, and rows that stay above a new limit."""

        async def main() -> None:
            with mock.patch.object(operator_view, "decode_deployment", decode_plainly):
                cluster = EdgeCluster(workers=8, duration_s=1.0, shards=4)
                await cluster.open(nodes=2)
                for shard in range(4):
                    await self.submit_to(cluster, shard, 0, 40)
                await asyncio.sleep(3.0)
            self.assertLess(self.limit_millis, max(self.running_millis(cluster)))
            self.assertIsNone((await cluster.store.get(ACCOUNT_SHARES_KEY)).unwrap())
            terms = [e.term for n in cluster.nodes_by_name.values() for e in n.electors if e.term]
            self.assertEqual({None}, {term._account_shares._cache.confirmed_at for term in terms})
            await cluster.configure(2)
            configured_at = asyncio.get_running_loop().time()
            for shard in range(4):
                await self.submit_to(cluster, shard, 1, 40)
            await asyncio.sleep(5.0)
            used = self.running_millis(cluster, since=configured_at + 1.0)
            self.assertLessEqual(max(used), self.limit_millis)
            self.assertGreaterEqual(max(used), 0.8 * self.limit_millis)

        run_virtual(main())


decode_plainly = operator_view.decode_deployment

if __name__ == "__main__":
    unittest.main()
