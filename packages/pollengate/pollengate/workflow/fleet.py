"""The workers of a shard: their capacity, their runs and whether they may get new tasks."""

import dataclasses
from collections.abc import Iterable

from pollengate.workflow.leases import PreviousLeases, WorkerLease
from pollengate.workflow.model import Demand, Worker, WorkerCondition
from pollengate.workflow.progress import Run

__all__ = ["Fleet", "OrderTokens", "WorkerView"]

# Estimated use of a serving task, as a share of the processors that it declares.
SERVING_USE_SHARE = 0.5


# Workers that were removed and may register again; those that were removed last are kept.
MAX_DEPARTED = 10_000


@dataclasses.dataclass(slots=True)
class OrderTokens:
    """Fencing tokens of this owner's orders to one worker.

    Attributes:
        raised: token to which it was raised, 0 if it was not.
        effective: highest token of an order that may start or stop a run, extend a lease or
            acknowledge; -1 before the first one.
    """

    raised: int = 0
    effective: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class _Departed:
    """What is kept of a worker that was removed: it may know a raised token, or hold a lease."""

    lease: WorkerLease
    order_tokens: OrderTokens
    born_ms: int
    is_fenced: bool


@dataclasses.dataclass(slots=True, eq=False)
class WorkerView:
    """What the shard's owner knows of one worker.

    Attributes:
        info: the newest registration.
        lease: lease of all runs on the worker.
        previous_leases: when the leases of earlier owners have expired, None if it had none.
        is_registered: whether the worker is in the registry.
        is_attached: whether its present incarnation has listed all of its ended runs to this owner.
        is_paging: whether its present incarnation has listed some of its ended runs, but not all.
        is_recorded: whether it is on the stored list of workers, where the next owner finds it;
            no run is started on it before that.
        has_drained: whether its present incarnation was registered as draining.
        trial: run of a task under which workers have crashed; no other run is started beside it.
        lapsed_runs: runs that were lost with the lease while the worker did not reply; it may have
            crashed under them or have been cut off.
        is_replaced: whether another incarnation replies at its address, so that this one is dead.
        born_ms: start time of the incarnation that replied, 0 before the first reply.
        is_fenced: whether that incarnation rejects orders that were meant for earlier ones.
        order_tokens: fencing tokens of the orders to the worker.
        runs: runs that may exist on the worker, by task name and run number.
        committed_millis: millicores declared by tasks other than fillers.
        estimated_use_millis: millicores that those tasks are estimated to use.
        filler_millis: millicores declared by fillers.
        memory_mb: memory declared by all tasks.
        accelerators: devices declared by all tasks.
        serving: runs with a latency target.
        serving_images: number of those runs by image.
        fillers: runs of fillers.
        unavailable_until: clock time before which no run is started on it.
        fillers_blocked_until: clock time before which no filler is placed on it.
        warm_at: clock time from which it runs at full speed after its start.
        is_reserved: whether tasks are kept off it, for fillers that interfere with serving tasks or
            for large tasks.
        is_released: whether it is about to be assigned to another shard.
        lowest_token: lowest fencing token that it accepts.
    """

    info: Worker
    lease: WorkerLease
    previous_leases: PreviousLeases | None = None
    is_registered: bool = True
    is_attached: bool = False
    is_paging: bool = False
    is_recorded: bool = False
    has_drained: bool = False
    trial: Run | None = None
    lapsed_runs: list[Run] = dataclasses.field(default_factory=list)
    is_replaced: bool = False
    born_ms: int = 0
    is_fenced: bool = True
    order_tokens: OrderTokens = dataclasses.field(default_factory=OrderTokens)
    runs: dict[tuple[str, int], Run] = dataclasses.field(default_factory=dict)
    committed_millis: int = 0
    estimated_use_millis: float = 0.0
    filler_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    serving: dict[Run, None] = dataclasses.field(default_factory=dict)
    serving_images: dict[str, int] = dataclasses.field(default_factory=dict)
    fillers: dict[Run, None] = dataclasses.field(default_factory=dict)
    unavailable_until: float = 0.0
    fillers_blocked_until: float = 0.0
    warm_at: float = 0.0
    is_reserved: bool = False
    is_released: bool = False
    lowest_token: int = 0

    @property
    def long_running(self) -> list[Run]:
        """Runs of long-running tasks."""
        return [run for run in self.runs.values() if run.task.step.spec.is_long_running]

    @property
    def is_registration_current(self) -> bool:
        """Whether the registration is of the incarnation that replied, as far as both say.

        Another one may have other labels, and its room is not known before it registers.
        """
        return self.info.born_ms == self.born_ms or not (self.info.born_ms and self.born_ms)

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self.info.worker_id

    def add(self, run: Run) -> None:
        """Adds a run that may exist on the worker and counts its demand."""
        key = (run.task.name, run.number)
        if key not in self.runs:
            self.runs[key] = run
            self._count(run, 1)

    def remove(self, run: Run) -> None:
        """Removes a run that is known to be gone."""
        if self.runs.pop((run.task.name, run.number), None) is not None:
            self._count(run, -1)
        if self.trial is run:
            self.trial = None

    def fits(self, demand: Demand, is_filler: bool) -> bool:
        """Returns True if a task fits next to all runs that may exist on the worker."""
        capacity = self.info.capacity
        if self.memory_mb + demand.memory_mb > capacity.memory_mb:
            return False
        if self.accelerators + demand.accelerators > capacity.accelerators:
            return False
        return is_filler or self.committed_millis + demand.cpu_millis <= capacity.cpu_millis

    def unused_millis(self) -> float:
        """Returns the estimated millicores that no task uses."""
        return self.info.capacity.cpu_millis - self.estimated_use_millis - self.filler_millis

    def _count(self, run: Run, sign: int) -> None:
        spec = run.task.step.spec
        demand = spec.demand
        self.memory_mb += sign * demand.memory_mb
        self.accelerators += sign * demand.accelerators
        if spec.is_filler:
            self.filler_millis += sign * demand.cpu_millis
            _set_member(self.fillers, run, sign > 0)
            return
        self.committed_millis += sign * demand.cpu_millis
        is_serving = spec.target_ms > 0
        self.estimated_use_millis += (
            sign * demand.cpu_millis * (SERVING_USE_SHARE if is_serving else 1.0)
        )
        if is_serving:
            _set_member(self.serving, run, sign > 0)
            count = self.serving_images.get(spec.image, 0) + sign
            self.serving_images[spec.image] = count
            if not count:
                del self.serving_images[spec.image]


class Fleet:
    """The workers of one shard.

    Args:
        lease_s: length of the leases that it grants.
        previous_leases_expire_at: clock time by which the leases of earlier owners have expired on
            workers that were added since.
        max_lease_s: longest lease that a worker accepts, `lease_s` by default.

    Attributes:
        max_lease_s: longest lease that a worker accepts.
        workers_by_id: the workers.
        evacuated_zones: zones whose workers get no tasks.
        listed_ids: workers whose runs the store may list as complete; they get no tasks.
    """

    def __init__(
        self,
        lease_s: float,
        previous_leases_expire_at: float,
        max_lease_s: float | None = None,
    ) -> None:
        self._lease_s = lease_s
        self.max_lease_s = max_lease_s or lease_s
        self._previous_leases_expire_at = previous_leases_expire_at
        self.workers_by_id: dict[str, WorkerView] = {}
        self._departed_by_id: dict[str, _Departed] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.listed_ids: set[str] = set()

    def update(self, workers: Iterable[Worker], now: float) -> None:
        """Applies a complete listing of the registry."""
        registered = {worker.worker_id: worker for worker in workers}
        for worker_id in self.workers_by_id.keys() - registered.keys():
            self.deregister(worker_id)
        for worker in registered.values():
            self.register(worker, now)

    def register(self, worker: Worker, now: float) -> WorkerView:
        """Adds a worker or applies its newest registration."""
        known = self.workers_by_id.get(worker.worker_id)
        if known is None:
            return self._add(worker, now)
        known.is_registered = True
        if worker.condition is WorkerCondition.DRAINING:
            known.has_drained = True
        if known.info.born_ms != worker.born_ms:
            known.warm_at = now + worker.cold_ms / 1000
        known.info = worker
        return known

    def deregister(self, worker_id: str) -> bool:
        """Marks a worker as not registered; returns whether it belongs to the shard."""
        view = self.workers_by_id.get(worker_id)
        if view is None:
            return False
        view.is_registered = False
        return True

    def add_recorded(
        self, worker_id: str, address: str, now: float, previous_leases: PreviousLeases
    ) -> None:
        """Adds a worker that an earlier owner recorded; it may run tasks even if unregistered.

        Args:
            worker_id: the worker.
            address: its address.
            now: clock time.
            previous_leases: when the leases of earlier owners have expired.
        """
        view = self._add(_unregistered(worker_id, address), now)
        view.previous_leases = previous_leases
        view.lease = WorkerLease(self._lease_s, previous_leases.longest_expire_at, self.max_lease_s)
        view.is_registered = False
        view.is_recorded = True

    def forget_departed(self, now: float) -> list[WorkerView]:
        """Removes and returns the workers that left the registry and can have no runs."""
        departed = [
            view
            for view in self.workers_by_id.values()
            if not view.is_registered
            and not view.is_released
            and not view.runs
            and (view.is_attached or view.is_replaced or now >= view.lease.expires_at())
        ]
        for view in departed:
            self._remove(view)
        return departed

    def forget_transferred(self, worker_id: str, lowest_token: int) -> WorkerView | None:
        """Removes and returns a worker if it was assigned to a shard since it was added.

        Args:
            worker_id: the worker's id.
            lowest_token: the lowest fencing token that the worker accepts, which rises when it is
                assigned to a shard.
        """
        view = self.workers_by_id.get(worker_id)
        if view is None or lowest_token <= view.lowest_token:
            return None
        self._remove(view)
        return view

    def is_schedulable(self, view: WorkerView, now: float) -> bool:
        """Returns True if a worker may get new tasks."""
        return self.is_startable(view) and view.trial is None and now >= view.unavailable_until

    def is_startable(self, view: WorkerView) -> bool:
        """Returns True if tasks may start on a worker, whatever runs there and however it fares."""
        return (
            view.is_registered
            and view.is_attached
            and view.is_recorded
            and view.is_registration_current
            and view.worker_id not in self.listed_ids
            and not view.is_released
            and view.info.condition is WorkerCondition.READY
            and view.info.zone not in self.evacuated_zones
        )

    def schedulable_workers(self, service: str, now: float) -> list[WorkerView]:
        """Returns the workers of a service that may get new tasks."""
        return [view for view in self.all_schedulable(now) if view.info.service == service]

    def all_schedulable(self, now: float) -> list[WorkerView]:
        """Returns the workers of all services that may get new tasks."""
        return [view for view in self.workers_by_id.values() if self.is_schedulable(view, now)]

    def _remove(self, view: WorkerView) -> None:
        del self.workers_by_id[view.worker_id]
        self._departed_by_id[view.worker_id] = _Departed(
            view.lease, view.order_tokens, view.born_ms, view.is_fenced
        )
        if len(self._departed_by_id) > MAX_DEPARTED:
            del self._departed_by_id[next(iter(self._departed_by_id))]

    def _add(self, worker: Worker, now: float) -> WorkerView:
        lease = WorkerLease(self._lease_s, self._previous_leases_expire_at, self.max_lease_s)
        view = WorkerView(worker, lease)
        view.warm_at = now + worker.cold_ms / 1000
        view.has_drained = worker.condition is WorkerCondition.DRAINING
        departed = self._departed_by_id.pop(worker.worker_id, None)
        if departed is not None:
            view.lease, view.order_tokens = departed.lease, departed.order_tokens
            view.born_ms, view.is_fenced = departed.born_ms, departed.is_fenced
        self.workers_by_id[worker.worker_id] = view
        return view


def _set_member(members: dict[Run, None], run: Run, is_member: bool) -> None:
    if is_member:
        members[run] = None
    else:
        members.pop(run, None)


def _unregistered(worker_id: str, address: str) -> Worker:
    return Worker(worker_id, "", address, "", WorkerCondition.READY, Demand())
