"""Interface for clients' requests about jobs, and the responses."""

import abc
import dataclasses

from result import Result

from pollengate.workflow.model import Queue, Workflow
from pollengate.workflow.progress import JobState

__all__ = [
    "Accepted",
    "Cancelled",
    "Found",
    "JobResponse",
    "JobService",
    "NoSuchJob",
    "NoSuchQueue",
    "NotAccepted",
    "OwnerResponse",
    "PlacedElsewhere",
    "Undecided",
    "RETRY_AFTER_S",
    "UnknownKey",
    "WaitingCount",
    "remaining_outage_s",
]

# Short, since a component that has just become unavailable is often available again soon.
RETRY_AFTER_S = 1.0
# Outages of the store last 2.3 to 4.5 s.
MAX_OUTAGE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored and will run."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The job was not stored, and this request will not cause it to run.

    Attributes:
        reason: reason code for metrics and logs.
        retry_after_s: seconds after which the client may retry.
        is_overload: whether the fleet lacks capacity; otherwise a component is unavailable.
    """

    reason: str
    retry_after_s: float
    is_overload: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Whether the request took effect is unknown; the client may repeat it."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The state of a job."""

    state: JobState


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The job is cancelled, or had already ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No job with this id was accepted, or it ended long ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """The queue was removed by a newer configuration than the one that routed the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """Number of accepted jobs in a queue that have not started any task."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request has no key of a client account, and its route requires one.

    Attributes:
        reason: `missing` if there is no key in the request, otherwise `unknown`.
    """

    reason: str


JobResponse = (
    Accepted | NotAccepted | Undecided | Found | Cancelled | NoSuchJob | NoSuchQueue | WaitingCount
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedElsewhere:
    """The job was placed in another shard, whose owner answers the request.

    Attributes:
        shard: number of that shard.
    """

    shard: int


OwnerResponse = JobResponse | PlacedElsewhere


class JobService(abc.ABC):
    """Answers clients' requests about jobs."""

    @abc.abstractmethod
    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue for a request's host and path, None if there is none."""

    @abc.abstractmethod
    def has_configuration(self) -> bool:
        """Returns True once a configuration with the queues has been loaded."""

    @abc.abstractmethod
    def authenticate(self, queue: Queue, key: bytes) -> Result[str, UnknownKey]:
        """Returns the name of the client account that a key belongs to.

        The name is empty if the queue's route is public or the deployment has no client accounts.

        Args:
            queue: the queue whose route the request used.
            key: the key in the request, empty if there is none.
        """

    @abc.abstractmethod
    async def submit(
        self, queue: Queue, job_id: str, workflow: Workflow, account: str
    ) -> JobResponse:
        """Accepts or refuses a job of a client account."""

    @abc.abstractmethod
    async def show(self, queue: Queue, job_id: str, account: str) -> JobResponse:
        """Returns the state of a job; one of another account is unknown."""

    @abc.abstractmethod
    async def cancel(self, queue: Queue, job_id: str, account: str) -> JobResponse:
        """Cancels a job; one of another account is unknown."""

    @abc.abstractmethod
    async def count_waiting(self, queue: Queue) -> JobResponse:
        """Returns the number of a queue's jobs that have not started any task."""


def remaining_outage_s(elapsed_s: float) -> float:
    """Estimates the rest of an outage as the time that it has lasted, within fixed bounds."""
    return min(max(elapsed_s, RETRY_AFTER_S), MAX_OUTAGE_S)
