"""What the records of a shard say of its workers when a new ownership term begins."""

import dataclasses
from collections.abc import Callable, Mapping

from pollengate.workflow.leases import PreviousLeases
from pollengate.workflow.settings import Bounds

from pollengated.edge.committer import CommitNumber
from pollengated.edge.recorded_workers import load_recorded_workers
from pollengated.edge.run_lists import load_run_lists
from pollengated.edge.settled_incarnations import load_previous_leases
from pollengated.edge.shard_records import ShardRecords

__all__ = ["PreviousTerm", "load_previous_term"]


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousTerm:
    """The workers on which earlier owners of a shard may have started tasks.

    Attributes:
        acquired_at: clock time at which this process acquired the shard.
        addresses_by_id: addresses of the workers, by worker id.
        listed_tasks_by_id: names of the only tasks that may run on a worker, if they are known.
        leases: when the leases of earlier owners have expired.
    """

    acquired_at: float
    addresses_by_id: Mapping[str, str]
    listed_tasks_by_id: Mapping[str, frozenset[str]]
    leases: PreviousLeases


def load_previous_term(
    records: ShardRecords,
    previous_commit: CommitNumber | None,
    is_assigned_elsewhere: Callable[[str], bool],
    acquired_at: float,
    bounds: Bounds,
) -> PreviousTerm:
    """Decodes the records of the shard's workers.

    Args:
        records: the records.
        previous_commit: number of the shard's newest commit.
        is_assigned_elsewhere: returns whether a worker has been assigned to another shard.
        acquired_at: clock time at which this process acquired the shard.
        bounds: limits and durations of the platform.
    """
    return PreviousTerm(
        acquired_at,
        load_recorded_workers(records.recorded_workers, is_assigned_elsewhere),
        load_run_lists(records.run_lists, previous_commit),
        load_previous_leases(records.settled_incarnations, acquired_at, bounds),
    )
