"""Model of two leases: the owner's store lease, and the lease that an owner gives a worker.

All clocks tick together, but each may skip one tick per lease, which models drift. Replies
arrive late or not at all. A process may be killed, or take no step for a while, as if frozen.
"""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.tuples import replaced

__all__ = ["LeaseRules", "LeaseState", "build_leases"]

PROCESS_COUNT = 2
OWNER_LEASE_TICKS = 3
WORKER_LEASE_TICKS = 2
MARGIN_TICKS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRules:
    """The rules of the protocol, of which a variant weakens one.

    Attributes:
        max_epochs: bound of the search: how often the shard may be acquired.
        owner_counts_from_request: whether an owner counts its lease from when it sent the request,
            not from when the reply arrived.
        worker_counts_from_request: the same for a worker's lease.
        owner_margin: ticks by which an owner counts its lease shorter than the store does.
        worker_margin: ticks by which an owner counts a worker's lease longer than the worker does.
        waits_for_leases: whether a new owner assumes that a worker lease given by an earlier owner
            may still be valid.
        fences_epochs: whether an owner and a worker ignore each other's messages if their epochs
            differ.
    """

    max_epochs: int = 2
    owner_counts_from_request: bool = True
    worker_counts_from_request: bool = True
    owner_margin: int = MARGIN_TICKS
    worker_margin: int = MARGIN_TICKS
    waits_for_leases: bool = True
    fences_epochs: bool = True


class Store(NamedTuple):
    """The owner key in the store and its lease; `holder` is -1 if there is no key."""

    holder: int = -1
    lease_ticks: int = 0
    epoch: int = 0


class Process(NamedTuple):
    """A process's view of the leases.

    Attributes:
        epoch: epoch in which it owns the shard, 0 if it is no owner.
        owned_ticks: ticks for which it still considers itself the owner.
        may_skip_tick: whether its clock may still skip a tick of its current lease.
        worker_lease_ticks: ticks until it considers the worker's lease expired.
        renewal_age: ticks since the pending renewal request was sent, -1 if none is pending.
        may_skip_next_tick: whether its clock may still skip a tick of the requested lease.
    """

    epoch: int = 0
    owned_ticks: int = 0
    may_skip_tick: bool = True
    worker_lease_ticks: int = 0
    renewal_age: int = -1
    may_skip_next_tick: bool = True


class Worker(NamedTuple):
    """A worker.

    Attributes:
        epoch: highest epoch that has attached it.
        lease_ticks: ticks for which its lease is still valid.
        may_skip_tick: whether its clock may still skip a tick of its current lease.
        reply_epoch: epoch of the heartbeat reply that is in transit, 0 if there is none.
        reply_age: ticks since the heartbeat of that reply was sent.
        may_skip_next_tick: whether its clock may still skip a tick of the lease in that reply.
    """

    epoch: int = 0
    lease_ticks: int = 0
    may_skip_tick: bool = True
    reply_epoch: int = 0
    reply_age: int = 0
    may_skip_next_tick: bool = True


class LeaseState(NamedTuple):
    """A state of the model."""

    store: Store
    processes: tuple[Process, ...]
    worker: Worker


LeaseStep = tuple[str, LeaseState]

INITIAL_STATE = LeaseState(Store(), (Process(),) * PROCESS_COUNT, Worker())


def build_leases(rules: LeaseRules) -> Protocol:
    """Returns the lease model with the given rules."""
    model = _Model(rules)
    return Protocol(
        name="leases",
        candidate=False,
        fields=LeaseState._fields,
        initial=INITIAL_STATE,
        transitions=lambda state: list(model.steps(LeaseState(*state))),
        invariants={
            "one_owner": lambda d: sum(p.owned_ticks > 0 for p in d["processes"]) <= 1,
            "lapse_is_seen_after_it_happened": _is_expiry_safe,
        },
    )


def _is_expiry_safe(state: dict[str, object]) -> bool:
    processes, worker = state["processes"], state["worker"]
    return worker.lease_ticks == 0 or all(
        p.owned_ticks == 0 or p.worker_lease_ticks > 0 for p in processes
    )


class _Model:
    def __init__(self, rules: LeaseRules) -> None:
        self._rules = rules

    def steps(self, state: LeaseState) -> Iterator[LeaseStep]:
        yield from self._tick_steps(state)
        for p, process in enumerate(state.processes):
            if process.epoch:
                yield f"p{p} is killed", _with_process(state, p, Process())
                yield from self._renewal_steps(state, p)
                yield from self._worker_steps(state, p)
            elif state.store.holder < 0 and state.store.epoch < self._rules.max_epochs:
                yield f"p{p} acquires the shard", self._acquire(state, p)
        yield from self._reply_steps(state)

    def _tick_steps(self, state: LeaseState) -> Iterator[LeaseStep]:
        yield "tick", self._tick(state, None)
        for p, process in enumerate(state.processes):
            if process.owned_ticks and process.may_skip_tick and process.may_skip_next_tick:
                yield f"tick skipped by p{p}", self._tick(state, p)
        worker = state.worker
        if (
            (worker.lease_ticks or worker.reply_epoch)
            and worker.may_skip_tick
            and worker.may_skip_next_tick
        ):
            yield "tick skipped by the worker", self._tick(state, PROCESS_COUNT)

    def _tick(self, state: LeaseState, slow_index: int | None) -> LeaseState:
        store = state.store
        if store.holder >= 0:
            holder = store.holder if store.lease_ticks > 1 else -1
            store = store._replace(lease_ticks=store.lease_ticks - 1, holder=holder)
        processes = tuple(
            _advance_process(p, i == slow_index) for i, p in enumerate(state.processes)
        )
        worker = _advance_worker(state.worker, slow_index == PROCESS_COUNT)
        return LeaseState(store, processes, worker)

    def _acquire(self, state: LeaseState, p: int) -> LeaseState:
        """Mirrors `OwnerLease.acquire`."""
        epoch = state.store.epoch + 1
        worker_lease_ticks = (
            WORKER_LEASE_TICKS + self._rules.worker_margin if self._rules.waits_for_leases else 0
        )
        owned_ticks = OWNER_LEASE_TICKS - self._rules.owner_margin
        acquired = Process(
            epoch=epoch, owned_ticks=owned_ticks, worker_lease_ticks=worker_lease_ticks
        )
        return _with_process(state._replace(store=Store(p, OWNER_LEASE_TICKS, epoch)), p, acquired)

    def _renewal_steps(self, state: LeaseState, p: int) -> Iterator[LeaseStep]:
        """Mirrors `OwnerLease.renew`.

        The store renews the lease when the request is sent; the reply arrives later or never.
        """
        process, store = state.processes[p], state.store
        if store.holder == p and store.epoch == process.epoch and process.renewal_age < 0:
            renewed = state._replace(store=store._replace(lease_ticks=OWNER_LEASE_TICKS))
            requesting = process._replace(renewal_age=0, may_skip_next_tick=True)
            yield f"p{p} requests a renewal", _with_process(renewed, p, requesting)
        if process.renewal_age < 0:
            return
        age = process.renewal_age if self._rules.owner_counts_from_request else 0
        owned_ticks = max(process.owned_ticks, OWNER_LEASE_TICKS - self._rules.owner_margin - age)
        may_skip_tick = (
            process.may_skip_next_tick
            if owned_ticks > process.owned_ticks
            else process.may_skip_tick
        )
        renewed_process = process._replace(
            owned_ticks=owned_ticks,
            renewal_age=-1,
            may_skip_tick=may_skip_tick,
            may_skip_next_tick=True,
        )
        yield f"p{p} receives the renewal", _with_process(state, p, renewed_process)
        timed_out = process._replace(renewal_age=-1, may_skip_next_tick=True)
        yield f"p{p} receives no reply", _with_process(state, p, timed_out)

    def _worker_steps(self, state: LeaseState, p: int) -> Iterator[LeaseStep]:
        """Mirrors `WorkerModel.attach`, and `Shard.heartbeat` at a process that counts as owner."""
        process, worker = state.processes[p], state.worker
        if process.owned_ticks == 0:
            return
        if worker.epoch < process.epoch:
            attached = worker._replace(epoch=process.epoch)
            yield f"p{p} attaches the worker", state._replace(worker=attached)
        is_known = worker.epoch == process.epoch or not self._rules.fences_epochs
        if is_known and not worker.reply_epoch:
            granted = process._replace(
                worker_lease_ticks=WORKER_LEASE_TICKS + self._rules.worker_margin
            )
            heartbeat_sent = worker._replace(reply_epoch=process.epoch)
            yield f"the worker sends p{p} a heartbeat", _with_process(state, p, granted)._replace(
                worker=heartbeat_sent
            )

    def _reply_steps(self, state: LeaseState) -> Iterator[LeaseStep]:
        """Mirrors `WorkerModel.apply_heartbeat_answer`."""
        worker = state.worker
        if not worker.reply_epoch:
            return
        age = worker.reply_age if self._rules.worker_counts_from_request else 0
        lease = max(worker.lease_ticks, WORKER_LEASE_TICKS - age)
        if worker.reply_epoch == worker.epoch or not self._rules.fences_epochs:
            may_skip_tick = (
                worker.may_skip_next_tick if lease > worker.lease_ticks else worker.may_skip_tick
            )
            renewed = Worker(worker.epoch, lease, may_skip_tick)
            yield "the worker receives the reply", state._replace(worker=renewed)
        timed_out = worker._replace(reply_epoch=0, reply_age=0, may_skip_next_tick=True)
        yield "the worker receives no reply", state._replace(worker=timed_out)


def _advance_process(process: Process, is_slow: bool) -> Process:
    worker_lease_ticks = max(0, process.worker_lease_ticks - 1)
    if is_slow:
        return process._replace(
            may_skip_tick=False, may_skip_next_tick=False, worker_lease_ticks=worker_lease_ticks
        )
    renewal_age = process.renewal_age + 1 if 0 <= process.renewal_age < OWNER_LEASE_TICKS else -1
    return process._replace(
        owned_ticks=max(0, process.owned_ticks - 1),
        worker_lease_ticks=worker_lease_ticks,
        renewal_age=renewal_age,
    )


def _advance_worker(worker: Worker, is_slow: bool) -> Worker:
    if is_slow:
        return worker._replace(may_skip_tick=False, may_skip_next_tick=False)
    worker = worker._replace(lease_ticks=max(0, worker.lease_ticks - 1))
    if not worker.reply_epoch:
        return worker
    if worker.reply_age == WORKER_LEASE_TICKS:
        return worker._replace(reply_epoch=0, reply_age=0, may_skip_next_tick=True)
    return worker._replace(reply_age=worker.reply_age + 1)


def _with_process(state: LeaseState, p: int, process: Process) -> LeaseState:
    return state._replace(processes=replaced(state.processes, p, process))
