"""Model of start, fence, checkpoint, evict, resume and handover of one task.

The lease model shows that at most one process acts for a shard at a time, and that a lease
which an owner counts as lapsed has lapsed; this one takes both as given and has no clock. What
is left of earlier owners is the orders that they sent: each may arrive at any later time.
Answers are lost before or after the effect, and the owner dies at any point.
"""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.tuples import replaced

__all__ = ["StartRules", "StartState", "build_starts", "initial_state", "steps_from"]

WORKER_COUNT = 2
QUEUED, LOST, ENDED, UNKNOWN = -1, -2, -3, -4  # Any other place is the number of a worker.
IDLE, RUNNING, FINISHED, CHECKPOINTED, STOPPED = range(5)
NO_HANDOVER = -9


@dataclasses.dataclass(frozen=True, slots=True)
class StartRules:
    """The rules of the protocol, of which a variant weakens one, and the bound of the search.

    Attributes:
        max_epochs: times that the shard may be taken.
        sessions: attach calls to one worker in one epoch.
        hands_over: whether an owner may stop as planned.
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
    """The ledger of the shard."""

    epoch: int = 0
    ended: bool = False
    checkpoint: bool = False
    intent: bool = False
    handover: int = NO_HANDOVER


class Owner(NamedTuple):
    """The books of the process that owns the shard; `epoch` 0 if none does."""

    epoch: int = 0
    task: int = QUEUED
    checkpoint: bool = False
    attached: tuple[bool, ...] = (False,) * WORKER_COUNT
    awaited: tuple[bool, ...] = (False,) * WORKER_COUNT
    sessions: tuple[int, ...] = (0,) * WORKER_COUNT


class Worker(NamedTuple):
    """One worker; `session` belongs to the highest epoch that it has seen."""

    epoch: int = 0
    session: int = 0
    has_lease: bool = False
    status: int = IDLE
    resumed: bool = False


class Order(NamedTuple):
    """A start order that is on its way."""

    epoch: int
    session: int
    checkpoint: bool


class Ghost(NamedTuple):
    """What happened, for the invariants only."""

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
    """Returns the model under some rules."""
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
            yield from self._records(state)
            for w in range(WORKER_COUNT):
                yield from self._attaches(state, w)
                yield from self._heartbeats(state, w)
                yield from self._starts(state, w)
                yield from self._worker_expiries(state, w)
        elif state.durable.epoch < self._rules.max_epochs:
            yield "owner takes the shard", self._take_over(state)
        for w in range(WORKER_COUNT):
            yield from self._worker_steps(state, w)

    def _take_over(self, state: StartState) -> StartState:
        """OwnerLease.take, then Shard.begin_recovery or Shard.apply_handover."""
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
        """ShardOwner: flush, then OwnerLease.hand_over; refused while work is lost."""
        owner = state.owner
        durable = _recorded(state)
        if owner.task != LOST:
            durable = durable._replace(handover=owner.task)
        return state._replace(durable=durable, owner=Owner())

    def _records(self, state: StartState) -> Iterator[StartStep]:
        """Ledger.append."""
        recorded = _recorded(state)
        if recorded != state.durable:
            yield "owner records", state._replace(durable=recorded)
        needs_intent = not self._rules.is_idempotent and state.owner.task == QUEUED
        if needs_intent and not state.durable.intent:
            yield "owner records the intent", state._replace(
                durable=state.durable._replace(intent=True)
            )

    def _attaches(self, state: StartState, w: int) -> Iterator[StartStep]:
        """WorkerTable.next_session, WorkerModel.attach and Shard.attach."""
        owner, worker = state.owner, state.workers[w]
        session = owner.sessions[w] + 1
        if owner.attached[w] or session > self._rules.sessions:
            return
        tried = owner._replace(sessions=replaced(owner.sessions, w, session))
        reached = worker._replace(epoch=owner.epoch, session=session)
        after = state._replace(owner=tried, workers=replaced(state.workers, w, reached))
        yield f"owner attaches w{w}, answer lost", after
        known = tried._replace(attached=replaced(tried.attached, w, True))
        if known.task == w and worker.status == IDLE:
            known = known._replace(task=self._task_if_absent())
        known = self._apply_report(known, w, worker)
        known = known._replace(awaited=replaced(known.awaited, w, False))
        yield f"owner attaches w{w}", after._replace(owner=self._finish_recovery(known))

    def _apply_report(self, owner: Owner, w: int, worker: Worker) -> Owner:
        if owner.task in (ENDED, UNKNOWN):
            return owner
        if worker.status == RUNNING and owner.task in (LOST, QUEUED):
            knows = worker.resumed and self._rules.reports_checkpoints
            return owner._replace(task=w, checkpoint=owner.checkpoint or knows)
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

    def _heartbeats(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Shard.heartbeat; the answer renews the lease and acknowledges what is recorded."""
        owner, worker = state.owner, state.workers[w]
        if not owner.attached[w] or _current_session(worker) != (owner.epoch, owner.sessions[w]):
            return
        reported = state._replace(owner=self._apply_report(owner, w, worker))
        yield f"w{w} beats, answer lost", reported
        renewed = worker._replace(has_lease=True)
        if self._is_acknowledged(state.durable, worker):
            renewed = renewed._replace(status=IDLE)
        yield f"w{w} beats", reported._replace(workers=replaced(state.workers, w, renewed))

    def _is_acknowledged(self, durable: Durable, worker: Worker) -> bool:
        may_forget = not self._rules.acknowledges_after_record
        if worker.status == STOPPED:
            return True
        if worker.status == FINISHED:
            return durable.ended or may_forget
        return worker.status == CHECKPOINTED and (durable.checkpoint or may_forget)

    def _starts(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Shard.plan_starts and WorkerModel.start, with every fate of the order."""
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
            yield f"owner starts at w{w}", started._replace(owner=owner._replace(task=w))
        unconfirmed = owner._replace(task=w, attached=replaced(owner.attached, w, False))
        yield f"owner starts at w{w}, answer lost", started._replace(owner=unconfirmed)
        if not any(state.delayed_orders):
            delayed = state._replace(delayed_orders=replaced(state.delayed_orders, w, order))
            yield f"owner starts at w{w}, order delayed", delayed._replace(owner=unconfirmed)

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

    def _worker_expiries(self, state: StartState, w: int) -> Iterator[StartStep]:
        """Shard.expire_workers; by the lease model the worker's lease has lapsed."""
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
        yield f"owner sees w{w} lapse", state._replace(owner=self._finish_recovery(expired))

    def _worker_steps(self, state: StartState, w: int) -> Iterator[StartStep]:
        worker, order = state.workers[w], state.delayed_orders[w]
        if order is not None:
            arrived, _ = self._deliver(state, w, order)
            yield f"order arrives at w{w}", arrived._replace(
                delayed_orders=replaced(state.delayed_orders, w, None)
            )
        if worker.has_lease:
            yield f"w{w} lapses", _expire_lease(state, w)
        if worker.status == RUNNING:
            yield from self._ends(state, w)

    def _ends(self, state: StartState, w: int) -> Iterator[StartStep]:
        finished = replaced(state.workers, w, state.workers[w]._replace(status=FINISHED))
        ghost = state.ghost._replace(ended=True)
        yield f"w{w} finishes", state._replace(workers=finished, ghost=ghost)
        if not state.ghost.checkpointed and not state.durable.checkpoint:
            saved = replaced(state.workers, w, state.workers[w]._replace(status=CHECKPOINTED))
            ghost = state.ghost._replace(checkpointed=True)
            yield f"w{w} checkpoints", state._replace(workers=saved, ghost=ghost)


def initial_state() -> StartState:
    """Returns the state before the first owner."""
    return INITIAL_STATE


def steps_from(rules: StartRules, state: StartState) -> list[StartStep]:
    """Returns every step from a state, with the workers' names kept."""
    return list(_Model(rules).steps(state))


def _canonical(state: StartState) -> StartState:
    """Returns the representative of two states that differ by the workers' names only."""
    owner = state.owner
    sides = [
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
    if sides[0] <= sides[1]:
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
    """A worker that is cut off with an end that only it holds excuses another start."""
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
