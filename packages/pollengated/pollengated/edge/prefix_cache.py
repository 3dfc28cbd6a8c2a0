"""Local copy of the store keys below a prefix, and its age."""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable, Collection, Iterable

from pollengate.store import (
    POLL_WAIT_S,
    Entry,
    FailureKind,
    PolledStore,
    StoreFailure,
    Transfer,
    WatchEvent,
)
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["PrefixCache", "ViewRead", "ViewSource"]

# Short, so that the copy is updated soon after the store is available again.
RETRY_S = 0.2
# A listing has all keys below the prefix; a key that cannot be applied may change every second.
RELIST_INTERVAL_S = 10.0
# A poll returns every write since the copy's revision, a listing only the newest of each key. A
# poll that is longer than this and this share of the copy is given up for a listing, so that a copy
# is never further behind than its own length takes.
MIN_POLL_BYTES = 65_536
MAX_POLL_SHARE = 1.5
# Length of an entry in a response beside its key and value.
ENTRY_BYTES = 80


class ViewSource(enum.StrEnum):
    """Where a change of a copy came from."""

    POLL = "poll"
    LISTING = "listing"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class ViewRead:
    """How the newest change of a copy was read.

    Attributes:
        source: where it came from.
        events: number of writes in it; of several writes of one key only the last one matters.
        transfer: the response.
        age_at_most_s: time since the copy was known to be current before; none of the writes is
            older than that.
    """

    source: ViewSource
    events: int
    transfer: Transfer
    age_at_most_s: float


def _sent_bytes(entry: Entry) -> int:
    """Returns about how long an entry is in a response, where its value is in Base64."""
    return ENTRY_BYTES + len(entry.key) + 4 * len(entry.value) // 3


class PrefixCache:
    """Local copy of all keys below a prefix, updated by long polls of the store.

    An error of `apply_key` concerns one key: it is logged and counted, the other keys are applied,
    and the copy is listed anew, after which the key is tried once more, unless it was listed anew
    within `RELIST_INTERVAL_S`. After an error of `on_change`, the keys are passed on again with the
    next change.

    Args:
        store: the platform's store.
        prefix: the prefix of the keys.
        clocks: the process's clocks.
        on_change: called after each change of the copy with the keys for which `apply_key` returned
            True, and after each listing.
        pause_s: pause after a poll that returned changes, so that the next one returns several.
        apply_key: called with each key that changed; returns whether to pass it to `on_change`.
        metrics: counts the keys that could not be applied.

    Attributes:
        entries_by_key: the cached entries.
        revision: store revision of the copy, 0 before the first read; it rises with each write of
            any key.
        newest_change: revision of the newest change of the copy, or of a listing that had it; a
            copy with a higher one has changes that this one lacks.
        last_read: how the newest change was read, None before the first one.
        confirmed_at: clock time at which the copy was last known to be current; None before the
            first read.
        recovered_at: clock time at which the store last replied again after a failure; minus
            infinity if no call has failed. What has gone by then may have gone because of an outage
            of the store, not because its writer has.
    """

    def __init__(
        self,
        store: PolledStore,
        prefix: str,
        clocks: Clocks,
        on_change: Callable[[Collection[str]], None],
        pause_s: float = 0.0,
        apply_key: Callable[[str], bool] = lambda key: True,
        metrics: EdgeMetrics | None = None,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clocks = clocks
        self._on_change = on_change
        self._pause_s = pause_s
        self._apply_key = apply_key
        self._metrics = metrics or EdgeMetrics()
        self._log = Log("views")
        self._is_failing = False
        self._must_list = True
        self._relisted_at = float("-inf")
        self._failed_revisions_by_key: dict[str, int] = {}
        self._unreported_keys: set[str] = set()
        self.entries_by_key: dict[str, Entry] = {}
        self._copy_bytes = 0
        self.revision = 0
        self.newest_change = 0
        self.last_read: ViewRead | None = None
        self.confirmed_at: float | None = None
        self.recovered_at = float("-inf")

    def age_s(self) -> float:
        """Returns the seconds since the copy was last confirmed; infinity before the first read."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clocks.monotonic_s() - self.confirmed_at

    def silent_s(self) -> float:
        """Returns the seconds since the copy was confirmed or a part of a response arrived."""
        received_at = self._store.received_at(self._prefix)
        return min(self.age_s(), self._clocks.monotonic_s() - received_at)

    async def run(self) -> None:
        """Updates the copy until cancelled."""
        self._must_list = True
        while True:
            if self._must_list:
                self._must_list = False
                failure = await self._list()
            else:
                failure = await self._poll()
            if failure is not None and failure.kind is FailureKind.TOO_LONG:
                self._must_list = True
                self._metrics.long_polls.labels(self._prefix).inc()
            elif failure is not None:
                if self.revision == 0 or failure.kind is FailureKind.HISTORY_GONE:
                    self._must_list = True
                self._handle_failure(failure)
                if failure.kind is not FailureKind.HISTORY_GONE:
                    await asyncio.sleep(RETRY_S)

    def replace_if_newer(
        self, entries: Iterable[Entry], revision: int, newest_change: int | None = None
    ) -> bool:
        """Replaces the copy by that of another process if that is newer; returns whether it was.

        Args:
            entries: the other copy.
            revision: store revision of that copy.
            newest_change: its newest change, `revision` by default.
        """
        if revision <= self.revision:
            return False
        copied = tuple(entries)
        size_bytes = sum(len(entry.key) + len(entry.value) for entry in copied)
        self._record_read(ViewSource.PEER, len(copied), Transfer(size_bytes), self.age_s())
        self._replace(copied, revision)
        self.newest_change = revision if newest_change is None else newest_change
        return True

    async def _list(self) -> StoreFailure | None:
        requested_at = self._clocks.monotonic_s()
        listing = await self._store.list(self._prefix)
        if isinstance(listing, Err):
            return listing.err_value
        age_s = self.age_s()
        self._mark_confirmed(requested_at)
        if listing.ok_value.revision >= self.revision:
            found = listing.ok_value
            self._record_read(ViewSource.LISTING, len(found.entries), found.transfer, age_s)
            self._replace(listing.ok_value.entries, listing.ok_value.revision)
        return None

    async def _poll(self) -> StoreFailure | None:
        max_bytes = MIN_POLL_BYTES + int(MAX_POLL_SHARE * self._copy_bytes)
        polled = await self._store.changes(self._prefix, self.revision, POLL_WAIT_S, max_bytes)
        if isinstance(polled, Err):
            return polled.err_value
        age_s = self.age_s()
        self._mark_confirmed(self._clocks.monotonic_s())
        if events := polled.ok_value.events:
            self._record_read(ViewSource.POLL, len(events), polled.ok_value.transfer, age_s)
        changed_keys = {event.key for event in polled.ok_value.events if self._apply_event(event)}
        self.revision = max(self.revision, polled.ok_value.revision)
        if changed_keys:
            self._apply_keys(changed_keys)
        if self._unreported_keys:
            self._report()
        if polled.ok_value.events and self._pause_s:
            await asyncio.sleep(self._pause_s)
        return None

    def _record_read(
        self, source: ViewSource, events: int, transfer: Transfer, age_at_most_s: float
    ) -> None:
        self.last_read = ViewRead(source, events, transfer, age_at_most_s)
        self._metrics.view_bytes.labels(self._prefix, source.value).inc(transfer.size_bytes)
        if age_at_most_s < math.inf:
            self._metrics.view_age_seconds.labels(self._prefix).observe(age_at_most_s)

    def _replace(self, entries: Iterable[Entry], revision: int) -> None:
        known, self.entries_by_key = self.entries_by_key, {entry.key: entry for entry in entries}
        self._copy_bytes = sum(map(_sent_bytes, self.entries_by_key.values()))
        self.revision = revision
        keys = known.keys() | self.entries_by_key.keys()
        changed = {key for key in keys if known.get(key) != self.entries_by_key.get(key)}
        if changed:
            self.newest_change = revision
        self._apply_keys(changed | self._failed_revisions_by_key.keys())
        self._report()

    def _apply_keys(self, keys: Iterable[str]) -> None:
        """Applies the newest entry of each key, whether or not others can be applied."""
        for key in keys:
            entry = self.entries_by_key.get(key)
            revision = entry.revision if entry is not None else 0
            try:
                if self._apply_key(key):
                    self._unreported_keys.add(key)
                self._failed_revisions_by_key.pop(key, None)
            except Exception as error:
                self._log.error("entry cannot be applied; the others are", error, key=key)
                self._metrics.unapplied_entries.labels(self._prefix).inc()
                if self._failed_revisions_by_key.get(key) != revision:
                    self._failed_revisions_by_key[key] = revision
                    self._request_listing()

    def _request_listing(self) -> None:
        now = self._clocks.monotonic_s()
        if now - self._relisted_at >= RELIST_INTERVAL_S:
            self._relisted_at = now
            self._must_list = True

    def _report(self) -> None:
        """Passes the applied keys on; they are kept until that has succeeded."""
        self._on_change(frozenset(self._unreported_keys))
        self._unreported_keys.clear()

    def _apply_event(self, event: WatchEvent) -> bool:
        """Applies an event; returns whether it is newer than the copy of its key."""
        known = self.entries_by_key.get(event.key)
        if known is not None and known.revision >= event.revision:
            return False
        self.newest_change = max(self.newest_change, event.revision)
        self._copy_bytes -= 0 if known is None else _sent_bytes(known)
        if event.entry is None:
            self.entries_by_key.pop(event.key, None)
        else:
            self.entries_by_key[event.key] = event.entry
            self._copy_bytes += _sent_bytes(event.entry)
        return True

    def _mark_confirmed(self, at: float) -> None:
        if self._is_failing:
            self._is_failing = False
            self.recovered_at = self._clocks.monotonic_s()
            self._log.info("store replies again", prefix=self._prefix, age_s=round(self.age_s(), 2))
        self.confirmed_at = at

    def _handle_failure(self, failure: StoreFailure) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._log.warning(
                "store request failed; the local copy may be out of date until one succeeds",
                prefix=self._prefix,
                kind=failure.kind.value,
                cause=failure.detail,
                age_s=round(self.age_s(), 2),
            )
