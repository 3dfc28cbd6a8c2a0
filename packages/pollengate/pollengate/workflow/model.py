"""Workflows: jobs of steps, the queues that they come in by and the workers that run them."""

import dataclasses
import enum

__all__ = [
    "AdviceTiming",
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
    "task_name",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a task takes, or a worker has.

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


NO_DEMAND = Demand()


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A number of like tasks of a workflow.

    Attributes:
        count: number of tasks.
        demand: what each takes.
        estimate_ms: the submitter's rough estimate of a task's run time.
        after: earlier steps that have to be complete first.
        saves_progress: whether a task writes checkpoints.
        is_gang: whether the tasks work only while all of them are present.
        same_rack: whether the tasks are slow unless they share a rack.
        data_rack: the rack on which the tasks are fast, empty for any.
        required_label: a label that the worker must have, empty for any.
        max_per_worker: most tasks of the step on one worker, 0 for any number.
        is_speculative: whether copies of a task may run at the same time.
        is_long_running: whether the tasks run until the job is cancelled.
        image: what the tasks run; tasks of one image behave alike.
        target_ms: bound on the tail latency of a serving task, 0 for none.
        is_filler: whether the tasks run on processor time that others leave unused.
        may_miss: tasks of a long-running step that may be away through our own actions.
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
    """What a client submits under one id.

    Attributes:
        payload: passed to each task as it is.
        steps: numbered from 0.
        first_due_ms: Unix time at which the first occurrence is due; 0 for at once.
        interval_ms: time between occurrences.
        repeat_count: number of occurrences of a scheduled job, 0 for a job that runs once at once.
    """

    payload: str
    steps: tuple[Step, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTiming:
    """How the advice service of a queue behaves.

    Attributes:
        decide_ms: time that a call takes at least.
        each_ms: time that it takes besides for each worker named.
        valid_ms: how long a ticket lasts.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A way in for workflows.

    Attributes:
        name: unique in a deployment.
        host: the HTTP host that it answers to.
        prefix: the path below which its jobs lie.
        service: whose workers run its tasks.
        priority: 0 goes first.
        max_attempts: failures after which a task, and its job, has failed.
        stretch: factor on the chain of work that the latency objective allows.
        target_ms: the objective's allowance beyond that.
        timeout_ms: how long a client waits for an answer.
        advice: set where workers need a ticket.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes:
        name: unique in a deployment.
        checks_capacity: whether its workers refuse what does not fit.
        is_spare: whether its machines are off.
    """

    name: str
    checks_capacity: bool = True
    is_spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on requests of clients; 0 for none."""

    header_bytes: int = 0
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services_by_name: dict[str, Service] = dataclasses.field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, None if there is none."""
        fitting = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)

    def queue(self, name: str) -> Queue | None:
        """Returns a queue by its name."""
        return next((queue for queue in self.queues if queue.name == name), None)


class WorkerCondition(enum.StrEnum):
    """Whether a worker takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker as it registered itself.

    Attributes:
        worker_id: unique; a restarted worker may keep it.
        service: the pool that it belongs to.
        address: `ip:port`.
        zone: its availability zone.
        condition: whether it takes new tasks.
        capacity: all that it has.
        labels: its kind and its rack.
        rack: unique in a deployment.
        cold_ms: how much longer it is slow after its start.
        born_ms: Unix time of its start, which tells incarnations apart.
        leaves_in_ms: time that a draining worker has at least; None if it did not say.
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
    """Returns the name of one task."""
    return f"{job_id}.{occurrence}.{step}.{index}"
