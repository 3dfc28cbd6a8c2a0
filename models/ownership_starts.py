"""Model of how one task is started, fenced, checkpointed, evicted, resumed and handed over.

The lease model shows that at most one process acts for a shard at a time, and that a lease
which an owner considers expired has expired. This model assumes both and has no clock. Start
orders of earlier owners may arrive at any later time. A call may be lost before it takes effect,
or its reply after that, and the owner may die at any point.
"""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.tuples import replaced

__all__ = ["StartRules", "StartState", "build_starts", "initial_state", "steps_from"]

WORKER_COUNT = 2
QUEUED, LOST, ENDED, UNKNOWN = -1, -2, -3, -4  # A value of 0 or more is the index of a worker.
IDLE, RUNNING, FINISHED, CHECKPOINTED, STOPPED = range(5)
NO_HANDOVER = -9


@dataclasses.dataclass(frozen=True, slots=True)
class StartRules:
    """The bounds of the search and the rules of the protocol, of which a variant weakens one.

    Attributes:
        max_epochs: how often the shard may be acquired.
        sessions: how often an owner may attach one worker in one epoch.
        hands_over: whether an owner may shut down gracefully and hand its state over.
        reports_checkpoints: whether a task that resumed reports its checkpoint while it runs.
        fences_sessions: whether a worker rejects orders of an earlier session.
        fences_epochs: whether a worker rejects orders of an earlier epoch.
        waits_for_workers: whether a new owner waits for the workers of earlier epochs before it
            starts a task again.
        acknowledges_after_record: whether an owner records a report before it acknowledges it.
        deletes_handover: whether a new owner deletes the handover that it reads.
        records_intents: whether the start of a non-idempotent task is recorded before it is sent.
        is_idempotent: whether the task is idempotent.
    """

    max_epochs: int = 2
    sessions: int = 2
    hands_over: bool = False
    reports_checkpoints: bool = True

    fences_sessions: bool = True
    fences_epochs: bool = True
    waits_for_workers: bool = True
    acknowledges_after_record: bool = True
    deletes_handover: bool = True
    records_intents: bool = True
    is_idempotent: bool = True


class Durable(NamedTuple):
    """The durable state of the shard: its ledger and the handover."""

    epoch: int = 0
    ended: bool = False
    checkpoint: bool = False
    intent: bool = False
    handover: int = NO_HANDOVER


class Owner(NamedTuple):
    """The state of the process that owns the shard; `epoch` is 0 if there is none.

    Attributes:
        epoch: the owner's epoch.
        task: index of the task's worker, or QUEUED, LOST, ENDED or UNKNOWN.
        checkpoint: whether the owner has a checkpoint of the task.
        attached: whether each worker is attached.
        awaited: whether the owner still waits for each worker before its recovery is complete.
        sessions: last session that was opened with each worker.
    """

    epoch: int = 0
    task: int = QUEUED
    checkpoint: bool = False
    attached: tuple[bool, ...] = (False,) * WORKER_COUNT
    awaited: tuple[bool, ...] = (False,) * WORKER_COUNT
    sessions: tuple[int, ...] = (0,) * WORKER_COUNT


class Worker(NamedTuple):
    """One worker; `session` is the last session of `epoch`, the highest epoch that it has seen."""

    epoch: int = 0
    session: int = 0
    has_lease: bool = False
    status: int = IDLE
    resumed: bool = False


class Order(NamedTuple):
    """A start order in transit."""

    epoch: int
    session: int
    checkpoint: bool


class Ghost(NamedTuple):
    """Ghost variables: history that only the invariants read."""

    first_starts: int = 0
    ended: bool = False
    checkpointed: bool = False
    ran_after_end: bool = False
    lost_checkpoint: bool = False


class StartState(NamedTuple):
    """A state of the model."""

    durable: Durable
    owner: Owner
    workers: tuple[Worker, ...]
    delayed_orders: tuple[Order | None, ...]
    ghost: Ghost


StartStep = tuple[str, StartState]

INITIAL_STATE = StartState(
    Durable(), Owner(), (Worker(),) * WORKER_COUNT, (None,) * WORKER_COUNT, Ghost()
)


def build_starts(rules: StartRules) -> Protocol:
    """Returns the start model with the given rules."""
    model = _Model(rules)
    invariants = {
        "one_place": lambda d: sum(w.status == RUNNING for w in d["workers"]) <= 1,
        "no_start_after_the_end": lambda d: not d["ghost"].ran_after_end,
        "resumes_from_its_checkpoint": lambda d: not d["ghost"].lost_checkpoint,
    }
    if not rules.is_idempotent:
        invariants["started_at_most_once"] = lambda d: d["ghost"].first_starts <= 1
    return Protocol(
        name="starts",
        candidate=False,
        fields=StartState._fields,
        initial=INITIAL_STATE,
        transitions=lambda state: [
            (label, _canonical(after)) for label, after in model.steps(StartState(*state))
        ],
        invariants=invariants,
    )


class _Model:
    def __init__(self, rules: StartRules) -> None:
        self._rules = rules

    def steps(self, state: StartState) -> Iterator[StartStep]:
        owner = state.owner
        if owner.epoch:
            yield "owner dies", state._replace(owner=Owner())
            if self._rules.hands_over:
                yield "owner hands over", self._hand_over(state)
            yield from self._record_steps(state)
            for w in range(WORKER_COUNT):
                yield from self._attach_steps(state, w)
                yield from self._heartbeat_steps(state, w)
                yield from self._start_steps(state, w)
                yield from self._worker_expiry_steps(state, w)
        elif state.durable.epoch < self._rules.max_epochs:
            yield "owner acquires the shard", self._take_over(state)
        for w in range(WORKER_COUNT):
            yield from self._worker_steps(state, w)

    def _take_over(self, state: StartState) -> StartState:
        """Mirrors `OwnerLease.acquire`, then `Shard.begin_recovery` or `Shard.apply_handover`."""
        durable = state.durable
        durable = durable._replace(epoch=durable.epoch + 1)
        handover = durable.handover
        if self._rules.deletes_handover:
            durable = durable._replace(handover=NO_HANDOVER)
        if handover != NO_HANDOVER:
            owner = Owner(durable.epoch, handover, durable.checkpoint)
        else:
            waits = self._rules.waits_for_workers and durable.epoch > 1
            task = self._restored_task(durable, waits)
            owner = Owner(durable.epoch, task, durable.checkpoint, awaited=(waits,) * WORKER_COUNT)
        return state._replace(durable=durable, owner=owner)

    def _restored_task(self, durable: Durable, waits: bool) -> int:
        if durable.ended:
            return ENDED
        if not self._rules.is_idempotent and not durable.intent:
            return QUEUED
        return LOST if waits else QUEUED

    def _hand_over(self, state: StartState) -> StartState:
        """Mirrors the graceful shutdown of `ShardOwner`, which ends with `OwnerLease.hand_over`.

        No handover is written while the task is lost.
        """
        owner = state.owner
        durable = _recorded(state)
        if owner.task != LOST:
            durable = durable._replace(handover=owner.task)
        return state._replace(durable=durable, owner=Owner())

    def _record_steps(self, state: StartState) -> Iterator[StartStep]:
        """Mirrors `Ledger.append`."""
        recorded = _recorded(state)
        if recorded != state.durable:
            yield "owner records", state._replace(durable=recorded)
        needs_intent = not self._rules.is_idempotent and state.owner.task == QUEUED
        if needs_intent and not state.durable.intent:
            yield "owner records the intent", state._replace(
                durable=state.durable._replace(intent=True)
            )

    def _attach_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Mirrors `WorkerTable.next_session`, `WorkerModel.attach` and `Shard.attach`."""
        owner, worker = state.owner, state.workers[w]
        session = owner.sessions[w] + 1
        if owner.attached[w] or session > self._rules.sessions:
            return
        with_session = owner._replace(sessions=replaced(owner.sessions, w, session))
        reached = worker._replace(epoch=owner.epoch, session=session)
        after = state._replace(owner=with_session, workers=replaced(state.workers, w, reached))
        yield f"owner attaches w{w}, reply lost", after
        attached_owner = with_session._replace(attached=replaced(with_session.attached, w, True))
        if attached_owner.task == w and worker.status == IDLE:
            attached_owner = attached_owner._replace(task=self._task_if_absent())
        attached_owner = self._apply_report(attached_owner, w, worker)
        attached_owner = attached_owner._replace(awaited=replaced(attached_owner.awaited, w, False))
        yield f"owner attaches w{w}", after._replace(owner=self._finish_recovery(attached_owner))

    def _apply_report(self, owner: Owner, w: int, worker: Worker) -> Owner:
        if owner.task in (ENDED, UNKNOWN):
            return owner
        if worker.status == RUNNING and owner.task in (LOST, QUEUED):
            has_checkpoint = worker.resumed and self._rules.reports_checkpoints
            return owner._replace(task=w, checkpoint=owner.checkpoint or has_checkpoint)
        if worker.status == FINISHED:
            return owner._replace(task=ENDED)
        if worker.status == STOPPED and owner.task == w:
            return owner._replace(task=self._task_if_absent())
        if worker.status == CHECKPOINTED:
            task = QUEUED if owner.task == w else owner.task
            return owner._replace(checkpoint=True, task=task)
        return owner

    def _task_if_absent(self) -> int:
        return QUEUED if self._rules.is_idempotent else UNKNOWN

    def _finish_recovery(self, owner: Owner) -> Owner:
        if owner.task == LOST and not any(owner.awaited):
            return owner._replace(task=self._task_if_absent())
        return owner

    def _heartbeat_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Mirrors `Shard.heartbeat`.

        The reply renews the worker's lease and acknowledges the reports that are recorded.
        """
        owner, worker = state.owner, state.workers[w]
        if not owner.attached[w] or _current_session(worker) != (owner.epoch, owner.sessions[w]):
            return
        reported = state._replace(owner=self._apply_report(owner, w, worker))
        yield f"w{w} sends a heartbeat, reply lost", reported
        renewed = worker._replace(has_lease=True)
        if self._is_acknowledged(state.durable, worker):
            renewed = renewed._replace(status=IDLE)
        yield f"w{w} sends a heartbeat", reported._replace(
            workers=replaced(state.workers, w, renewed)
        )

    def _is_acknowledged(self, durable: Durable, worker: Worker) -> bool:
        acknowledges_early = not self._rules.acknowledges_after_record
        if worker.status == STOPPED:
            return True
        if worker.status == FINISHED:
            return durable.ended or acknowledges_early
        return worker.status == CHECKPOINTED and (durable.checkpoint or acknowledges_early)

    def _start_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Mirrors `Shard.plan_starts` and `WorkerModel.start`.

        The order is confirmed, its reply is lost, or it is delayed.
        """
        owner = state.owner
        if not owner.attached[w] or owner.task != QUEUED:
            return
        if not self._rules.is_idempotent:
            if self._rules.records_intents and not state.durable.intent:
                return
            if not self._rules.records_intents and state.durable.intent:
                return
        order = Order(owner.epoch, owner.sessions[w], owner.checkpoint)
        started, is_accepted = self._deliver(state, w, order)
        if is_accepted:
            yield f"owner starts task on w{w}", started._replace(owner=owner._replace(task=w))
        unconfirmed = owner._replace(task=w, attached=replaced(owner.attached, w, False))
        yield f"owner starts task on w{w}, reply lost", started._replace(owner=unconfirmed)
        if not any(state.delayed_orders):
            delayed = state._replace(delayed_orders=replaced(state.delayed_orders, w, order))
            yield f"owner starts task on w{w}, order delayed", delayed._replace(owner=unconfirmed)

    def _deliver(self, state: StartState, w: int, order: Order) -> tuple[StartState, bool]:
        worker = state.workers[w]
        is_current = order.epoch == worker.epoch or not self._rules.fences_epochs
        if self._rules.fences_sessions and order.epoch == worker.epoch:
            is_current = order.session == worker.session
        if not is_current or not worker.has_lease or worker.status not in (IDLE, STOPPED):
            return state, False
        ghost = state.ghost
        ghost = ghost._replace(
            first_starts=min(2, ghost.first_starts + (not order.checkpoint)),
            ran_after_end=ghost.ran_after_end or ghost.ended,
            lost_checkpoint=ghost.lost_checkpoint or (ghost.checkpointed and not order.checkpoint),
        )
        started = worker._replace(status=RUNNING, resumed=order.checkpoint)
        running = replaced(state.workers, w, started)
        return state._replace(workers=running, ghost=ghost), True

    def _worker_expiry_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Mirrors `Shard.expire_workers`.

        It only applies to a worker whose lease has expired, as the lease model shows.
        """
        owner = state.owner
        if state.workers[w].has_lease:
            return
        if not (owner.attached[w] or owner.awaited[w] or owner.task == w):
            return
        expired = owner._replace(
            attached=replaced(owner.attached, w, False),
            awaited=replaced(owner.awaited, w, False),
            task=self._task_if_absent() if owner.task == w else owner.task,
        )
        yield f"owner expires w{w}", state._replace(owner=self._finish_recovery(expired))

    def _worker_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        worker, order = state.workers[w], state.delayed_orders[w]
        if order is not None:
            arrived, _ = self._deliver(state, w, order)
            yield f"order arrives at w{w}", arrived._replace(
                delayed_orders=replaced(state.delayed_orders, w, None)
            )
        if worker.has_lease:
            yield f"lease of w{w} expires", _expire_lease(state, w)
        if worker.status == RUNNING:
            yield from self._end_steps(state, w)

    def _end_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        finished = replaced(state.workers, w, state.workers[w]._replace(status=FINISHED))
        ghost = state.ghost._replace(ended=True)
        yield f"w{w} finishes the task", state._replace(workers=finished, ghost=ghost)
        if not state.ghost.checkpointed and not state.durable.checkpoint:
            saved = replaced(state.workers, w, state.workers[w]._replace(status=CHECKPOINTED))
            ghost = state.ghost._replace(checkpointed=True)
            yield f"w{w} checkpoints the task", state._replace(workers=saved, ghost=ghost)


def initial_state() -> StartState:
    """Returns the state before the shard has its first owner."""
    return INITIAL_STATE


def steps_from(rules: StartRules, state: StartState) -> list[StartStep]:
    """Returns every step from a state; unlike in the search, workers keep their index."""
    return list(_Model(rules).steps(state))


def _canonical(state: StartState) -> StartState:
    """Returns one representative of the two states that differ only in the order of workers."""
    owner = state.owner
    sort_keys = [
        (w.epoch, w.session, w.has_lease, w.status, w.resumed, o or (), a, b, s, owner.task == n)
        for n, (w, o, a, b, s) in enumerate(
            zip(
                state.workers,
                state.delayed_orders,
                owner.attached,
                owner.awaited,
                owner.sessions,
                strict=True,
            )
        )
    ]
    if sort_keys[0] <= sort_keys[1]:
        return state
    swapped = owner._replace(
        task=1 - owner.task if owner.task >= 0 else owner.task,
        attached=owner.attached[::-1],
        awaited=owner.awaited[::-1],
        sessions=owner.sessions[::-1],
    )
    handover = state.durable.handover
    return state._replace(
        durable=state.durable._replace(handover=1 - handover if handover >= 0 else handover),
        owner=swapped,
        workers=state.workers[::-1],
        delayed_orders=state.delayed_orders[::-1],
    )


def _recorded(state: StartState) -> Durable:
    return state.durable._replace(
        ended=state.durable.ended or state.owner.task == ENDED,
        checkpoint=state.durable.checkpoint or state.owner.checkpoint,
    )


def _expire_lease(state: StartState, w: int) -> StartState:
    """Expires a worker's lease, which stops its task.

    If only this worker holds an unrecorded end or checkpoint, the report may be lost: the task may
    then start again without breaking an invariant.
    """
    worker, durable, ghost = state.workers[w], state.durable, state.ghost
    status = STOPPED if worker.status == RUNNING else worker.status
    if status == FINISHED and not durable.ended:
        ghost = ghost._replace(ended=False)
    if status == CHECKPOINTED and not durable.checkpoint:
        ghost = ghost._replace(checkpointed=False)
    expired = worker._replace(has_lease=False, status=status)
    return state._replace(workers=replaced(state.workers, w, expired), ghost=ghost)


def _current_session(worker: Worker) -> tuple[int, int]:
    return (worker.epoch, worker.session)
