"""The running processes and the owners of shards, as registered in the store."""

import asyncio
import dataclasses
from collections.abc import Collection

import msgspec
from pollengate.addresses import is_address
from pollengate.decoding import DocumentDecoder, Quantity, shorten
from pollengate.store import Entry, PolledStore
from pollengate.workflow.keys import NODE_PREFIX, OWNER_PREFIX, member_key, owner_key
from result import Err, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["NodeDirectory", "NodeRecord", "Owner", "decode_node_record"]

# Registrations that have expired in an outage of the store are back within this time of its end,
# if the processes run: the longest time until a renewal, its failure and the registration.
REJOIN_S = 3.0


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
    cores: Quantity = 1.0
    is_leaving: bool = False

    def encode(self) -> bytes:
        """Returns the record in its stored form."""
        return msgspec.json.encode(self)


_RECORD_DECODER = DocumentDecoder(NodeRecord)


def decode_node_record(value: bytes) -> Result[NodeRecord, str]:
    """Decodes a record; the error says why it names no process to call."""
    decoded = _RECORD_DECODER.decode(value)
    if not isinstance(decoded, Err) and not is_address(decoded.ok_value.address):
        return Err(f"address {shorten(decoded.ok_value.address)!r} is not host:port")
    return decoded


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


@dataclasses.dataclass(frozen=True, slots=True)
class _LapsedRecord:
    """A registration that has gone, and the clock time at which this process learned of it."""

    record: NodeRecord
    at: float


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
        self._clocks = clocks
        self._records_by_key: dict[str, NodeRecord] = {}
        self._lapsed_by_key: dict[str, _LapsedRecord] = {}
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

    def candidates(self) -> list[NodeRecord]:
        """Returns the processes that run as far as this one can know.

        They are the members and, for `REJOIN_S` after an outage of the store, those whose
        registrations have expired in it. The first process to register again would otherwise find
        itself alone.
        """
        recovered_at = self.cache.recovered_at
        if self._clocks.monotonic_s() >= recovered_at + REJOIN_S:
            return self.members()
        lapsed = self._lapsed_by_key.values()
        return self.members() + [each.record for each in lapsed if each.at >= recovered_at]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change, at most for the timeout."""
        event = self._changed_event
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def _decode(self, entry: Entry) -> NodeRecord | None:
        decoded = decode_node_record(entry.value)
        if isinstance(decoded, Err):
            self._log.warning(
                "node record is unreadable; ignoring it", key=entry.key, cause=decoded.err_value
            )
            self._metrics.invalid_entries.labels(NODE_PREFIX).inc()
        return decoded.ok()

    def _apply_key(self, key: str) -> bool:
        entry = self.cache.entries_by_key.get(key)
        record = None if entry is None else self._decode(entry)
        if record is not None:
            self._records_by_key[key] = record
            self._lapsed_by_key.pop(key, None)
            return True
        lapsed = self._records_by_key.pop(key, None)
        if lapsed is not None and key.startswith(member_key("")):
            self._lapsed_by_key[key] = _LapsedRecord(lapsed, self._clocks.monotonic_s())
        return True

    def _changed(self, _keys: Collection[str]) -> None:
        self._changed_event.set()
        self._changed_event = asyncio.Event()
