"""Tests of a shard's scheduling state."""

import unittest

from pollengate.jobs import Resources, TaskState
from pollengate.ledger_records import JobRecord
from pollengate.placement import FirstFit
from pollengate.shard import WORKER_LEASE_S, Shard
from pollengate.task_queue import FifoQueue
from pollengate.worker import Heartbeat, OrderReply, ReportState, TaskRef, TaskReport

from tests.utils import build_spec, build_worker


def build_shard(*worker_ids: str) -> Shard:
    """Returns a shard whose workers are attached and may start tasks."""
    shard = Shard(FirstFit(), FifoQueue())
    shard.apply_vm_listing([build_worker(worker_id) for worker_id in worker_ids], 0.0)
    for worker_id in worker_ids:
        shard.attach(worker_id, shard.workers.next_session(worker_id), (), 0.0)
        shard.heartbeat(heartbeat_of(worker_id, 0), 0.0)
    shard.workers.mark_recorded(worker_ids)
    return shard


def heartbeat_of(worker_id: str, number: int, *reports: TaskReport, session: int = 1) -> Heartbeat:
    """Returns a heartbeat of a worker."""
    return Heartbeat(worker_id, 1, reports, session=session, number=number)


class ShardTest(unittest.TestCase):
    """Starts, reports and expired leases."""

    def test_starts_stay_within_capacity(self) -> None:
        shard = build_shard("w0", "w1")
        shard.accept(build_spec(count=20, resources=Resources(3, 100)))
        orders = shard.plan_starts(100)
        self.assertEqual([len(plan.orders) for plan in orders], [1, 1])
        self.assertEqual(shard.queued_count, 18)

    def test_task_is_queued_again_only_after_the_lease_has_expired(self) -> None:
        shard = build_shard("w0")
        shard.accept(build_spec())
        shard.plan_starts(1)
        shard.expire_workers(WORKER_LEASE_S)
        self.assertEqual(shard.queued_count, 0)
        shard.expire_workers(WORKER_LEASE_S + 1)
        self.assertEqual(shard.queued_count, 1)

    def test_resubmission_changes_nothing(self) -> None:
        shard = build_shard("w0")
        first = shard.accept(build_spec())
        shard.plan_starts(1)
        self.assertIs(shard.accept(build_spec()), first)
        self.assertEqual(shard.queued_count, 0)

    def test_finished_task_is_acknowledged_once_it_is_recorded(self) -> None:
        shard = build_shard("w0")
        job = shard.accept(build_spec())
        ref = shard.plan_starts(1)[0].orders[0].ref
        shard.apply_start_replies([OrderReply(ref, True)])
        report = TaskReport(ref, ReportState.FINISHED)
        self.assertEqual(shard.heartbeat(heartbeat_of("w0", 1, report), 1.0).acknowledged, ())
        self.assertEqual(job.state(), TaskState.FINISHED)
        changes = shard.changes.pop_unrecorded()
        self.assertEqual([change.job_id for change in changes], ["job"])
        self.assertEqual(shard.heartbeat(heartbeat_of("w0", 2, report), 1.0).acknowledged, ())
        shard.changes.confirm(changes)
        reply = shard.heartbeat(heartbeat_of("w0", 3, report), 1.0)
        self.assertEqual(reply.acknowledged, (TaskRef("job.0", 1),))

    def test_late_heartbeat_changes_nothing(self) -> None:
        shard = build_shard("w0")
        job = shard.accept(build_spec())
        ref = shard.plan_starts(1)[0].orders[0].ref
        shard.apply_start_replies([OrderReply(ref, True)])
        shard.evict("job.0")
        stopped = TaskReport(ref, ReportState.CHECKPOINTED, "500")
        shard.heartbeat(heartbeat_of("w0", 2, stopped), 1.0)
        late = shard.heartbeat(heartbeat_of("w0", 1, TaskReport(ref, ReportState.RUNNING)), 1.1)
        self.assertFalse(late.accepted)
        self.assertEqual(job.state(), TaskState.QUEUED)

    def test_start_without_a_reply_is_resolved_by_the_next_session(self) -> None:
        shard = build_shard("w0", "w1")
        shard.accept(build_spec(count=2, resources=Resources(2, 100)))
        orders = shard.plan_starts(2)[0].orders
        shard.require_reattach("w0")
        self.assertEqual(shard.queued_count, 0)
        self.assertFalse(shard.heartbeat(heartbeat_of("w0", 5), 1.0).accepted)
        session = shard.workers.next_session("w0")
        running = TaskReport(orders[0].ref, ReportState.RUNNING)
        self.assertEqual(shard.attach("w0", session, (running,), 1.0), [])
        self.assertEqual((shard.queued_count, shard.running_count), (1, 1))

    def test_report_of_an_older_attempt_says_nothing_about_the_newest(self) -> None:
        shard = build_shard("w0")
        shard.accept(build_spec())
        old = shard.plan_starts(1)[0].orders[0].ref
        stopped = TaskReport(old, ReportState.STOPPED)
        shard.heartbeat(heartbeat_of("w0", 1, stopped), 1.0)
        shard.plan_starts(1)
        shard.require_reattach("w0")
        shard.attach("w0", shard.workers.next_session("w0"), (stopped,), 1.0)
        self.assertEqual((shard.queued_count, shard.running_count), (1, 0))

    def test_attach_reply_of_an_earlier_session_is_ignored(self) -> None:
        shard = build_shard("w0")
        shard.accept(build_spec())
        shard.plan_starts(1)
        shard.require_reattach("w0")
        shard.workers.next_session("w0")
        shard.attach("w0", 1, (), 1.0)
        self.assertEqual((shard.queued_count, shard.running_count), (0, 1))

    def test_lost_non_idempotent_task_ends_as_unknown(self) -> None:
        shard = build_shard("w0", "w1")
        job = shard.accept(build_spec(idempotent=False))
        plan = shard.plan_starts(1)[0]
        self.assertTrue(plan.has_intents)
        self.assertEqual(shard.changes.pop_unrecorded()[0].intents_by_index, {0: True})
        shard.expire_workers(WORKER_LEASE_S + 1)
        self.assertEqual(job.state(), TaskState.UNKNOWN)
        self.assertEqual(shard.queued_count, 0)

    def test_refused_non_idempotent_task_may_start_again(self) -> None:
        shard = build_shard("w0")
        shard.accept(build_spec(idempotent=False))
        order = shard.plan_starts(1)[0].orders[0]
        shard.apply_start_replies([OrderReply(order.ref, False, "no_capacity")])
        self.assertEqual(shard.queued_count, 1)
        self.assertEqual(shard.changes.pop_unrecorded()[0].intents_by_index, {0: False})

    def test_cancelled_task_counts_until_its_worker_confirms(self) -> None:
        shard = build_shard("w0")
        job = shard.accept(build_spec(resources=Resources(4, 100)))
        ref = shard.plan_starts(1)[0].orders[0].ref
        shard.apply_start_replies([OrderReply(ref, True)])
        shard.cancel("job")
        self.assertEqual(job.state(), TaskState.STOPPING)
        self.assertEqual(shard.free("w0").cores, 0)
        self.assertEqual([stop.ref for stop in shard.stop_orders("w0")], [ref])
        shard.heartbeat(heartbeat_of("w0", 1, TaskReport(ref, ReportState.STOPPED)), 1.0)
        self.assertEqual(job.state(), TaskState.CANCELLED)
        self.assertEqual(shard.free("w0").cores, 4)
        self.assertEqual(shard.stop_orders("w0"), [])


class RecoveryTest(unittest.TestCase):
    """Which tasks a new owner may start, and when."""

    def setUp(self) -> None:
        self.shard = Shard(FirstFit(), FifoQueue(), epoch=9)
        self.shard.restore(JobRecord(build_spec("old", count=2)))
        self.shard.restore(JobRecord(build_spec("once", idempotent=False)))
        machines = [build_worker("w0"), build_worker("w1")]
        self.shard.begin_recovery(machines, WORKER_LEASE_S + 1)

    def attach(self, worker_id: str, *reports: TaskReport) -> None:
        session = self.shard.workers.next_session(worker_id)
        self.shard.attach(worker_id, session, reports, 0.0)
        self.shard.heartbeat(heartbeat_of(worker_id, 0, session=session), 0.0)

    def test_only_tasks_that_may_be_running_wait_for_all_workers(self) -> None:
        self.shard.accept(build_spec("new"))
        self.attach("w0")
        started = [order.ref.task_id for plan in self.shard.plan_starts(9) for order in plan.orders]
        self.assertEqual(started, ["once.0", "new.0"])
        running = TaskReport(TaskRef("old.1", 3, 5), ReportState.RUNNING)
        self.attach("w1", running)
        started = [order.ref for plan in self.shard.plan_starts(9) for order in plan.orders]
        self.assertEqual(started, [TaskRef("old.0", 1, 9)])

    def test_checkpointed_task_waits_for_workers_that_may_have_resumed_it(self) -> None:
        self.attach("w0", TaskReport(TaskRef("old.0", 1, 5), ReportState.CHECKPOINTED, "500"))
        self.assertEqual(self.shard.jobs_by_id["old"].count(TaskState.LOST), 2)
        self.attach("w1", TaskReport(TaskRef("old.0", 2, 5), ReportState.RUNNING))
        self.assertEqual(self.shard.jobs_by_id["old"].count(TaskState.RUNNING), 1)

    def test_resumed_task_keeps_the_checkpoint_that_only_its_worker_knows(self) -> None:
        running = TaskReport(TaskRef("old.0", 2, 5), ReportState.RUNNING, "500")
        self.attach("w0", running)
        self.shard.require_reattach("w0")
        self.attach("w0")
        (plan,) = self.shard.plan_starts(9)
        checkpoints = {order.ref.task_id: order.checkpoint for order in plan.orders}
        self.assertEqual(checkpoints["old.0"], "500")

    def test_expiry_of_every_lease_ends_the_wait(self) -> None:
        self.attach("w0")
        self.shard.expire_workers(2 * WORKER_LEASE_S)
        self.assertTrue(self.shard.is_recovered)

    def test_cancelled_task_is_stopped_on_the_worker_that_reports_it(self) -> None:
        self.shard.cancel("old")
        ref = TaskRef("old.0", 1, 5)
        self.attach("w0", TaskReport(ref, ReportState.RUNNING))
        self.assertEqual([stop.ref for stop in self.shard.stop_orders("w0")], [ref])
        self.attach("w1")
        job = self.shard.jobs_by_id["old"]
        self.assertEqual(job.count(TaskState.STOPPING), 1)
        self.assertEqual(job.count(TaskState.CANCELLED), 1)
