"""Receives jobs that other shards have transferred to this one."""

import asyncio

from pollengate.failpoints import Failpoint
from pollengate.ledger import LedgerFailure
from pollengate.ledger_records import JobRecord
from pollengate.store import Entry
from result import Err, Ok, Result

from pollengated.logs import Log
from pollengated.ownership_term import OwnershipTerm

__all__ = ["Inbox"]

POLL_INTERVAL_S = 2.0
MIN_POLL_INTERVAL_S = 0.2


class Inbox:
    """Polls the shard's inbox in the ledger and loads the jobs found there."""

    def __init__(self, term: OwnershipTerm) -> None:
        self._term = term
        self._polled_at = -POLL_INTERVAL_S
        self._lock = asyncio.Lock()
        # Entries whose receipt could not be recorded; the write may still take effect.
        self._unresolved_by_key: dict[str, Entry] = {}
        self._log = Log("inbox")

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Receives every job in the inbox, unless polled less than `MIN_POLL_INTERVAL_S` ago."""
        async with self._lock:
            now = asyncio.get_running_loop().time()
            if now - self._polled_at >= MIN_POLL_INTERVAL_S:
                self._polled_at = now
                await self._receive_all()

    async def _receive_all(self) -> None:
        term = self._term
        listing = await term.ledger.list_inbox()
        if isinstance(listing, Err):
            return
        listed_keys = {entry.key for entry in listing.ok_value}
        unlisted = [e for key, e in self._unresolved_by_key.items() if key not in listed_keys]
        for entry in (*listing.ok_value, *unlisted):
            if not term.is_serving():
                return
            result = await self._receive(entry, entry.key in listed_keys)
            await term.failpoints.reach(Failpoint.TRANSFER_RECEIVED)
            if isinstance(result, Ok) and term.is_valid():
                self._unresolved_by_key.pop(entry.key, None)
                self._load_job(result.ok_value)

    async def _receive(self, entry: Entry, is_listed: bool) -> Result[JobRecord, LedgerFailure]:
        term = self._term
        if is_listed:
            result = await term.ledger.receive_job(entry, term.epoch)
            if isinstance(result, Ok):
                return result
            self._unresolved_by_key[entry.key] = entry
        return await term.ledger.resolve_received(entry)

    def _load_job(self, record: JobRecord) -> None:
        shard_state, job_id = self._term.shard_state, record.spec.job_id
        known = shard_state.jobs_by_id.get(job_id)
        if known is not None and known.is_transferring:
            shard_state.forget(job_id)
        shard_state.admit(record)
        self._log.info("job received from another shard", job_id=job_id)
