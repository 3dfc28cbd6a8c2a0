"""How many shards a deployment has: fixed once, when it starts for the first time."""

import asyncio

import msgspec
from pollengate.store import PolledStore, Put, Unchanged
from pollengate.workflow.keys import LAYOUT_KEY
from pollengate_platform.documents import WORKER_PREFIX
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.logs import Log

__all__ = ["Layout", "find_layout"]

# One owner's process places, starts and holds the tasks of about so many workers.
WORKERS_PER_SHARD = 70
# After the first worker has registered, the others follow within a few heartbeats.
REGISTRATION_S = 3.0
RETRY_S = 0.3


class Layout(msgspec.Struct, frozen=True):
    """The number of shards of a deployment."""

    shards: int


async def find_layout(store: PolledStore, clocks: Clocks) -> Layout:
    """Returns the layout; decides it if there is none and workers have registered."""
    first_seen: float | None = None
    while True:
        entry = await store.get(LAYOUT_KEY)
        if not isinstance(entry, Err) and entry.ok_value is not None:
            return msgspec.json.decode(entry.ok_value.value, type=Layout)
        workers = await store.list(WORKER_PREFIX)
        if not isinstance(entry, Err) and not isinstance(workers, Err):
            count = len(workers.ok_value.entries)
            if count and first_seen is None:
                first_seen = clocks.steady()
            if first_seen is not None and clocks.steady() - first_seen >= REGISTRATION_S:
                await _decide(store, count)
        await asyncio.sleep(RETRY_S)


async def _decide(store: PolledStore, workers: int) -> None:
    layout = Layout(max(1, -(-workers // WORKERS_PER_SHARD)))
    put = Put(LAYOUT_KEY, msgspec.json.encode(layout))
    decided = await store.commit((Unchanged(LAYOUT_KEY, 0),), (put,))
    failure = decided.err_value.detail if isinstance(decided, Err) else "none"
    Log("layout").info("layout decided", shards=layout.shards, workers=workers, failure=failure)
