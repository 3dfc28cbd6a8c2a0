"""Reads and writes the record of the parts of accounts' limits that shards have.

A write has two conditions. The record has to be at the revision that the owner has read, so that
the rows of all shards never exceed a limit together and a late write has no effect. The owner key
has to be at the owner's token, so that an earlier owner of the shard can't write.

The store is not contacted before the configuration has an account with a limit. From then on the
record is watched until the end of the ownership term.
"""

import asyncio
from collections.abc import Callable, Collection

from pollengate.accounts.limits import AccountLimits, ShareWrite
from pollengate.accounts.shares_record import decode_shares, encode_shares
from pollengate.store import (
    CommitResult,
    Entry,
    FailureKind,
    PolledStore,
    Put,
    StoreFailure,
    Unchanged,
)
from pollengate.workflow.keys import ACCOUNT_SHARES_KEY, owner_key
from pollengate.workflow.model import Demand
from pollengate.workflow.shard_lease import ShardLease
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["AccountShares"]

# Each owner writes at most once in this time. With 34 owners that is 136 writes a second of the
# 1,200 that the store takes.
WRITE_INTERVAL_S = 0.25
# Polls return at least every two seconds; a copy that is older shows that the store is unreachable.
UNREACHABLE_AFTER_S = 4.0
# A part that changes by this fraction of its old amount, or more, is logged.
LOGGED_CHANGE = 0.5


class AccountShares:
    """Keeps the limits of client accounts of one shard in step with the record.

    Args:
        shard: number of the shard.
        shards: number of shards of the deployment.
        store: the platform's store.
        shard_lease: the owner's lease; each write expects the owner key to be at its token.
        clocks: the process's clocks.

    Attributes:
        shard: number of the shard.
        shards: number of shards of the deployment.
        limits: what accounts may have running in the shard; set before `run`.
        is_settled: whether all runs of earlier owners are known, so that rows may be lowered to
            what is running; set before `run`.
    """

    limits: AccountLimits
    is_settled: Callable[[], bool]

    def __init__(
        self, shard: int, shards: int, store: PolledStore, shard_lease: ShardLease, clocks: Clocks
    ) -> None:
        self.shards = shards
        self.shard = shard
        self._store = store
        self._shard_lease = shard_lease
        self._clocks = clocks
        self._cache = PrefixCache(store, ACCOUNT_SHARES_KEY, clocks, self._copy_changed)
        self._is_needed = asyncio.Event()
        self._wake = asyncio.Event()
        self._on_change: Callable[[], None] = lambda: None
        self._is_readable = True
        self._failing_since: float | None = None
        self._failed_at = float("-inf")
        self._log = Log("accounts")

    async def run(self, on_change: Callable[[], None]) -> None:
        """Reads and writes the record from the first limit on, until cancelled.

        Args:
            on_change: called when parts may have risen, so that more tasks may start.
        """
        self._on_change = on_change
        await self._is_needed.wait()
        await asyncio.gather(self._cache.run(), self._write_loop())

    def update(self) -> None:
        """Checks whether a row is to be written; called every 0.1 s and when a task waits."""
        if self.limits.is_used and self.limits.is_shared:
            self._is_needed.set()
            self._wake.set()

    def _copy_changed(self, keys: Collection[str]) -> None:
        entry = self._cache.entries_by_key.get(ACCOUNT_SHARES_KEY)
        # The first copy is reported without a key if there is no record.
        if entry is not None or not keys or ACCOUNT_SHARES_KEY in keys:
            self._apply(entry)

    def _apply(self, entry: Entry | None) -> None:
        """Applies the record as stored; an unreadable one leaves the rows as they were."""
        decoded = decode_shares(entry.value if entry is not None else b"{}")
        self._is_readable = not isinstance(decoded, Err)
        if isinstance(decoded, Err):
            self._log.warning(
                "record is unreadable; parts of limits stay as they are",
                key=ACCOUNT_SHARES_KEY,
                cause=decoded.err_value,
            )
            return
        revision = entry.revision if entry is not None else 0
        self.limits.apply_record(decoded.ok_value, revision, self._clocks.monotonic_s())
        self._wake.set()
        self._on_change()

    async def _write_loop(self) -> None:
        while not self._shard_lease.is_lost:
            await self._wake.wait()
            self._wake.clear()
            now = self._clocks.monotonic_s()
            self.limits.set_reachable(
                self._cache.age_s() < UNREACHABLE_AFTER_S
                and now - self._failed_at >= UNREACHABLE_AFTER_S
            )
            if self._is_readable and self._shard_lease.is_valid(now) and self.is_settled():
                write = self.limits.next_write(now)
                if write is not None:
                    await self._send(write)
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _send(self, write: ShareWrite) -> None:
        conditions = (
            Unchanged(owner_key(self.shard), self._shard_lease.token),
            Unchanged(ACCOUNT_SHARES_KEY, write.base_revision),
        )
        parts_before = {
            account: self.limits.row_of(account, self.shard).part for account in write.own_rows
        }
        put = Put(ACCOUNT_SHARES_KEY, encode_shares(write.record))
        result = await self._store.commit(conditions, (put,))
        if isinstance(result, Err):
            if result.err_value.kind is not FailureKind.UNKNOWN:
                self.limits.discard(write)
            self._handle_failure(result.err_value)
            return
        self._handle_reply()
        if result.ok_value.succeeded:
            now = self._clocks.monotonic_s()
            self.limits.confirm(write, result.ok_value.revision, now)
            self._log_changes(write, parts_before)
            self._on_change()
        else:
            self._handle_conflict(write, result.ok_value)

    def _handle_conflict(self, write: ShareWrite, conflict: CommitResult) -> None:
        current = {entry.key: entry for entry in conflict.current}
        owner = current.get(owner_key(self.shard))
        if owner is None or owner.revision != self._shard_lease.token:
            self._log.warning(
                "this process no longer owns the shard; its row is not written",
                shard=self.shard,
                token=self._shard_lease.token,
            )
            return
        self.limits.discard(write)
        self._apply(current.get(ACCOUNT_SHARES_KEY))

    def _log_changes(self, write: ShareWrite, parts_before: dict[str, Demand]) -> None:
        for account, row in write.own_rows.items():
            before, after = parts_before[account], row.part
            if not _has_changed_much(before, after):
                continue
            self._log.info(
                "part of a limit changed",
                account=account,
                shard=self.shard,
                cpu_millis=after.cpu_millis,
                memory_mb=after.memory_mb,
                accelerators=after.accelerators,
                before_cpu_millis=before.cpu_millis,
                before_memory_mb=before.memory_mb,
                before_accelerators=before.accelerators,
            )

    def _handle_failure(self, failure: StoreFailure) -> None:
        self._failed_at = self._clocks.monotonic_s()
        if self._failing_since is None:
            self._failing_since = self._failed_at
            self._log.warning(
                "cannot write the parts of limits; going on within them",
                shard=self.shard,
                kind=failure.kind.value,
                cause=failure.detail,
            )

    def _handle_reply(self) -> None:
        if self._failing_since is not None:
            failing_s = self._clocks.monotonic_s() - self._failing_since
            self._failing_since = None
            self._log.info(
                "parts of limits are written again",
                shard=self.shard,
                failing_s=round(failing_s, 2),
            )


def _has_changed_much(before: Demand, after: Demand) -> bool:
    pairs = (
        (before.cpu_millis, after.cpu_millis),
        (before.memory_mb, after.memory_mb),
        (before.accelerators, after.accelerators),
    )
    return any(abs(new - old) >= max(1, LOGGED_CHANGE * max(old, new)) for old, new in pairs)
