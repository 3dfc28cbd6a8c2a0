"""The shards of a deployment, fixed when it starts for the first time."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
from pollengate.decoding import DocumentDecoder
from pollengate.store import Entry, PolledStore, Put, Unchanged
from pollengate.workflow.keys import LAYOUT_KEY, shard_of_unassigned_rack
from pollengate.workflow.model import Worker
from pollengate.workflow.sharding import assign_racks
from pollengate_platform.documents import WORKER_PREFIX, decode_worker
from result import Err, Result

from pollengated.edge.clocks import Clocks
from pollengated.logs import Log

__all__ = ["Layout", "decode_layout", "load_or_decide_layout"]

# Number of workers that one process can schedule and renew leases for.
WORKERS_PER_SHARD = 70
# Each process runs an elector for each shard.
MAX_SHARDS = 10_000
# The layout is decided once no worker has registered for this long, as hundreds of workers take
# several seconds to register.
SETTLED_AFTER_S = 2.0
# It is decided after this time in any case, before the first clients come.
MAX_REGISTRATION_WAIT_S = 9.0
RETRY_S = 0.3


class Layout(msgspec.Struct, frozen=True):
    """Number of shards of a deployment and the assignment of racks to them.

    Attributes:
        shards: number of shards.
        shard_by_rack: shard of each rack that had workers when the layout was decided.
    """

    shards: Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARDS)]
    shard_by_rack: dict[str, int] = {}

    def shard_of(self, rack: str) -> int:
        """Returns the shard of a rack's workers, also for racks that the layout does not list."""
        shard = self.shard_by_rack.get(rack)
        return shard_of_unassigned_rack(rack, self.shards) if shard is None else shard


_LAYOUT_DECODER = DocumentDecoder(Layout)


async def load_or_decide_layout(
    store: PolledStore, clocks: Clocks, may_decide: Callable[[], bool] = lambda: True
) -> Layout:
    """Returns the stored layout; if there is none, waits until all workers have registered.

    Several processes may do this at the same time; the first write wins.

    Args:
        store: the platform's store.
        clocks: the process's clocks.
        may_decide: returns whether this process lists the workers to decide the layout. The others
            wait for it and list them only if it takes too long: a listing is large.
    """
    log = Log("layout")
    began_at = clocks.monotonic_s()
    first_seen_at: float | None = None
    grown_at = 0.0
    known_workers = 0
    while True:
        entry = await store.get(LAYOUT_KEY)
        if not isinstance(entry, Err) and entry.ok_value is not None:
            layout = decode_layout(entry.ok_value.value)
            if not isinstance(layout, Err):
                return layout.ok_value
            log.warning("stored layout is unreadable; waiting for it", cause=layout.err_value)
        if not may_decide() and clocks.monotonic_s() - began_at < MAX_REGISTRATION_WAIT_S:
            await asyncio.sleep(RETRY_S)
            continue
        workers = await store.list(WORKER_PREFIX)
        if not isinstance(entry, Err) and not isinstance(workers, Err):
            registered = _decode_workers(workers.ok_value.entries)
            now = clocks.monotonic_s()
            if registered and first_seen_at is None:
                first_seen_at = now
            if len(registered) > known_workers:
                known_workers, grown_at = len(registered), now
            if first_seen_at is not None and (
                now - grown_at >= SETTLED_AFTER_S or now - first_seen_at >= MAX_REGISTRATION_WAIT_S
            ):
                await _write_new_layout(store, registered)
        await asyncio.sleep(RETRY_S)


def decode_layout(value: bytes) -> Result[Layout, str]:
    """Decodes a stored layout; the error says why it cannot be used."""
    decoded = _LAYOUT_DECODER.decode(value)
    if isinstance(decoded, Err):
        return decoded
    layout = decoded.ok_value
    if not all(0 <= shard < layout.shards for shard in layout.shard_by_rack.values()):
        return Err("a rack belongs to a shard that does not exist")
    return decoded


def _decode_workers(entries: Iterable[Entry]) -> list[Worker]:
    """Decodes worker entries; skips unusable ones, which `WorkerRegistry` logs."""
    decoded = (decode_worker(entry) for entry in entries)
    return [result.ok_value for result in decoded if not isinstance(result, Err)]


async def _write_new_layout(store: PolledStore, workers: list[Worker]) -> None:
    """Decides a layout and writes it unless another process has written one."""
    shards = max(1, -(-len(workers) // WORKERS_PER_SHARD))
    layout = Layout(shards, assign_racks(workers, shards))
    put = Put(LAYOUT_KEY, msgspec.json.encode(layout))
    decided = await store.commit((Unchanged(LAYOUT_KEY, 0),), (put,))
    Log("layout").info(
        "layout proposed",
        shards=shards,
        workers=len(workers),
        racks=len(layout.shard_by_rack),
        failure=decided.err_value.detail if isinstance(decided, Err) else "none",
    )
