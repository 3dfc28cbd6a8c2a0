"""What clients may ask about jobs, and the answers."""

import abc
import dataclasses

from pollengate.workflow.model import Queue, Workflow
from pollengate.workflow.progress import JobState

__all__ = [
    "Accepted",
    "Cancelled",
    "Found",
    "JobResponse",
    "JobService",
    "NoSuchJob",
    "NotAccepted",
    "Undecided",
    "RETRY_AFTER_S",
    "WaitingCount",
    "remaining_outage_s",
]

# A part that has just gone away is often back at once.
RETRY_AFTER_S = 1.0
# Outages of the store last 2.3 to 4.5 s in the users' site files.
MAX_OUTAGE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored and will run."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The job was not stored and this request will never make it run.

    Attributes:
        reason: the word that counters and logs use.
        retry_after_s: when the client may come back.
        is_overload: whether the fleet has too much to do; otherwise a part of us is away.
    """

    reason: str
    retry_after_s: float
    is_overload: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Whether the request had an effect is not known; the client may ask again."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The state of a job."""

    state: JobState


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The job is cancelled for good, or had ended before."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No job of this id was accepted, or it ended long ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """Accepted jobs of a queue of which no task has started."""

    count: int


JobResponse = Accepted | NotAccepted | Undecided | Found | Cancelled | NoSuchJob | WaitingCount


class JobService(abc.ABC):
    """Takes the requests of clients."""

    @abc.abstractmethod
    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue that a request belongs to, None if there is none."""

    @abc.abstractmethod
    def has_configuration(self) -> bool:
        """Tells whether the queues are known."""

    @abc.abstractmethod
    async def submit(self, queue: Queue, job_id: str, workflow: Workflow) -> JobResponse:
        """Accepts a job or refuses it."""

    @abc.abstractmethod
    async def show(self, queue: Queue, job_id: str) -> JobResponse:
        """Returns the state of a job."""

    @abc.abstractmethod
    async def cancel(self, queue: Queue, job_id: str) -> JobResponse:
        """Cancels a job."""

    @abc.abstractmethod
    async def count_waiting(self, queue: Queue) -> JobResponse:
        """Returns how many jobs of a queue wait for their first start."""


def remaining_outage_s(elapsed_s: float) -> float:
    """Returns how long an outage is likely to go on: about as long as it has lasted."""
    return min(max(elapsed_s, RETRY_AFTER_S), MAX_OUTAGE_S)
