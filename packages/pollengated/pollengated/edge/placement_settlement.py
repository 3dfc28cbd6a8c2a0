"""Settles in the store which shard has a job or task after a request whose outcome is unknown."""

import asyncio
from collections.abc import Callable

from pollengate.store import CommitResult, Entry, Put, Unchanged
from pollengate.workflow.job_placement import StoredPlacement, encode_placement
from pollengate.workflow.keys import owner_key
from result import Err

from pollengated.edge.placement_context import PlacementContext, present_entries
from pollengated.logs import Log

__all__ = ["settle_placement"]

RETRY_S = 0.1


async def settle_placement(
    context: PlacementContext,
    key: str,
    revision: int,
    placement: StoredPlacement,
    record: Callable[[int], None],
    load: Callable[[Entry], bool],
) -> bool:
    """Writes a placement record that names the own shard, unless another owner wrote it before.

    Afterwards, no write of that request can take effect any more.

    Args:
        context: the ownership term.
        key: key of the placement record.
        revision: revision of the record before the request, 0 if there was none.
        placement: the record to write.
        record: called with the revision of the written record.
        load: called with the record that another owner wrote; returns whether it is readable.

    Returns:
        False if the shard lease was lost before the outcome was known.
    """
    lease = context.shard_lease
    conditions = (Unchanged(owner_key(context.shard), lease.token), Unchanged(key, revision))
    operations = (Put(key, encode_placement(placement)),)
    while not lease.is_lost:
        result = await context.store.commit(conditions, operations)
        if not isinstance(result, Err):
            if result.ok_value.succeeded:
                record(result.ok_value.revision)
                return True
            entry = _find_conflicting(context, key, result.ok_value)
            if entry is not None and load(entry):
                return True
        await asyncio.sleep(RETRY_S)
    return False


def _find_conflicting(context: PlacementContext, key: str, conflict: CommitResult) -> Entry | None:
    """Returns the record that was there before, or ends the ownership if it is lost."""
    current = present_entries(conflict)
    owner = current.get(owner_key(context.shard))
    if owner is not None and owner.revision == context.shard_lease.token:
        return current.get(key)
    Log("placement").warning(
        "this process no longer owns the shard; ending placements",
        shard=context.shard,
        token=context.shard_lease.token,
    )
    context.shard_lease.mark_lost()
    return None
