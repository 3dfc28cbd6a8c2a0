"""Parts of an account's limit that shards have, for one resource; pure arithmetic.

All amounts are in the resource's unit. The rows of all shards together never exceed the limit,
unless the limit was lowered or introduced while more than that was running.
"""

import dataclasses
from collections.abc import Collection, Sequence

__all__ = ["NextPart", "ResourceRows", "equal_part", "fair_part", "next_part", "part_in_force"]

# An idle shard keeps this fraction of an equal part, so that all idle shards together keep at most
# a sixteenth of the limit and a busy shard can get more than 0.9 of it.
START_SHARE_DIVISOR = 16
# A shard keeps this fraction of an equal part beyond its usage while others want more. Usage falls
# for some milliseconds between the end of a task and the start of the next.
HEADROOM_DIVISOR = 8

# An excess of the rows over a lowered limit of at most this fraction is taken off one row.
SMALL_EXCESS_DIVISOR = 50


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceRows:
    """The rows of all shards for one account and resource.

    Attributes:
        limit: the account's limit, above 0.
        parts: part of the limit of each shard.
        wanted: how much more each shard wants.
        first: shard whose large task has waited longest for a larger part, None if there is none.
        first_needed: part that this shard needs to start the task.
    """

    limit: int
    parts: tuple[int, ...]
    wanted: tuple[int, ...]
    first: int | None = None
    first_needed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NextPart:
    """What a shard does next with its part.

    Attributes:
        part: the part to write; covers what is running.
        bound: the shard starts nothing that takes its usage above this amount; lower than `part`
            if the shard gives some of its usage to others as its tasks end.
        wanted: how much more it wants beyond `part`.
    """

    part: int
    bound: int
    wanted: int


def equal_part(limit: int, shards: int) -> int:
    """Returns the part of a shard that has no row."""
    return limit // shards


def part_in_force(
    rows: ResourceRows, shard: int, unconfirmed: Collection[int], is_reachable: bool
) -> int:
    """Returns what a shard's runs may use according to the rows.

    After a limit was lowered, what the rows of the other shards leave of it may be used until the
    rows have been lowered, since the others may be using all of theirs. If the store can't be
    reached, rows stay as they are and are scaled to the limit instead.

    Args:
        rows: the rows as last read.
        shard: the shard.
        unconfirmed: parts in writes of the shard's row whose result is unknown; the lowest of them
            and the row is in force.
        is_reachable: whether rows can be changed at present.
    """
    total = sum(rows.parts)
    part = min(rows.parts[shard], *unconfirmed) if unconfirmed else rows.parts[shard]
    if total <= rows.limit:
        return part
    if not is_reachable:
        return part * rows.limit // total
    return max(0, min(part, rows.limit - total + rows.parts[shard]))


def fair_part(limit: int, demands: Sequence[int], index: int) -> int:
    """Returns the max-min fair part of one of several demands."""
    left, count = limit, len(demands)
    for demand in sorted(demands):
        if demand * count >= left:
            return min(demands[index], left // count)
        left -= demand
        count -= 1
    return demands[index]


def next_part(rows: ResourceRows, shard: int, usage: int, waiting: int, needed: int) -> NextPart:
    """Returns the part that a shard's owner writes next.

    Args:
        rows: the rows as last read.
        shard: the owner's shard.
        usage: demand of all runs that may exist in the shard.
        waiting: demand of the tasks that only the limit holds back.
        needed: part that its longest-waiting task needs to start, 0 if none waits for long.
    """
    limit, row = rows.limit, rows.parts[shard]
    total = sum(rows.parts)
    wish = min(limit, usage + waiting)
    if total > limit:
        lowered = _lowered_part(rows, shard, usage + waiting == 0)
        part = max(usage, lowered)
        return NextPart(part, lowered, max(0, wish - part))
    free = limit - total
    reserved = 0
    if rows.first is not None and rows.first != shard:
        reserved = max(0, rows.first_needed - rows.parts[rows.first])
    other_wants = [
        wanted for other, wanted in enumerate(rows.wanted) if other not in (shard, rows.first)
    ]
    if rows.first != shard and rows.first is not None:
        other_wants.append(max(reserved, rows.wanted[rows.first]))
    shortage = max(0, sum(other_wants) - free)
    desired = _desired_part(rows, shard, usage, waiting, shortage > 0)
    if shortage or (waiting and any(other_wants)):
        desired = min(desired, _fair_part(rows, shard, desired, needed))
    if desired >= row:
        bound = min(desired, row + max(0, free - reserved))
    else:
        bound = max(desired, row - shortage) if shortage else desired
    part = max(usage, bound)
    return NextPart(part, bound, max(0, wish - part))


def _lowered_part(rows: ResourceRows, shard: int, is_idle: bool) -> int:
    """Returns what a shard lowers its part to after the rows have come to exceed the limit.

    All shards lower theirs in proportion, one after the other, so that the excess shrinks with each
    write. The last of it, and what an idle shard has, is given up at once.
    """
    row, total = rows.parts[shard], sum(rows.parts)
    excess = total - rows.limit
    lowered = row * rows.limit // total
    if is_idle:
        start_share = equal_part(rows.limit, len(rows.parts)) // START_SHARE_DIVISOR
        return min(lowered, max(start_share, row - excess))
    if excess * SMALL_EXCESS_DIVISOR <= rows.limit:
        return max(0, row - excess)
    return lowered


def _desired_part(rows: ResourceRows, shard: int, usage: int, waiting: int, is_short: bool) -> int:
    """Returns the part that a shard would have if no other shard needed more than it has."""
    limit, row, equal = rows.limit, rows.parts[shard], equal_part(rows.limit, len(rows.parts))
    headroom = equal // HEADROOM_DIVISOR
    if waiting:
        return max(min(limit, usage + waiting + headroom), 0 if is_short else row)
    if usage:
        return min(row, usage + headroom) if is_short else row
    return min(row, equal // START_SHARE_DIVISOR if is_short else equal)


def _fair_part(rows: ResourceRows, shard: int, desired: int, needed: int) -> int:
    """Returns a shard's fair part, after what the shard with the oldest large task needs."""
    demands = [part + wanted for part, wanted in zip(rows.parts, rows.wanted, strict=True)]
    demands[shard] = desired
    if rows.first == shard:
        return max(needed, fair_part(rows.limit, demands, shard))
    if rows.first is None:
        return fair_part(rows.limit, demands, shard)
    index = shard - (rows.first < shard)
    del demands[rows.first]
    return fair_part(max(0, rows.limit - rows.first_needed), demands, index)
