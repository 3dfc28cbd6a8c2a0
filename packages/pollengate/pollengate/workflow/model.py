"""Workflows of steps, the queues that accept them, and the workers that run their tasks."""

import dataclasses
import enum

__all__ = [
    "AdviceTiming",
    "ClientAccount",
    "RequestLimits",
    "Demand",
    "NO_DEMAND",
    "Deployment",
    "Queue",
    "Service",
    "Step",
    "Worker",
    "Workflow",
    "WorkerCondition",
    "MAX_DIGITS",
    "occurrence_of",
    "task_name",
]

# Digits of a number in a task's name; the conversion of thousands of digits raises.
MAX_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a task needs or a worker has.

    Attributes:
        cpu_millis: thousandths of a core.
        memory_mb: megabytes.
        accelerators: whole devices.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Demand") -> "Demand":
        return Demand(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_DEMAND = Demand()


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks in a workflow.

    Attributes:
        count: number of tasks.
        demand: resources that each task needs.
        estimate_ms: the submitter's rough estimate of a task's run time.
        after: numbers of the earlier steps that must be complete before this one starts.
        saves_progress: whether the tasks write checkpoints.
        is_gang: whether the tasks only make progress while all of them are running.
        same_rack: whether the tasks are slow unless they run on the same rack.
        data_rack: the rack on which the tasks are fast, empty if all racks are equally fast.
        required_label: a label that the worker must have, empty for none.
        max_per_worker: maximum number of the step's tasks on one worker, 0 for no limit.
        is_speculative: whether copies of a task may run at the same time.
        is_long_running: whether the tasks run until the job is cancelled.
        image: the program that the tasks run; tasks with the same image behave alike.
        target_ms: upper bound on the tail latency of a serving task, 0 for none.
        is_filler: whether the tasks are fillers: best-effort batch tasks that use processors that
            serving tasks leave unused.
        may_miss: number of a long-running step's tasks that the scheduler itself may have stopped
            at the same time, for example to move them.
    """

    count: int
    demand: Demand = Demand()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Workflow:
    """A job as a client submits it.

    Attributes:
        payload: passed to each task unchanged.
        steps: numbered from 0.
        first_due_ms: Unix time at which the first occurrence is due, 0 for immediately.
        interval_ms: time between occurrences.
        repeat_count: number of occurrences of a scheduled job, 0 for a job that runs once,
            immediately.
    """

    payload: str
    steps: tuple[Step, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTiming:
    """Timing of a queue's advice service.

    Attributes:
        decide_ms: minimum duration of a call.
        each_ms: additional time for each worker in the call.
        valid_ms: how long a ticket is valid.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: who hands in jobs, and how much of its work may run.

    Attributes:
        name: unique in a deployment.
        key_digests: SHA-256 digests of its keys; the keys themselves are not kept.
        weight: its share of the room when all is full, relative to the other accounts.
        limit: what its tasks may use at the same time on all workers; 0 is no limit.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    weight: float = 1.0
    limit: Demand = NO_DEMAND


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue that accepts workflows.

    Attributes:
        name: unique in a deployment.
        host: HTTP host of its requests.
        prefix: path prefix of its jobs.
        service: the service whose workers run its tasks.
        priority: 0 is the highest.
        max_attempts: number of failures after which a task, and with it its job, has failed.
        stretch: the latency objective is the estimated run time of the longest chain of steps,
            multiplied by this factor, plus `target_ms`.
        target_ms: constant part of the latency objective.
        timeout_ms: how long a client waits for a response.
        advice: timing of the advice service, None if its tasks need no ticket.
        is_public: whether its requests need no key of a client account.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    advice: AdviceTiming | None = None
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes:
        name: unique in a deployment.
        checks_capacity: whether its workers reject tasks that exceed their capacity.
        is_spare: whether its machines are switched off.
    """

    name: str
    checks_capacity: bool = True
    is_spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Maximum sizes of clients' requests; 0 for no limit."""

    header_bytes: int = 0
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operators' configuration.

    Attributes:
        version: its number; a higher one is newer.
        queues: the queues that accept jobs.
        services_by_name: the pools of workers.
        limits: maximum sizes of requests.
        accounts_by_name: the client accounts, None if the deployment has no accounts, so that no
            key is looked at.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services_by_name: dict[str, Service] = dataclasses.field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
    accounts_by_name: dict[str, ClientAccount] | None = None

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host with the longest matching prefix, None if there is none."""
        fitting = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)

    def queue(self, name: str) -> Queue | None:
        """Returns the queue with a name, None if there is none."""
        return next((queue for queue in self.queues if queue.name == name), None)


class WorkerCondition(enum.StrEnum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker as registered.

    Attributes:
        worker_id: unique; a restarted worker may keep it.
        service: name of the service that it belongs to.
        address: `ip:port`.
        zone: its availability zone.
        condition: whether it accepts new tasks.
        capacity: its total resources.
        labels: its kind and its rack.
        rack: name of its rack, unique in a deployment.
        cold_ms: remaining time for which it runs slowly after its start.
        born_ms: Unix time of its start, which identifies the incarnation.
        leaves_in_ms: minimum time before a draining worker leaves; None if unknown.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    condition: WorkerCondition
    capacity: Demand
    labels: tuple[str, ...] = ()
    rack: str = ""
    cold_ms: int = 0
    born_ms: int = 0
    leaves_in_ms: int | None = None


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Returns the name of a task, unique in a deployment."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def occurrence_of(task: str) -> int | None:
    """Returns the number of the occurrence in a task's name, None if it has none."""
    number = task.partition(".")[2].partition(".")[0]
    return int(number) if number.isdecimal() and len(number) <= MAX_DIGITS else None
