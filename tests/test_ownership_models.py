"""Tests of the ownership models, and of the code against traces of the start model."""

import asyncio
import random
import unittest

from pollengate.handover import Assignment
from pollengate.jobs import Resources, Task, TaskState
from pollengate.ledger_records import JobRecord
from pollengate.placement import PlacementRequest, TrackedPlacement
from pollengate.shard import Shard
from pollengate.task_queue import FifoQueue
from pollengate.worker import HeartbeatReply, ReportState, TaskOrder
from pollengate_standins.worker_model import WorkerModel

from models import ownership
from models.ownership_starts import (
    CHECKPOINTED,
    ENDED,
    FINISHED,
    IDLE,
    LOST,
    QUEUED,
    RUNNING,
    STOPPED,
    StartRules,
    StartState,
    initial_state,
    steps_from,
)
from tests.utils import build_spec, build_worker, run_virtual

WORKER_IDS = ("w0", "w1")
NEVER_EXPIRES_S = 1e6
TRACES = 300
STEPS_PER_TRACE = 60
RULES = StartRules(max_epochs=4, sessions=3, hands_over=True)

_STATUS_BY_REPORT = {
    ReportState.RUNNING: RUNNING,
    ReportState.FINISHED: FINISHED,
    ReportState.CHECKPOINTED: CHECKPOINTED,
}
# The model's status of a worker with reports of several attempts: the first that applies.
_STATUSES_BY_PRECEDENCE = (RUNNING, FINISHED, CHECKPOINTED)


class ModelTest(unittest.TestCase):
    """The invariants hold, and each weakened variant violates the expected ones."""

    def test_every_check_is_as_expected(self) -> None:
        for check in ownership.CHECKS:
            with self.subTest(check=check.name):
                outcome = ownership.run_check(check)
                self.assertTrue(ownership.is_as_expected(check, outcome), outcome)

    def test_every_invariant_is_violated_by_some_variant(self) -> None:
        violated = {name for check in ownership.CHECKS for name in check.expected_violations}
        for check in ownership.CHECKS:
            self.assertLessEqual(set(check.build().invariants), violated)


class _TracePlacement(TrackedPlacement):
    """Places every task on the worker that the trace selects."""

    worker_id = ""

    def _choose_worker(self, request: PlacementRequest) -> str | None:
        return self.worker_id


class _Replay:
    """Applies the steps of the model to a shard and to worker stand-ins."""

    def __init__(self) -> None:
        self.epoch = 0
        self.spec = build_spec(duration_ms=10**9)
        self.record = JobRecord(self.spec)
        self.handover: list[Assignment] | None = None
        self.shard: Shard | None = None
        self.placement = _TracePlacement()
        self.models = [WorkerModel(worker_id, Resources(4, 1000)) for worker_id in WORKER_IDS]
        self.delayed_orders: list[tuple[int, int, TaskOrder] | None] = [None, None]

    def apply_step(self, label: str) -> bool:
        """Applies one step; returns False if the code can't take it although the model can."""
        if label == "owner acquires the shard":
            return self._take_over()
        if label == "owner dies":
            self.shard = None
        elif label == "owner hands over":
            self._record()
            assert self.shard is not None
            self.handover = self.shard.assignments() if self.shard.is_recovered else None
            self.shard = None
        elif label == "owner records":
            self._record()
        else:
            return self._apply_worker_step(label)
        return True

    def _take_over(self) -> bool:
        self.epoch += 1
        self.placement = _TracePlacement()
        shard = Shard(self.placement, FifoQueue(), self.epoch)
        machines = [build_worker(worker_id) for worker_id in WORKER_IDS]
        shard.restore(self.record)
        if self.handover is not None:
            shard.apply_handover(self.handover, machines, NEVER_EXPIRES_S)
        elif self.epoch == 1:
            shard.begin_recovery([], NEVER_EXPIRES_S)
            shard.apply_vm_listing(machines, NEVER_EXPIRES_S)
            shard.workers.mark_recorded(WORKER_IDS)
        else:
            shard.begin_recovery(machines, NEVER_EXPIRES_S)
        self.shard, self.handover = shard, None
        return True

    def _record(self) -> None:
        assert self.shard is not None
        changes = self.shard.changes.pop_unrecorded()
        for change in changes:
            self.record.apply(change)
        self.shard.changes.confirm(changes)

    def _apply_worker_step(self, label: str) -> bool:
        w = int(label.partition(" w")[2][0]) if " w" in label else int(label[1])
        model = self.models[w]
        if label.startswith("order arrives"):
            delayed, self.delayed_orders[w] = self.delayed_orders[w], None
            assert delayed is not None
            if not self._has_unacknowledged_end(model):
                model.start(delayed[0], delayed[1], [delayed[2]])
        elif label == f"lease of w{w} expires":
            model.expire_lease()
        elif label == f"w{w} finishes the task":
            model.end(model.running()[0], ReportState.FINISHED)
        elif label == f"w{w} checkpoints the task":
            model.end(model.running()[0], ReportState.CHECKPOINTED)
        elif label.startswith(f"w{w} sends a heartbeat"):
            self._send_heartbeat(model, label.endswith("lost"))
        elif label == f"owner expires w{w}":
            assert self.shard is not None
            self.shard.expire_worker(self.shard.workers_by_id[WORKER_IDS[w]])
        elif label.startswith("owner attaches"):
            self._attach(w, label.endswith("lost"))
        else:
            return self._start(w, label)
        return True

    def _send_heartbeat(self, model: WorkerModel, is_lost: bool) -> None:
        assert self.shard is not None
        now = asyncio.get_running_loop().time()
        heartbeat = model.next_heartbeat()
        reply: HeartbeatReply = self.shard.heartbeat(heartbeat, now)
        if not is_lost:
            model.apply_heartbeat_answer(heartbeat, reply, now)

    def _attach(self, w: int, is_lost: bool) -> None:
        assert self.shard is not None
        session = self.shard.workers.next_session(WORKER_IDS[w])
        attachment = self.models[w].attach(self.epoch, session, "owner")
        if not is_lost:
            self.shard.attach(WORKER_IDS[w], session, attachment.reports, 0.0)

    def _start(self, w: int, label: str) -> bool:
        shard, model = self.shard, self.models[w]
        assert shard is not None
        if not shard.workers_by_id[WORKER_IDS[w]].is_schedulable or self._has_unacknowledged_end(
            model
        ):
            return False
        self.placement.worker_id = WORKER_IDS[w]
        (plan,) = shard.plan_starts(1)
        session = shard.workers_by_id[WORKER_IDS[w]].session
        if label.endswith("delayed"):
            self.delayed_orders[w] = (self.epoch, session, plan.orders[0])
            shard.require_reattach(WORKER_IDS[w])
            return True
        replies = model.start(self.epoch, session, plan.orders)
        if label.endswith("lost"):
            shard.require_reattach(WORKER_IDS[w])
        else:
            shard.apply_start_replies(replies)
        return True

    @staticmethod
    def _has_unacknowledged_end(model: WorkerModel) -> bool:
        """Whether a worker holds an unacknowledged end; in the model it then starts no attempt."""
        held = (ReportState.FINISHED, ReportState.CHECKPOINTED)
        return any(report.state in held for report in model.reports())

    def check(self, test: unittest.TestCase, state: StartState) -> None:
        """Asserts that the code is in the same state as the model."""
        for model, worker in zip(self.models, state.workers, strict=True):
            statuses = {_STATUS_BY_REPORT.get(r.state, IDLE) for r in model.reports()}
            status = IDLE if worker.status == STOPPED else worker.status
            test.assertEqual(
                next((s for s in _STATUSES_BY_PRECEDENCE if s in statuses), IDLE), status
            )
        test.assertEqual(bool(self.record.ended_by_state), state.durable.ended)
        if self.shard is not None:
            job = self.shard.jobs_by_id["job"]
            test.assertEqual(self._locate_task(job.tasks_by_id.get("job.0")), state.owner.task)

    @staticmethod
    def _locate_task(task: Task | None) -> int:
        if task is None or task.state is TaskState.FINISHED:
            return ENDED
        if task.state is TaskState.LOST:
            return LOST
        return WORKER_IDS.index(task.worker_id) if task.worker_id else QUEUED


class ReplayTest(unittest.TestCase):
    """Replays random traces of the start model on `Shard` and `WorkerModel`."""

    def test_code_follows_the_model(self) -> None:
        async def main() -> None:
            applied_labels = set()
            for seed in range(TRACES):
                applied_labels |= self.replay(random.Random(seed))
            self.assertEqual(
                {label.replace("w1", "w0") for label in applied_labels}, EXPECTED_LABELS
            )

        run_virtual(main())

    def replay(self, generator: random.Random) -> set[str]:
        """Replays one trace and returns the labels of its steps."""
        state, replay, applied_labels = initial_state(), _Replay(), set()
        for _ in range(STEPS_PER_TRACE):
            steps = steps_from(RULES, state)
            if not steps:
                break
            label, after = generator.choice(steps)
            if replay.apply_step(label):
                state = after
                applied_labels.add(label)
                with self.subTest(label=label):
                    replay.check(self, state)
        return applied_labels


EXPECTED_LABELS = {
    "owner attaches w0",
    "owner attaches w0, reply lost",
    "owner dies",
    "owner hands over",
    "owner records",
    "owner expires w0",
    "owner starts task on w0",
    "owner starts task on w0, reply lost",
    "owner starts task on w0, order delayed",
    "owner acquires the shard",
    "order arrives at w0",
    "w0 sends a heartbeat",
    "w0 sends a heartbeat, reply lost",
    "w0 checkpoints the task",
    "w0 finishes the task",
    "lease of w0 expires",
}
