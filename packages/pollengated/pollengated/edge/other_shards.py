"""Interface to the owners of other shards: the room in them, and the placement of jobs there."""

import abc
import dataclasses
from collections.abc import Mapping

from pollengate.workflow.model import Workflow
from pollengate.workflow.shard_room import RoomSummary

__all__ = [
    "NoOtherShards",
    "OtherShards",
    "Placed",
    "PlacementOutcome",
    "PlacementRequest",
    "PlacementUnknown",
    "Refused",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A job that its home shard's owner asks another owner to take.

    Attributes:
        job_id: id of the job.
        queue_name: queue that it was submitted to.
        workflow: the workflow.
        account: name of the client account that submitted it, empty for none.
        home_shard: the job's home shard.
        home_token: fencing token of the home shard's owner.
        min_tasks: number of tasks that have to find room at once.
    """

    job_id: str
    queue_name: str
    workflow: Workflow
    account: str
    home_shard: int
    home_token: int
    min_tasks: int


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


class NoOtherShards(OtherShards):
    """Used where no other shard can be reached."""

    def summaries_by_shard(self, service: str) -> Mapping[int, RoomSummary]:
        """Returns no shards."""
        return {}

    async def place(self, shard: int, request: PlacementRequest) -> PlacementOutcome:
        """Refuses the job."""
        return Refused("unreachable")
