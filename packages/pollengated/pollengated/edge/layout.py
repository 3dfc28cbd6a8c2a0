"""The shards of a deployment, fixed when it starts for the first time."""

import asyncio
from collections.abc import Iterable

import msgspec
from pollengate.store import Entry, PolledStore, Put, Unchanged
from pollengate.workflow.keys import LAYOUT_KEY, shard_of_unassigned_rack
from pollengate.workflow.model import Worker
from pollengate.workflow.sharding import assign_racks
from pollengate_platform.documents import WORKER_PREFIX, decode_worker
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.logs import Log

__all__ = ["Layout", "load_or_decide_layout"]

# Number of workers that one process can schedule and renew leases for.
WORKERS_PER_SHARD = 70
# All workers register within a few heartbeats of the first one.
REGISTRATION_WAIT_S = 3.0
RETRY_S = 0.3


class Layout(msgspec.Struct, frozen=True):
    """Number of shards of a deployment and the assignment of racks to them.

    Attributes:
        shards: number of shards.
        shard_by_rack: shard of each rack that had workers when the layout was decided.
    """

    shards: int
    shard_by_rack: dict[str, int] = {}

    def shard_of(self, rack: str) -> int:
        """Returns the shard of a rack's workers, also for racks that the layout does not list."""
        shard = self.shard_by_rack.get(rack)
        return shard_of_unassigned_rack(rack, self.shards) if shard is None else shard


async def load_or_decide_layout(store: PolledStore, clocks: Clocks) -> Layout:
    """Returns the stored layout; if there is none, waits for workers and decides it.

    Several processes may do this at the same time; the first write wins.
    """
    first_seen_at: float | None = None
    while True:
        entry = await store.get(LAYOUT_KEY)
        if not isinstance(entry, Err) and entry.ok_value is not None:
            return msgspec.json.decode(entry.ok_value.value, type=Layout)
        workers = await store.list(WORKER_PREFIX)
        if not isinstance(entry, Err) and not isinstance(workers, Err):
            registered = _decode_workers(workers.ok_value.entries)
            if registered and first_seen_at is None:
                first_seen_at = clocks.monotonic_s()
            if (
                first_seen_at is not None
                and clocks.monotonic_s() - first_seen_at >= REGISTRATION_WAIT_S
            ):
                await _write_new_layout(store, registered)
        await asyncio.sleep(RETRY_S)


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
