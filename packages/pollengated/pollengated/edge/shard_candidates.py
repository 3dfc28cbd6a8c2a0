"""Ranks the processes that may own a shard by the processors that they have for it."""

import dataclasses
import zlib
from collections import Counter
from collections.abc import Iterable, Mapping

from pollengated.edge.node_directory import NodeRecord

__all__ = ["Candidate", "find_better_owner", "rank_candidates"]

MIN_CORES = 0.01
# The owner of a shard of 60 workers uses 0.7 to 1.3 cores under load.
CORES_PER_SHARD = 1.0
# A shard moves to a process that has at least this many times as many cores for each of its shards.
MIN_GAIN = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A process that may acquire a shard.

    Attributes:
        node: name of its VM.
        shards: number of other shards that it owns or is the best candidate for.
    """

    node: str
    shards: int


def rank_candidates(
    members: Iterable[NodeRecord], owner_names_by_shard: Mapping[int, str], shard: int
) -> list[Candidate]:
    """Returns the candidate owners of a shard, the best one first.

    The best candidate is the one that would own the fewest shards per core. Candidates with more
    cores come first among equal ones, and a hash of the name and the shard breaks ties.

    Shards with lower numbers and no owner count as owned by their best candidates. Processes that
    acquire several shards at the same moment therefore rank a different candidate first for each.

    Args:
        members: the running processes.
        owner_names_by_shard: the owners of the shards that have one.
        shard: the shard to acquire.
    """
    staying = [member for member in members if not member.is_leaving]
    if not staying:
        return []
    shards_by_name = Counter(owner_names_by_shard.values())
    for number in range(shard):
        if number not in owner_names_by_shard:
            shards_by_name[_sort_candidates(staying, shards_by_name, number)[0].node] += 1
    ranked = _sort_candidates(staying, shards_by_name, shard)
    return [Candidate(member.node, shards_by_name[member.node]) for member in ranked]


def find_better_owner(
    members: Iterable[NodeRecord], owner_names_by_shard: Mapping[int, str], shard: int
) -> NodeRecord | None:
    """Returns the process to which the owner of a shard should hand it over, None if it should not.

    An owner keeps a shard as long as it has the processors for all of its shards. Of several shards
    it hands over the one with the highest number first, as it may have enough for the others.

    Args:
        members: the registered processes.
        owner_names_by_shard: the owners of the shards that have one.
        shard: the shard, which has an owner.
    """
    owner_name = owner_names_by_shard[shard]
    records_by_name = {member.node: member for member in members}
    owner = records_by_name.pop(owner_name, None)
    owned = [number for number, name in owner_names_by_shard.items() if name == owner_name]
    others = [member for member in records_by_name.values() if not member.is_leaving]
    if owner is None or shard != max(owned) or not others:
        return None
    if len(owned) * CORES_PER_SHARD <= owner.cores:
        return None
    shards_by_name = Counter(owner_names_by_shard.values())
    best = _sort_candidates(others, shards_by_name, shard)[0]
    own_cores = owner.cores / len(owned)
    best_cores = best.cores / (shards_by_name[best.node] + 1)
    return best if best_cores >= MIN_GAIN * own_cores else None


def _sort_candidates(
    candidates: list[NodeRecord], shards_by_name: Counter[str], shard: int
) -> list[NodeRecord]:
    def sort_key(candidate: NodeRecord) -> tuple[float, float, int]:
        shards_per_core = (shards_by_name[candidate.node] + 1) / max(candidate.cores, MIN_CORES)
        return shards_per_core, -candidate.cores, _tie_breaker(candidate.node, shard)

    return sorted(candidates, key=sort_key)


def _tie_breaker(node: str, shard: int) -> int:
    return zlib.crc32(f"{node}/{shard}".encode())
