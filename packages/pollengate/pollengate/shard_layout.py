"""The number of shards of a zone, recorded by the first scheduler that serves the zone.

The shard of a worker is a hash of its id modulo that number. Owners that use different numbers
could claim the same worker, or leave a worker without an owner. Therefore the recorded number is
used even if the configured one changes.
"""

from result import Err, Ok, Result

from pollengate.store import Put, Store, StoreFailure, Unchanged

__all__ = ["LAYOUT_PREFIX", "ensure_shard_count"]

LAYOUT_PREFIX = "/pollengate/layout/"


async def ensure_shard_count(store: Store, zone: str, configured: int) -> Result[int, StoreFailure]:
    """Returns the recorded number of shards, after recording `configured` if there is none."""
    key = LAYOUT_PREFIX + zone
    write = Put(key, str(configured).encode())
    result = await store.commit((Unchanged(key, 0),), (write,))
    if isinstance(result, Err):
        return result
    if result.ok_value.succeeded:
        return Ok(configured)
    return Ok(int(result.ok_value.current[0].value))
