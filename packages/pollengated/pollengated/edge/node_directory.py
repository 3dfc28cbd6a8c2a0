"""The running processes and the owners of shards, as registered in the store."""

import asyncio
import dataclasses
from collections.abc import Collection

import msgspec
from pollengate.store import Entry, PolledStore
from pollengate.workflow.keys import NODE_PREFIX, OWNER_PREFIX, member_key, owner_key

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["NodeDirectory", "NodeRecord", "Owner"]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """Registration of a running process.

    Attributes:
        node: name of its VM.
        address: `ip:port` at which other processes call it.
        incarnation: identifies one start of the process.
        cores: number of processors that it may use.
        is_leaving: whether it is about to stop.
    """

    node: str
    address: str
    incarnation: str
    cores: float = 1.0
    is_leaving: bool = False

    def encode(self) -> bytes:
        """Returns the record in its stored form."""
        return msgspec.json.encode(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard.

    Attributes:
        record: the registration of the owning process.
        token: revision of the owner key, which is the fencing token.
        lease_id: store lease to which the owner key is attached.
    """

    record: NodeRecord
    token: int
    lease_id: int


class NodeDirectory:
    """Local copy of the member and owner keys.

    Args:
        store: the platform's store.
        clocks: the process's clocks.
        metrics: counts invalid records.

    Attributes:
        cache: the cached keys.
    """

    def __init__(
        self, store: PolledStore, clocks: Clocks, metrics: EdgeMetrics | None = None
    ) -> None:
        self._metrics = metrics or EdgeMetrics()
        self.cache = PrefixCache(
            store,
            NODE_PREFIX,
            clocks,
            self._changed,
            apply_key=self._apply_key,
            metrics=self._metrics,
        )
        self._records_by_key: dict[str, NodeRecord] = {}
        self._changed_event = asyncio.Event()
        self._log = Log("directory")

    def owner(self, shard: int) -> Owner | None:
        """Returns the owner of a shard, None if it has none."""
        key = owner_key(shard)
        entry = self.cache.entries_by_key.get(key)
        record = self._records_by_key.get(key)
        if entry is None or record is None:
            return None
        return Owner(record, entry.revision, entry.lease_id)

    def owner_names_by_shard(self) -> dict[int, str]:
        """Returns the VM names of the owners of all shards that have one."""
        names_by_shard = {}
        for key, record in self._records_by_key.items():
            number = key.removeprefix(OWNER_PREFIX)
            if number != key and number.isdecimal():
                names_by_shard[int(number)] = record.node
        return names_by_shard

    def members(self) -> list[NodeRecord]:
        """Returns the running processes."""
        prefix = member_key("")
        return [record for key, record in self._records_by_key.items() if key.startswith(prefix)]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change, at most for the timeout."""
        event = self._changed_event
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def _decode(self, entry: Entry) -> NodeRecord | None:
        try:
            return msgspec.json.decode(entry.value, type=NodeRecord)
        except msgspec.MsgspecError as error:
            self._log.warning(
                "node record is unreadable; ignoring it", key=entry.key, cause=str(error)
            )
            self._metrics.invalid_entries.labels(NODE_PREFIX).inc()
            return None

    def _apply_key(self, key: str) -> bool:
        entry = self.cache.entries_by_key.get(key)
        record = None if entry is None else self._decode(entry)
        if record is None:
            self._records_by_key.pop(key, None)
        else:
            self._records_by_key[key] = record
        return True

    def _changed(self, _keys: Collection[str]) -> None:
        self._changed_event.set()
        self._changed_event = asyncio.Event()
