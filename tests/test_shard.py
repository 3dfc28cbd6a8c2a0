"""Tests of a shard's books."""

import unittest

from pollengate.jobs import Resources, TaskState
from pollengate.placement import FirstFit
from pollengate.shard import WORKER_LEASE_S, Shard
from pollengate.task_queue import FifoQueue
from pollengate.worker import Heartbeat, ReportState, TaskAnswer, TaskRef, TaskReport

from tests.utils import build_spec, build_worker


def build_shard(*worker_ids: str) -> Shard:
    """Returns a shard with attached workers."""
    shard = Shard(FirstFit(), FifoQueue())
    shard.list_machines([build_worker(worker_id) for worker_id in worker_ids], 0.0)
    for worker_id in worker_ids:
        shard.attach(worker_id, (), 0.0)
    return shard


class ShardTest(unittest.TestCase):
    """Starts, reports and lapsed leases."""

    def test_starts_stay_within_capacity(self) -> None:
        shard = build_shard("w0", "w1")
        shard.accept(build_spec(count=20, resources=Resources(3, 100)))
        orders = shard.plan_starts(100)
        self.assertEqual([len(plan.orders) for plan in orders], [1, 1])
        self.assertEqual(shard.queued, 18)

    def test_task_is_queued_again_only_after_the_lease_has_lapsed(self) -> None:
        shard = build_shard("w0")
        shard.accept(build_spec())
        shard.plan_starts(1)
        shard.expire_workers(WORKER_LEASE_S)
        self.assertEqual(shard.queued, 0)
        shard.expire_workers(WORKER_LEASE_S + 1)
        self.assertEqual(shard.queued, 1)

    def test_resubmission_changes_nothing(self) -> None:
        shard = build_shard("w0")
        first = shard.accept(build_spec())
        shard.plan_starts(1)
        self.assertIs(shard.accept(build_spec()), first)
        self.assertEqual(shard.queued, 0)

    def test_finished_task_is_acknowledged(self) -> None:
        shard = build_shard("w0")
        job = shard.accept(build_spec())
        ref = shard.plan_starts(1)[0].orders[0].ref
        shard.answer_starts([TaskAnswer(ref, True)])
        report = TaskReport(ref, ReportState.FINISHED)
        answer = shard.heartbeat(Heartbeat("w0", 1, (report,)), 1.0)
        self.assertEqual(answer.acknowledged, (TaskRef("job.0", 1),))
        self.assertEqual(job.state(), TaskState.FINISHED)
        self.assertEqual(shard.take_changed_jobs(), [job])
