"""Model of the leases: the owner's at the store, and a worker's at its owner.

Clocks tick together, but each may skip one tick of a lease (drift). Answers arrive late or
not at all. Processes may be killed, or take no step for a while (frozen).
"""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.tuples import replaced

__all__ = ["LeaseRules", "LeaseState", "build_leases"]

PROCESSES = 2
OWNER_LEASE = 3
WORKER_LEASE = 2
MARGIN = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRules:
    """The rules of the protocol, of which a variant weakens one.

    `epochs` bounds how often the shard may be taken.
    """

    epochs: int = 2
    owner_counts_from_request: bool = True
    worker_counts_from_request: bool = True
    owner_margin: int = MARGIN
    worker_margin: int = MARGIN
    waits_for_leases: bool = True
    fences_epochs: bool = True


class Store(NamedTuple):
    """The owner key and its lease."""

    holder: int = -1
    lease: int = 0
    epoch: int = 0


class Process(NamedTuple):
    """What a process believes.

    `lapse` counts down to the lapse of the worker's lease; `asked` is the age of a renewal
    on its way, -1 for none; its clock may skip a tick of each lease, `may_skip` for the one
    that it counts and `may_skip_next` for the one that it asked for.
    """

    epoch: int = 0
    belief: int = 0
    may_skip: bool = True
    lapse: int = 0
    asked: int = -1
    may_skip_next: bool = True


class Worker(NamedTuple):
    """A worker; `answer` is the epoch of an answer on its way, `age` how old it is."""

    epoch: int = 0
    lease: int = 0
    may_skip: bool = True
    answer: int = 0
    age: int = 0
    may_skip_next: bool = True


class LeaseState(NamedTuple):
    """A state of the model."""

    store: Store
    processes: tuple[Process, ...]
    worker: Worker


LeaseStep = tuple[str, LeaseState]

INITIAL = LeaseState(Store(), (Process(),) * PROCESSES, Worker())


def build_leases(rules: LeaseRules) -> Protocol:
    """Returns the model under some rules."""
    model = _Model(rules)
    return Protocol(
        name="leases",
        candidate=False,
        fields=LeaseState._fields,
        initial=INITIAL,
        transitions=lambda state: list(model.steps(LeaseState(*state))),
        invariants={
            "one_owner": lambda d: sum(p.belief > 0 for p in d["processes"]) <= 1,
            "lapse_is_seen_after_it_happened": _is_lapse_safe,
        },
    )


def _is_lapse_safe(state: dict[str, object]) -> bool:
    processes, worker = state["processes"], state["worker"]
    return worker.lease == 0 or all(p.belief == 0 or p.lapse > 0 for p in processes)


class _Model:
    def __init__(self, rules: LeaseRules) -> None:
        self._rules = rules

    def steps(self, state: LeaseState) -> Iterator[LeaseStep]:
        yield from self._ticks(state)
        for p, process in enumerate(state.processes):
            if process.epoch:
                yield f"p{p} is killed", _put(state, p, Process())
                yield from self._renewals(state, p)
                yield from self._worker_steps(state, p)
            elif state.store.holder < 0 and state.store.epoch < self._rules.epochs:
                yield f"p{p} takes", self._take(state, p)
        yield from self._answers(state)

    def _ticks(self, state: LeaseState) -> Iterator[LeaseStep]:
        yield "tick", self._tick(state, None)
        for p, process in enumerate(state.processes):
            if process.belief and process.may_skip and process.may_skip_next:
                yield f"tick without p{p}", self._tick(state, p)
        worker = state.worker
        if (worker.lease or worker.answer) and worker.may_skip and worker.may_skip_next:
            yield "tick without the worker", self._tick(state, PROCESSES)

    def _tick(self, state: LeaseState, slow: int | None) -> LeaseState:
        store = state.store
        if store.holder >= 0:
            holder = store.holder if store.lease > 1 else -1
            store = store._replace(lease=store.lease - 1, holder=holder)
        processes = tuple(_age(p, i == slow) for i, p in enumerate(state.processes))
        worker = _age_worker(state.worker, slow == PROCESSES)
        return LeaseState(store, processes, worker)

    def _take(self, state: LeaseState, p: int) -> LeaseState:
        """OwnerLease.take."""
        epoch = state.store.epoch + 1
        lapse = WORKER_LEASE + self._rules.worker_margin if self._rules.waits_for_leases else 0
        belief = OWNER_LEASE - self._rules.owner_margin
        taken = Process(epoch=epoch, belief=belief, lapse=lapse)
        return _put(state._replace(store=Store(p, OWNER_LEASE, epoch)), p, taken)

    def _renewals(self, state: LeaseState, p: int) -> Iterator[LeaseStep]:
        """OwnerLease.renew: the store renews when asked, the answer comes later or never."""
        process, store = state.processes[p], state.store
        if store.holder == p and store.epoch == process.epoch and process.asked < 0:
            renewed = state._replace(store=store._replace(lease=OWNER_LEASE))
            asking = process._replace(asked=0, may_skip_next=True)
            yield f"p{p} asks for a renewal", _put(renewed, p, asking)
        if process.asked < 0:
            return
        age = process.asked if self._rules.owner_counts_from_request else 0
        belief = max(process.belief, OWNER_LEASE - self._rules.owner_margin - age)
        may_skip = process.may_skip_next if belief > process.belief else process.may_skip
        answered = process._replace(belief=belief, asked=-1, may_skip=may_skip, may_skip_next=True)
        yield f"p{p} is renewed", _put(state, p, answered)
        unheard = process._replace(asked=-1, may_skip_next=True)
        yield f"p{p} hears nothing", _put(state, p, unheard)

    def _worker_steps(self, state: LeaseState, p: int) -> Iterator[LeaseStep]:
        """WorkerModel.attach, and Shard.heartbeat by an owner that believes it is one."""
        process, worker = state.processes[p], state.worker
        if process.belief == 0:
            return
        if worker.epoch < process.epoch:
            attached = worker._replace(epoch=process.epoch)
            yield f"p{p} attaches the worker", state._replace(worker=attached)
        is_known = worker.epoch == process.epoch or not self._rules.fences_epochs
        if is_known and not worker.answer:
            granted = process._replace(lapse=WORKER_LEASE + self._rules.worker_margin)
            asked = worker._replace(answer=process.epoch)
            yield f"the worker beats to p{p}", _put(state, p, granted)._replace(worker=asked)

    def _answers(self, state: LeaseState) -> Iterator[LeaseStep]:
        """WorkerModel.take_answer."""
        worker = state.worker
        if not worker.answer:
            return
        age = worker.age if self._rules.worker_counts_from_request else 0
        lease = max(worker.lease, WORKER_LEASE - age)
        if worker.answer == worker.epoch or not self._rules.fences_epochs:
            may_skip = worker.may_skip_next if lease > worker.lease else worker.may_skip
            renewed = Worker(worker.epoch, lease, may_skip)
            yield "the worker is renewed", state._replace(worker=renewed)
        unheard = worker._replace(answer=0, age=0, may_skip_next=True)
        yield "the worker hears nothing", state._replace(worker=unheard)


def _age(process: Process, is_slow: bool) -> Process:
    lapse = max(0, process.lapse - 1)
    if is_slow:
        return process._replace(may_skip=False, may_skip_next=False, lapse=lapse)
    asked = process.asked + 1 if 0 <= process.asked < OWNER_LEASE else -1
    return process._replace(belief=max(0, process.belief - 1), lapse=lapse, asked=asked)


def _age_worker(worker: Worker, is_slow: bool) -> Worker:
    if is_slow:
        return worker._replace(may_skip=False, may_skip_next=False)
    worker = worker._replace(lease=max(0, worker.lease - 1))
    if not worker.answer:
        return worker
    if worker.age == WORKER_LEASE:
        return worker._replace(answer=0, age=0, may_skip_next=True)
    return worker._replace(age=worker.age + 1)


def _put(state: LeaseState, p: int, process: Process) -> LeaseState:
    return state._replace(processes=replaced(state.processes, p, process))
