"""Scheduling of one shard: the state of its workers and tasks, and the start orders to send."""

import dataclasses
from collections.abc import Iterable

from pollengate.handover import Assignment
from pollengate.job_entry import ChangeLog, JobEntry
from pollengate.jobs import ON_WORKER_STATES, JobSpec, Resources, Task, TaskState
from pollengate.ledger_records import JobRecord
from pollengate.placement import Placement, PlacementRequest
from pollengate.recovery import Recovery
from pollengate.task_outcomes import NullOutcomeListener, TaskOutcomeListener
from pollengate.task_queue import TaskQueue
from pollengate.task_table import TaskTable, ref_of, tasks_of
from pollengate.virtual_machines import VirtualMachine
from pollengate.worker import Heartbeat, HeartbeatReply, OrderReply, TaskOrder, TaskRef, TaskReport
from pollengate.worker_entry import (
    START_WINDOW_S,
    WORKER_LEASE_S,
    StopOrder,
    WorkerEntry,
    WorkerState,
)
from pollengate.worker_table import WorkerTable

__all__ = ["Shard", "StartOrders", "WORKER_LEASE_S", "WorkerEntry", "WorkerState"]


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrders:
    """Start orders for one worker whose tasks already count against its capacity.

    Attributes:
        worker_id: the worker.
        orders: one order per task.
        has_intents: whether the ledger must record intents before the orders are sent.
    """

    worker_id: str
    orders: tuple[TaskOrder, ...]
    has_intents: bool = False


class Shard:
    """Scheduling state of one shard, without input or output and without a clock.

    Callers carry out the orders that it returns and pass the current loop time as `now`.

    Attributes:
        workers: workers of the shard.
    """

    def __init__(
        self,
        placement: Placement,
        queue: TaskQueue,
        epoch: int = 0,
        outcomes: TaskOutcomeListener | None = None,
    ) -> None:
        self.workers = WorkerTable(placement)
        self._tasks = TaskTable(
            epoch, placement, queue, self.workers, outcomes or NullOutcomeListener()
        )
        self._placement = placement
        self._queue = queue
        self._recovery = Recovery()

    @property
    def workers_by_id(self) -> dict[str, WorkerEntry]:
        """Workers of the shard by their id."""
        return self.workers.by_id

    @property
    def jobs_by_id(self) -> dict[str, JobEntry]:
        """Jobs of the shard by their id; the ledger has recorded all of them."""
        return self._tasks.jobs_by_id

    @property
    def changes(self) -> ChangeLog:
        """Changes that the ledger has not recorded yet."""
        return self._tasks.changes

    @property
    def queued_count(self) -> int:
        """Number of tasks that are waiting for a worker."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Number of tasks that are on a worker or may be on one."""
        return sum(len(worker.task_ids) for worker in self.workers_by_id.values())

    @property
    def is_recovered(self) -> bool:
        """Whether every worker that may hold a lease has reported or its lease has expired."""
        return self._recovery.is_finished

    def accept(self, spec: JobSpec) -> JobEntry:
        """Adds a new job that the ledger has recorded, or returns it if it is already known."""
        known = self.jobs_by_id.get(spec.job_id)
        if known is not None:
            return known
        job = self._tasks.add(spec)
        for task in job.tasks_by_id.values():
            self._tasks.enqueue(task)
        return job

    def admit(self, record: JobRecord) -> JobEntry:
        """Adds a job that was transferred from another shard and has no running task."""
        known = self.jobs_by_id.get(record.spec.job_id)
        if known is not None:
            return known
        job = self.restore(record)
        for task in job.tasks_by_id.values():
            self._resume_or_end(job, task)
        return job

    def restore(self, record: JobRecord) -> JobEntry:
        """Adds a job from the ledger without queuing its tasks.

        `begin_recovery` or `apply_handover` then decides which of them may start.
        """
        job = self._tasks.add(record.spec)
        job.is_cancelled = record.is_cancelled
        tasks = list(job.tasks_by_id.values())
        for state, indices in record.ended_by_state.items():
            for index in indices:
                if tasks[index].state is TaskState.QUEUED:
                    job.restore(tasks[index], state)
        for index, checkpoint in record.checkpoints_by_index.items():
            tasks[index].checkpoint = checkpoint.value
            tasks[index].epoch = checkpoint.epoch
            tasks[index].attempt = checkpoint.attempt
        for index in record.intents:
            tasks[index].has_intent = True
        self._tasks.record_end(job)
        return job

    def begin_recovery(
        self, workers: Iterable[VirtualMachine], previous_leases_expire_at: float
    ) -> None:
        """Queues restored tasks, except those that may run on a worker that has not reported yet.

        Args:
            workers: workers that the ledger names as possible holders of leases.
            previous_leases_expire_at: loop time by which all leases given by an earlier owner
                have expired.
        """
        self._add_recorded(workers, previous_leases_expire_at)
        self._recovery.begin(self.workers_by_id)
        for job, task in tasks_of(self.jobs_by_id.values()):
            if task.state is TaskState.QUEUED and (task.spec.idempotent or task.has_intent):
                job.transition(task, "recovered")
                self._recovery.hold(task)
            self._resume_or_end(job, task)
        self._finish_recovery()

    def apply_handover(
        self,
        assignments: Iterable[Assignment],
        workers: Iterable[VirtualMachine],
        previous_leases_expire_at: float,
    ) -> None:
        """Restores the assignments that the previous owner handed over and queues the other tasks.

        Args:
            assignments: every task that runs or may run, with its worker.
            workers: workers that the ledger names as possible holders of leases.
            previous_leases_expire_at: loop time by which all leases given by the previous owner
                have expired.
        """
        self._add_recorded(workers, previous_leases_expire_at)
        for assignment in assignments:
            found = self._tasks.find(assignment.task_id)
            if found is not None and found[1].state is TaskState.QUEUED:
                self._tasks.adopt(
                    found[1], assignment.worker_id, assignment.epoch, assignment.attempt
                )
        for job, task in tasks_of(self.jobs_by_id.values()):
            self._resume_or_end(job, task)

    def attach(
        self, worker_id: str, session: int, reports: Iterable[TaskReport], now: float
    ) -> list[TaskRef]:
        """Attaches a worker and applies its full report.

        Tasks that were assigned to the worker and are not in the report no longer run there.

        Args:
            worker_id: the worker.
            session: session of the attach call; the reply to an earlier session is ignored.
            reports: every attempt on the worker that runs or whose end is not acknowledged.
            now: loop time.

        Returns:
            Running attempts that the worker must stop.
        """
        entry = self.workers_by_id.get(worker_id)
        if entry is None or session != entry.session:
            return []
        self.workers.attach(entry, now)
        listed = list(reports)
        reported = {report.ref.task_id for report in listed if self._tasks.is_newest(report.ref)}
        for task_id in sorted(entry.task_ids - reported):
            self._tasks.mark_absent(*self._tasks.get(task_id))
        unknown = self._apply_reports(worker_id, listed)
        self._recovery.stop_awaiting(worker_id)
        self._finish_recovery()
        return unknown

    def require_reattach(self, worker_id: str) -> None:
        """Detaches a worker that a start order may still reach; it must be attached again."""
        entry = self.workers_by_id.get(worker_id)
        if entry is not None:
            self.workers.detach(entry, "doubted")

    def plan_starts(self, limit: int) -> list[StartOrders]:
        """Assigns queued tasks to workers; they count against the workers' capacity from now on.

        The caller must first check that it owns the shard and that its configuration is fresh.

        Args:
            limit: maximum number of tasks to consider.
        """
        orders_by_worker: dict[str, list[TaskOrder]] = {}
        with_intents: set[str] = set()

        def place(request: PlacementRequest) -> bool:
            worker_id = self._placement.place(request)
            if worker_id is None:
                return False
            order = self._tasks.assign(request.task_id, worker_id)
            orders_by_worker.setdefault(worker_id, []).append(order)
            if self._tasks.get(request.task_id)[1].has_intent:
                with_intents.add(worker_id)
            return True

        self._queue.offer_tasks(place, limit)
        return [
            StartOrders(worker_id, tuple(orders), worker_id in with_intents)
            for worker_id, orders in orders_by_worker.items()
        ]

    def apply_start_replies(self, replies: Iterable[OrderReply]) -> None:
        """Applies a worker's replies to start orders."""
        for reply in replies:
            self._tasks.apply_start_reply(reply)

    def withdraw_starts(self, orders: Iterable[TaskOrder]) -> None:
        """Requeues the tasks of start orders that were certainly never sent."""
        for order in orders:
            self._tasks.apply_start_reply(OrderReply(order.ref, False))

    def heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatReply:
        """Renews a worker's lease and applies the reports of its heartbeat."""
        if not self.workers.renew(heartbeat, now):
            return HeartbeatReply(accepted=False)
        unknown = self._apply_reports(heartbeat.worker_id, heartbeat.reports)
        acknowledged = [
            report.ref for report in heartbeat.reports if self._tasks.may_acknowledge(report)
        ]
        return HeartbeatReply(
            True, WORKER_LEASE_S, tuple(acknowledged), tuple(unknown), START_WINDOW_S
        )

    def expire_workers(self, now: float) -> None:
        """Calls `expire_worker` for each worker whose lease has expired on every clock."""
        for entry in self.workers.find_expired(now):
            self.expire_worker(entry)

    def expire_worker(self, entry: WorkerEntry) -> None:
        """Detaches a worker whose lease has expired on every clock and releases its tasks.

        The tasks are queued again, or end if they were cancelled or must not run twice.
        """
        self._recovery.stop_awaiting(entry.vm.vm_id)
        if entry.state is WorkerState.ATTACHED:
            self.workers.detach(entry, "lapsed")
        for task_id in sorted(entry.task_ids):
            self._tasks.mark_absent(*self._tasks.get(task_id))
        self.workers.forget_unlisted(entry)
        self._finish_recovery()

    def apply_vm_listing(
        self, machines: Iterable[VirtualMachine], previous_leases_expire_at: float
    ) -> None:
        """Applies a VM listing and evicts tasks from workers that are leaving.

        Args:
            machines: the listed workers of this shard.
            previous_leases_expire_at: loop time by which all leases given by an earlier owner
                have expired.
        """
        for entry in self.workers.apply_vm_listing(machines, previous_leases_expire_at):
            for task_id in sorted(entry.task_ids):
                if task_id not in entry.stops_by_task:
                    self.evict(task_id)

    def evict(self, task_id: str, checkpoint: bool = True) -> bool:
        """Orders a task to be stopped and requeued; returns False if it can't be evicted.

        Args:
            task_id: the task.
            checkpoint: whether the worker should save a checkpoint, if possible.
        """
        return self._tasks.evict(task_id, checkpoint)

    def cancel(self, job_id: str) -> JobEntry:
        """Cancels a job whose cancellation the ledger has recorded.

        Tasks that may be running count against capacity until their workers report that they
        have stopped.
        """
        job = self.jobs_by_id[job_id]
        job.is_cancelled = True
        self._tasks.cancel(job)
        return job

    def stop_orders(self, worker_id: str) -> list[StopOrder]:
        """Returns the stop orders for a worker that it has not yet reported as carried out."""
        entry = self.workers_by_id.get(worker_id)
        return list(entry.stops_by_task.values()) if entry is not None else []

    def find_on_worker(self, task_id: str) -> tuple[str, TaskRef] | None:
        """Returns the worker and the newest attempt of a task, None if it is on no worker."""
        found = self._tasks.find(task_id)
        if found is None or found[1].state not in ON_WORKER_STATES:
            return None
        return found[1].worker_id, ref_of(found[1])

    def free(self, worker_id: str) -> Resources:
        """Returns a worker's capacity less the declared resources of its tasks."""
        return self._placement.free(worker_id)

    def pop_departed_tasks(self) -> list[str]:
        """Returns the ids of the tasks that have left their workers since the last call."""
        return self._tasks.pop_departed_tasks()

    def pop_ended_jobs(self) -> list[JobEntry]:
        """Returns the jobs that have ended since the last call."""
        return self._tasks.pop_ended_jobs()

    def suspend(self, job: JobEntry) -> None:
        """Removes the tasks of a job from the queue while it is transferred to another shard."""
        self._tasks.suspend(job)

    def resume(self, job: JobEntry) -> None:
        """Requeues the tasks of a suspended job, which certainly was not transferred."""
        self._tasks.resume(job)

    def forget(self, job_id: str) -> None:
        """Removes a job that has ended or has been transferred to another shard."""
        self._tasks.forget(job_id)

    def assignments(self) -> list[Assignment]:
        """Returns the worker of every task that runs or may run.

        The result is complete only if `is_recovered`.
        """
        found = []
        for worker_id, entry in self.workers_by_id.items():
            for task_id in sorted(entry.task_ids):
                _, task = self._tasks.get(task_id)
                found.append(Assignment(task_id, worker_id, task.epoch, task.attempt))
        return found

    def _add_recorded(
        self, workers: Iterable[VirtualMachine], previous_leases_expire_at: float
    ) -> None:
        for vm in workers:
            self.workers.add(vm, previous_leases_expire_at).is_recorded = True

    def _resume_or_end(self, job: JobEntry, task: Task) -> None:
        if task.state is TaskState.QUEUED and task.has_intent:
            self._tasks.mark_absent(job, task)
        elif job.is_cancelled:
            self._tasks.cancel_task(job, task)
        elif task.state is TaskState.QUEUED:
            self._tasks.enqueue(task)

    def _apply_reports(self, worker_id: str, reports: Iterable[TaskReport]) -> list[TaskRef]:
        return [report.ref for report in reports if self._tasks.apply_report(worker_id, report)]

    def _finish_recovery(self) -> None:
        for task in self._recovery.pop_not_running():
            self._tasks.mark_absent(self.jobs_by_id[task.spec.job_id], task)
