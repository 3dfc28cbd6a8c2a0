"""Tests of the ownership models, and of the code against their traces."""

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
# What the model says of a worker that holds an old report beside a newer attempt's.
_STATUSES_BY_PRECEDENCE = (RUNNING, FINISHED, CHECKPOINTED)


class ModelTest(unittest.TestCase):
    """The rules hold, and each weakened variant breaks what it must."""

    def test_every_check_is_as_expected(self) -> None:
        for check in ownership.CHECKS:
            with self.subTest(check=check.name):
                outcome = ownership.run_check(check)
                self.assertTrue(ownership.is_as_expected(check, outcome), outcome)

    def test_every_invariant_is_broken_by_some_variant(self) -> None:
        broken = {name for check in ownership.CHECKS for name in check.expected_violations}
        for check in ownership.CHECKS:
            self.assertLessEqual(set(check.build().invariants), broken)


class _TracePlacement(TrackedPlacement):
    """Places every task on the worker that the trace names."""

    worker_id = ""

    def _choose_worker(self, request: PlacementRequest) -> str | None:
        return self.worker_id


class _Replay:
    """Takes the steps of the model on the books and on worker stand-ins."""

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
        """Takes one step; False if the code can't take it where the model could."""
        if label == "owner takes the shard":
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
        changes = self.shard.changes.take()
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
        elif label == f"w{w} lapses":
            model.expire_lease()
        elif label == f"w{w} finishes":
            model.end(model.running()[0], ReportState.FINISHED)
        elif label == f"w{w} checkpoints":
            model.end(model.running()[0], ReportState.CHECKPOINTED)
        elif label.startswith(f"w{w} beats"):
            self._send_heartbeat(model, label.endswith("lost"))
        elif label == f"owner sees w{w} lapse":
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
        answer: HeartbeatReply = self.shard.heartbeat(heartbeat, now)
        if not is_lost:
            model.apply_heartbeat_answer(heartbeat, answer, now)

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
        answers = model.start(self.epoch, session, plan.orders)
        if label.endswith("lost"):
            shard.require_reattach(WORKER_IDS[w])
        else:
            shard.apply_start_replies(answers)
        return True

    @staticmethod
    def _has_unacknowledged_end(model: WorkerModel) -> bool:
        """The model has no worker that holds an unrecorded end beside a new attempt."""
        held = (ReportState.FINISHED, ReportState.CHECKPOINTED)
        return any(report.state in held for report in model.reports())

    def check(self, test: unittest.TestCase, state: StartState) -> None:
        """Compares the code with the model's state."""
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
    """Random traces of the start model, replayed on Shard and WorkerModel."""

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
        """Replays one trace and returns the steps that it took."""
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
    "owner attaches w0, answer lost",
    "owner dies",
    "owner hands over",
    "owner records",
    "owner sees w0 lapse",
    "owner starts at w0",
    "owner starts at w0, answer lost",
    "owner starts at w0, order delayed",
    "owner takes the shard",
    "order arrives at w0",
    "w0 beats",
    "w0 beats, answer lost",
    "w0 checkpoints",
    "w0 finishes",
    "w0 lapses",
}
