"""Dominant resource share: the largest share that something uses of any one resource."""

__all__ = ["Amounts", "dominant_share"]

# Processors, memory and accelerators, each in the unit of the caller.
Amounts = tuple[int, int, int]


def dominant_share(used: Amounts, capacity: Amounts) -> float:
    """Returns the largest used share of a resource, 1.0 for all of it.

    Use of a resource of which there is no capacity counts as if there were one unit.
    """
    cores, memory_mb, accelerators = used
    all_cores, all_memory_mb, all_accelerators = capacity
    return max(
        cores / max(all_cores, 1),
        memory_mb / max(all_memory_mb, 1),
        accelerators / max(all_accelerators, 1),
    )
