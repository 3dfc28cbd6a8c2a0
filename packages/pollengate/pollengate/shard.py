"""A shard's books: its workers, its tasks and what may start where."""

import dataclasses
import enum
from collections.abc import Iterable

from pollengate.failure_evidence import Verdict
from pollengate.jobs import JobSpec, Resources, Task, TaskState, task_id_of
from pollengate.placement import Placement, PlacementRequest, request_for
from pollengate.reaction import Action, NoReaction, Observation, Reaction
from pollengate.task_outcomes import NoOutcomes, TaskEnd, TaskOutcomes
from pollengate.task_queue import TaskQueue
from pollengate.virtual_machines import VirtualMachine, VmState
from pollengate.worker import (
    Heartbeat,
    HeartbeatAnswer,
    ReportState,
    TaskAnswer,
    TaskOrder,
    TaskRef,
    TaskReport,
)

__all__ = ["JobBook", "Shard", "StartOrders", "WorkerBook", "WorkerState", "WORKER_LEASE_S"]

WORKER_LEASE_S = 3.0
CLOCK_MARGIN_S = 0.3

_ENDED = frozenset({TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED})
_ON_WORKER = frozenset({TaskState.STARTING, TaskState.RUNNING})
_PASSING_REFUSALS = frozenset({"already_running", "epoch_too_low", "no_lease"})


class WorkerState(enum.StrEnum):
    """Whether a worker may be given tasks."""

    DETACHED = "detached"
    ATTACHED = "attached"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class WorkerBook:
    """What the owner knows of one worker.

    Attributes:
        vm: the machine as listed.
        state: whether it may be given tasks.
        lease_until: loop time by which its lease has lapsed on every clock.
        task_ids: tasks that run there or may run there.
    """

    vm: VirtualMachine
    state: WorkerState
    lease_until: float
    task_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class JobBook:
    """A job and its tasks."""

    spec: JobSpec
    tasks_by_id: dict[str, Task]
    is_changed: bool = False

    def state(self) -> TaskState:
        """Summarizes the tasks' states in one."""
        states = {task.state for task in self.tasks_by_id.values()}
        for state in (TaskState.RUNNING, TaskState.STARTING, TaskState.LOST, TaskState.QUEUED):
            if state in states:
                return state
        for state in (TaskState.FAILED, TaskState.CANCELLED):
            if state in states:
                return state
        return TaskState.FINISHED


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrders:
    """Orders for one worker, already counted against its capacity."""

    worker_id: str
    orders: tuple[TaskOrder, ...]


class Shard:
    """Decides on one shard; holds no socket and reads no clock."""

    def __init__(
        self,
        placement: Placement,
        queue: TaskQueue,
        reaction: Reaction | None = None,
        outcomes: TaskOutcomes | None = None,
    ) -> None:
        self.workers_by_id: dict[str, WorkerBook] = {}
        self.jobs_by_id: dict[str, JobBook] = {}
        self._tasks_by_id: dict[str, Task] = {}
        self._placement = placement
        self._queue = queue
        self._reaction = reaction or NoReaction()
        self._outcomes = outcomes or NoOutcomes()

    @property
    def queued(self) -> int:
        """Returns the number of tasks that wait for a worker."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Returns the number of tasks that are on a worker or may be."""
        return sum(len(worker.task_ids) for worker in self.workers_by_id.values())

    def accept(self, spec: JobSpec) -> JobBook:
        """Adds a job that the ledger already holds; an accepted one stays as it is."""
        known = self.jobs_by_id.get(spec.job_id)
        if known is not None:
            return known
        tasks = [Task(task_id_of(spec.job_id, index), spec) for index in range(spec.count)]
        job = JobBook(spec, {task.task_id: task for task in tasks})
        self.jobs_by_id[spec.job_id] = job
        self._tasks_by_id.update(job.tasks_by_id)
        for task in tasks:
            self._queue.push(request_for(task.task_id, task.spec))
        return job

    def list_machines(self, machines: Iterable[VirtualMachine], lease_until: float) -> list[str]:
        """Takes in the workers of a VM listing.

        Args:
            machines: the workers of this shard.
            lease_until: loop time by which leases of an earlier owner have lapsed.

        Returns:
            Ids of the workers that have to be attached.
        """
        for vm in machines:
            book = self.workers_by_id.get(vm.vm_id)
            if book is None:
                book = WorkerBook(vm, WorkerState.DETACHED, lease_until)
                self.workers_by_id[vm.vm_id] = book
                self._offer(vm)
                self._placement.remove_worker(vm.vm_id)
            if vm.state is VmState.LEAVING:
                book.state = WorkerState.LEAVING
                self._placement.remove_worker(vm.vm_id)
        return [i for i, b in self.workers_by_id.items() if b.state is WorkerState.DETACHED]

    def attach(self, worker_id: str, reports: Iterable[TaskReport], now: float) -> None:
        """Takes in a worker's full report."""
        book = self.workers_by_id[worker_id]
        if book.state is WorkerState.DETACHED:
            book.state = WorkerState.ATTACHED
            self._offer(book.vm)
        book.lease_until = max(book.lease_until, now + WORKER_LEASE_S + CLOCK_MARGIN_S)
        for report in reports:
            self._adopt(worker_id, report)

    def plan_starts(self, limit: int) -> list[StartOrders]:
        """Chooses workers for queued tasks and counts them against capacity.

        The caller checks ownership and freshness of the configuration first.
        """
        orders_by_worker: dict[str, list[TaskOrder]] = {}

        def place(request: PlacementRequest) -> bool:
            worker_id = self._placement.place(request)
            if worker_id is None:
                return False
            order = self._assign(request.task_id, worker_id)
            orders_by_worker.setdefault(worker_id, []).append(order)
            return True

        self._queue.drain(place, limit)
        return [StartOrders(i, tuple(orders)) for i, orders in orders_by_worker.items()]

    def answer_starts(self, answers: Iterable[TaskAnswer]) -> None:
        """Takes in a worker's answers to start orders."""
        for answer in answers:
            task = self._current(answer.ref)
            if task is None or task.state is not TaskState.STARTING:
                continue
            if answer.accepted:
                task.state = TaskState.RUNNING
                self._outcomes.started(task.task_id)
            else:
                if answer.reason not in _PASSING_REFUSALS:
                    self._outcomes.ended(task.task_id, TaskEnd.REFUSED)
                self._requeue(task)

    def withdraw_starts(self, orders: Iterable[TaskOrder]) -> None:
        """Queues tasks again whose start order surely never left this process."""
        for order in orders:
            task = self._current(order.ref)
            if task is not None and task.state is TaskState.STARTING:
                self._requeue(task)

    def heartbeat(self, beat: Heartbeat, now: float) -> HeartbeatAnswer:
        """Takes in a heartbeat and renews the worker's lease."""
        book = self.workers_by_id.get(beat.worker_id)
        if book is None or book.state is WorkerState.DETACHED:
            return HeartbeatAnswer(accepted=False)
        book.lease_until = max(book.lease_until, now + WORKER_LEASE_S + CLOCK_MARGIN_S)
        if beat.usage:
            taken_at = now - beat.usage_age_s
            self._reaction.observe(Observation(beat.worker_id, taken_at, beat.usage))
        acknowledged = []
        unknown = []
        for report in beat.reports:
            if report.state is not ReportState.RUNNING:
                acknowledged.append(report.ref)
            elif self._tasks_by_id.get(report.ref.task_id) is None:
                unknown.append(report.ref)
            self._adopt(beat.worker_id, report)
        return HeartbeatAnswer(True, WORKER_LEASE_S, tuple(acknowledged), tuple(unknown))

    def plan_actions(self, now: float) -> list[tuple[Action, TaskRef]]:
        """Returns throttles and evictions of running tasks, each with the attempt it is for."""
        actions = []
        for action in self._reaction.decide(now):
            task = self._tasks_by_id.get(action.task_id)
            if (
                task is not None
                and task.state is TaskState.RUNNING
                and task.worker_id == action.worker_id
            ):
                actions.append((action, TaskRef(task.task_id, task.attempt)))
        return actions

    def expire_workers(self, now: float) -> None:
        """Queues the tasks of workers whose leases have lapsed on every clock."""
        for book in self.workers_by_id.values():
            if now < book.lease_until or not book.task_ids:
                continue
            for task_id in sorted(book.task_ids):
                self._requeue(self._tasks_by_id[task_id])
            if book.state is WorkerState.ATTACHED:
                book.state = WorkerState.DETACHED
                self._placement.remove_worker(book.vm.vm_id)

    def cancel(self, job_id: str) -> list[tuple[str, TaskRef]]:
        """Cancels a job.

        Returns:
            Workers with the attempts that they have to stop.
        """
        job = self.jobs_by_id[job_id]
        stops = []
        for task in job.tasks_by_id.values():
            if task.state in _ENDED:
                continue
            if task.state in _ON_WORKER:
                stops.append((task.worker_id, TaskRef(task.task_id, task.attempt)))
            self._end(task, TaskState.CANCELLED)
        return stops

    def free(self, worker_id: str) -> Resources:
        """Returns what a worker can still be given by declared sizes."""
        return self._placement.free(worker_id)

    def take_changed_jobs(self) -> list[JobBook]:
        """Returns the jobs changed since the last call."""
        changed = [job for job in self.jobs_by_id.values() if job.is_changed]
        for job in changed:
            job.is_changed = False
        return changed

    def restore(self, job_id: str, finished: Iterable[str], state: TaskState) -> None:
        """Marks tasks of an accepted job as ended, as the ledger recorded them."""
        job = self.jobs_by_id[job_id]
        for task_id in finished:
            self._end(job.tasks_by_id[task_id], state)
        job.is_changed = False

    def _offer(self, vm: VirtualMachine) -> None:
        capacity = Resources(vm.cores, vm.memory_mb, vm.accelerators)
        self._placement.add_worker(vm.vm_id, vm.rack, capacity)

    def _assign(self, task_id: str, worker_id: str) -> TaskOrder:
        task = self._tasks_by_id[task_id]
        task.state = TaskState.STARTING
        task.worker_id = worker_id
        task.attempt += 1
        self.workers_by_id[worker_id].task_ids.add(task_id)
        return _order_for(task)

    def _current(self, ref: TaskRef) -> Task | None:
        task = self._tasks_by_id.get(ref.task_id)
        if task is None or task.attempt != ref.attempt:
            return None
        return task

    def _adopt(self, worker_id: str, report: TaskReport) -> None:
        task = self._tasks_by_id.get(report.ref.task_id)
        if task is None or task.state in _ENDED or report.ref.attempt < task.attempt:
            return
        task.attempt = report.ref.attempt
        if report.state is ReportState.RUNNING:
            self._queue.discard(task.task_id)
            task.state = TaskState.RUNNING
            if task.worker_id != worker_id:
                self._placement.adopt(request_for(task.task_id, task.spec), worker_id)
            task.worker_id = worker_id
            self.workers_by_id[worker_id].task_ids.add(task.task_id)
        elif report.state is ReportState.FINISHED:
            self._end(task, TaskState.FINISHED)
        elif report.state is ReportState.FAILED:
            self._fail(task)
        else:
            task.checkpoint = report.checkpoint
            self._requeue(task)

    def _fail(self, task: Task) -> None:
        """Tries an idempotent task on another worker unless it failed on enough of them."""
        verdict = self._outcomes.ended(task.task_id, TaskEnd.FAILED)
        if task.spec.idempotent and verdict is Verdict.RETRY:
            self._requeue(task)
        else:
            self._end(task, TaskState.FAILED)

    def _requeue(self, task: Task) -> None:
        self._leave_worker(task)
        task.state = TaskState.QUEUED
        self._queue.push(request_for(task.task_id, task.spec, resumed=bool(task.checkpoint)))

    def _end(self, task: Task, state: TaskState) -> None:
        if state is TaskState.FINISHED:
            self._outcomes.ended(task.task_id, TaskEnd.FINISHED)
        self._leave_worker(task)
        self._queue.discard(task.task_id)
        task.state = state
        self.jobs_by_id[task.spec.job_id].is_changed = True

    def _leave_worker(self, task: Task) -> None:
        book = self.workers_by_id.get(task.worker_id)
        if book is not None:
            book.task_ids.discard(task.task_id)
        self._outcomes.ended(task.task_id, TaskEnd.LEFT)
        self._reaction.task_left(task.task_id)
        self._placement.release(task.task_id)
        task.worker_id = ""


def _order_for(task: Task) -> TaskOrder:
    return TaskOrder(
        TaskRef(task.task_id, task.attempt),
        task.spec.resources,
        task.spec.duration_ms,
        task.spec.task_class,
        task.checkpoint,
    )
