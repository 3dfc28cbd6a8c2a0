"""Interface to the owners of other shards: the room in them, and the placement of jobs there."""

import abc
import dataclasses
from collections.abc import Mapping

from pollengate.accounts.job_access import Requester
from pollengate.workflow.job_service import OwnerResponse, Undecided
from pollengate.workflow.model import Workflow
from pollengate.workflow.shard_room import RoomSummary

__all__ = [
    "DelegatedTask",
    "NoOtherShards",
    "OtherShards",
    "Placed",
    "PlacementOutcome",
    "PlacementRequest",
    "PlacementUnknown",
    "Refused",
]


@dataclasses.dataclass(frozen=True, slots=True)
class DelegatedTask:
    """Progress of a task that another shard is to run.

    Attributes:
        last_run: the highest run number that may have been used.
        checkpoint: where the next run resumes, empty to start from the beginning.
        placement_revision: revision of the task's placement record, 0 if there is none.
    """

    last_run: int
    checkpoint: str
    placement_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A job, or one task of it, that its shard's owner asks another owner to take.

    Attributes:
        job_id: id of the job; the name of a task that is delegated.
        queue_name: queue that it was submitted to.
        workflow: the workflow.
        account: name of the client account that submitted it, empty for none.
        home_shard: the job's home shard; for a task the shard that has its job.
        home_token: fencing token of the home shard's owner.
        min_tasks: number of tasks that have to find room at once.
        task: progress of the task, None for a whole job. The workflow then has one step with it.
    """

    job_id: str
    queue_name: str
    workflow: Workflow
    account: str
    home_shard: int
    home_token: int
    min_tasks: int
    task: DelegatedTask | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The other shard has the job; its record is durable."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The other shard does not have the job and will not get it by this request.

    Attributes:
        reason: reason code for metrics and logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementUnknown:
    """Whether the other shard has the job, or will still get it, is unknown.

    Attributes:
        cause: why, for logs.
    """

    cause: str


PlacementOutcome = Placed | Refused | PlacementUnknown


class OtherShards(abc.ABC):
    """Reaches the owners of all other shards."""

    @abc.abstractmethod
    def summaries_by_shard(self, service: str) -> Mapping[int, RoomSummary]:
        """Returns the room for a service in the shards whose owners have published it lately."""

    @abc.abstractmethod
    async def place(self, shard: int, request: PlacementRequest) -> PlacementOutcome:
        """Asks the owner of a shard to take a job."""

    @abc.abstractmethod
    async def show(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Returns the state of a job that a shard has, or of a task that was delegated to it."""

    @abc.abstractmethod
    async def cancel(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Ends a job that a shard has, or a task that was delegated to it."""

    @abc.abstractmethod
    async def notify_returned(self, shard: int, task: str) -> None:
        """Tells the owner of a shard that a task was returned to it; it may not learn of it."""


class NoOtherShards(OtherShards):
    """Used where no other shard can be reached."""

    def summaries_by_shard(self, service: str) -> Mapping[int, RoomSummary]:
        """Returns no shards."""
        return {}

    async def place(self, shard: int, request: PlacementRequest) -> PlacementOutcome:
        """Refuses the job."""
        return Refused("unreachable")

    async def show(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Reaches no owner."""
        return Undecided("unreachable")

    async def cancel(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Reaches no owner."""
        return Undecided("unreachable")

    async def notify_returned(self, shard: int, task: str) -> None:
        """Reaches no owner."""
        return
