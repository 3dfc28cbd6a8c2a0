"""What the placement of jobs needs of an ownership term."""

import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from pollengate.store import CommitResult, Entry, PolledStore
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.shard_lease import ShardLease
from pollengate.workflow.shard_room import ShardRoom

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer

__all__ = ["PlacementContext", "present_entries"]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementContext:
    """Parts of an ownership term that placement uses.

    Attributes:
        shard: number of the shard.
        job_table: jobs of the shard.
        store: the platform's store.
        committer: writes the shard's other records.
        shard_lease: the owner's lease.
        clocks: the process's clocks.
        room: room of the shard.
        is_settled: returns True once no unreported run of an earlier owner can exist any more.
        spawn: runs a coroutine until the end of the term.
    """

    shard: int
    job_table: JobTable
    store: PolledStore
    committer: Committer
    shard_lease: ShardLease
    clocks: Clocks
    room: ShardRoom
    is_settled: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], object]


def present_entries(conflict: CommitResult) -> dict[str, Entry]:
    """Returns the entries of a failed transaction's conditions by key, without absent keys.

    A store may list an absent key with revision 0 or without a value.
    """
    return {entry.key: entry for entry in conflict.current if entry.revision and entry.value}
