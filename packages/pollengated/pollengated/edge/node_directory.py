"""Which processes run and which of them own shards."""

import asyncio
import dataclasses

import msgspec
from pollengate.store import Entry, PolledStore
from pollengate.workflow.keys import NODE_PREFIX, member_key, owner_key

from pollengated.edge.clocks import Clocks
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["NodeDirectory", "NodeRecord", "Owner"]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A running process.

    Attributes:
        node: name of its VM.
        address: `ip:port` for the system's other processes.
        incarnation: tells its starts apart.
        cores: processors that it may use.
        is_leaving: whether it is about to stop.
    """

    node: str
    address: str
    incarnation: str
    cores: float = 1.0
    is_leaving: bool = False

    def encode(self) -> bytes:
        """Returns the record as stored."""
        return msgspec.json.encode(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard; `lease_id` is the store lease that its ownership is bound to."""

    record: NodeRecord
    token: int
    lease_id: int


class NodeDirectory:
    """Follows members and owners.

    Attributes:
        cache: the copy of their keys.
    """

    def __init__(self, store: PolledStore, clocks: Clocks) -> None:
        self.cache = PrefixCache(store, NODE_PREFIX, clocks, self._changed)
        self._changed_event = asyncio.Event()
        self._log = Log("directory")

    def owner(self, shard: int) -> Owner | None:
        """Returns a shard's owner, None if there is none."""
        entry = self.cache.entries_by_key.get(owner_key(shard))
        record = None if entry is None else self._decode(entry)
        if entry is None or record is None:
            return None
        return Owner(record, entry.revision, entry.lease_id)

    def members(self) -> list[NodeRecord]:
        """Returns the running processes."""
        prefix = member_key("")
        records = (
            self._decode(entry)
            for key, entry in self.cache.entries_by_key.items()
            if key.startswith(prefix)
        )
        return [record for record in records if record is not None]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Returns after the next change or the timeout."""
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
            self._log.warning("record is unreadable", key=entry.key, cause=str(error))
            return None

    def _changed(self) -> None:
        self._changed_event.set()
        self._changed_event = asyncio.Event()
