"""The number of shards of a zone, fixed by the first scheduler that serves it.

A worker belongs to a shard by a hash of its id and that number. Two owners which count
differently could both hold a worker and could both miss one, so a number that was changed in
the configuration is not followed while the recorded one stands.
"""

from result import Err, Ok, Result

from pollengate.store import Put, Store, StoreFailure, Unchanged

__all__ = ["LAYOUT_PREFIX", "ensure_shard_count"]

LAYOUT_PREFIX = "/pollengate/layout/"


async def ensure_shard_count(store: Store, zone: str, configured: int) -> Result[int, StoreFailure]:
    """Returns the recorded number of shards; records the configured one if there is none."""
    key = LAYOUT_PREFIX + zone
    write = Put(key, str(configured).encode())
    result = await store.commit((Unchanged(key, 0),), (write,))
    if isinstance(result, Err):
        return result
    if result.ok_value.succeeded:
        return Ok(configured)
    return Ok(int(result.ok_value.current[0].value))
