"""Start orders without a response, which their workers may still carry out.

A call without a response may be carried out seconds later. The incarnation that it was sent to
rejects it once it has seen a later run of the task, a stop of the run or a higher token. An
incarnation that begins after that knows none of these, and may be cut off from the owner. So
while such an order may arrive, its task starts on no worker but the one that may carry it out: runs
runs there end with the incarnation that they began on.

The same holds after the run has ended: the incarnation that listed the end rejects the order, one
that begins later does not. So the end is not acknowledged while such an order may arrive. A second
run is then one of a task whose end nobody has taken note of.
"""

import dataclasses
from collections.abc import Sequence

from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.leases import longest_lease_expiry
from pollengate.workflow.progress import Run, TaskProgress
from pollengate.workflow.worker_need import WorkerNeed

__all__ = ["MAX_ORDER_DELAY_S", "UnansweredStart", "UnansweredStarts"]

# An order without a response is carried out within this time after it was sent, or never. The
# platform delays orders by up to 12 s.
MAX_ORDER_DELAY_S = 13.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredStart:
    """The unanswered orders for one run.

    Attributes:
        task: name of the task.
        worker_id: the worker that they were sent to.
        run: number of the run.
        orders: number of orders that may still be carried out.
        arrives_by: clock time after which none of them is carried out.
        is_released: whether the task may start on other workers all the same.
        born_ms: start of the incarnation that the orders were meant for, 0 if it is not known.
    """

    task: str
    worker_id: str
    run: int
    orders: int
    arrives_by: float
    is_released: bool = False
    born_ms: int = 0


class UnansweredStarts:
    """The start orders of one shard that may still be carried out.

    Args:
        fleet: the shard's workers.

    Attributes:
        version: increases with each change of what `list_all` returns.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._by_task_name: dict[str, dict[str, UnansweredStart]] = {}
        self._by_worker_id: dict[str, dict[str, UnansweredStart]] = {}
        self.version = 0

    def __bool__(self) -> bool:
        return bool(self._by_task_name)

    def record(self, run: Run, sent_at: float) -> None:
        """Records that an order, sent at clock time `sent_at`, has had no response."""
        run.task.has_run = True
        if run.task.step.spec.is_speculative:
            return  # its runs may work at the same time
        name = run.task.name
        known = self._by_task_name.get(name, {}).get(run.worker_id)
        orders = known.orders + 1 if known is not None else 1
        arrives_by = sent_at + MAX_ORDER_DELAY_S
        self._add(
            UnansweredStart(
                name, run.worker_id, run.number, orders, arrives_by, born_ms=run.order_born_ms
            )
        )

    def settle(self, task: str, worker_id: str, run: int) -> None:
        """Records that a run of which no order was answered has begun, by one of them."""
        known = self._by_task_name.get(task, {}).get(worker_id)
        if known is None or known.run != run:
            return
        if known.orders == 1:
            self._remove(known)
        else:
            self._add(dataclasses.replace(known, orders=known.orders - 1))

    def release(self, task: str, worker_id: str) -> None:
        """Lets a task that has failed on a worker start on others, though an order may arrive."""
        known = self._by_task_name.get(task, {}).get(worker_id)
        if known is not None and not known.is_released:
            self._add(dataclasses.replace(known, is_released=True))

    def restore(self, start: UnansweredStart) -> None:
        """Adds orders that an earlier owner recorded."""
        self._add(start)

    def list_all(self) -> list[UnansweredStart]:
        """Returns the recorded orders."""
        return [start for starts in self._by_worker_id.values() for start in starts.values()]

    def sent_to(self, worker_id: str) -> list[UnansweredStart]:
        """Returns the recorded orders that were sent to a worker."""
        return list(self._by_worker_id.get(worker_id, {}).values())

    def forget_arrived(self, now: float) -> None:
        """Forgets the orders that no longer matter at clock time `now`."""
        for start in self.list_all():
            if not self._may_run(start, now):
                self._remove(start)

    def may_start_again(self, task: str, now: float) -> bool:
        """Returns True if an order may still be carried out that starts a task."""
        starts = self._by_task_name.get(task)
        return starts is not None and any(self._may_run(start, now) for start in starts.values())

    def may_reach(self, worker_id: str, now: float) -> bool:
        """Returns True if a worker may still carry out such an order, or run what it started."""
        return any(self._may_run(start, now) for start in self.sent_to(worker_id))

    def holds(self, task: TaskProgress, now: float) -> bool:
        """Returns True if a task may not start on all workers."""
        return task.name in self._by_task_name and bool(self._holding_ids(task, now))

    def allowed(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float
    ) -> Sequence[WorkerView]:
        """Returns the workers among `workers` on which a task may start at clock time `now`."""
        if task.name not in self._by_task_name:
            return workers
        holding = self._holding_ids(task, now)
        return [view for view in workers if holding <= {view.worker_id}]

    def _holding_ids(self, task: TaskProgress, now: float) -> set[str]:
        return {
            start.worker_id
            for start in self._by_task_name[task.name].values()
            if not start.is_released
            and self._may_run(start, now)
            and not self._is_gone(start.worker_id, now)
            and not self._is_of_no_use(start, task)
        }

    def _is_of_no_use(self, start: UnansweredStart, task: TaskProgress) -> bool:
        """Whether a worker has come back as a kind that rejects the order and can't run the task.

        Only a further incarnation that starts before the order arrives would carry it out.
        """
        view = self._fleet.workers_by_id.get(start.worker_id)
        queue = task.step.job.queue
        if view is None or queue is None or not (view.is_attached and view.is_fenced):
            return False
        if not view.is_registration_current or start.born_ms in (0, view.born_ms):
            return False
        return not WorkerNeed.of(task.step, queue).is_met_by(view)

    def _is_gone(self, worker_id: str, now: float) -> bool:
        """Whether a worker is neither registered nor replies, so that it carries out no order.

        A worker that is cut off from both the store and this process does not differ from it.
        """
        view = self._fleet.workers_by_id.get(worker_id)
        return view is None or (not view.is_registered and now >= view.lease.expires_at())

    def _may_run(self, start: UnansweredStart, now: float) -> bool:
        """Whether an order may still be carried out, or have started a run that is not known."""
        view = self._fleet.workers_by_id.get(start.worker_id)
        if view is not None and view.is_replaced:
            return False  # the process at its address rejects the order
        if now < start.arrives_by:
            return True
        if view is not None and view.is_attached and view.lease.replied_at >= start.arrives_by:
            return False
        return now < longest_lease_expiry(start.arrives_by, self._fleet.max_lease_s)

    def _add(self, start: UnansweredStart) -> None:
        self._by_task_name.setdefault(start.task, {})[start.worker_id] = start
        self._by_worker_id.setdefault(start.worker_id, {})[start.task] = start
        self.version += 1

    def _remove(self, start: UnansweredStart) -> None:
        for index, key, other_key in (
            (self._by_task_name, start.task, start.worker_id),
            (self._by_worker_id, start.worker_id, start.task),
        ):
            del index[key][other_key]
            if not index[key]:
                del index[key]
        self.version += 1
