"""Acquires a shard that has no owner, renews its lease and hands it over."""

import asyncio
from collections.abc import Callable

import msgspec
from pollengate.decoding import Amount, DocumentDecoder
from pollengate.store import (
    Delete,
    Entry,
    FailureKind,
    PolledStore,
    Put,
    StoreFailure,
    Unchanged,
)
from pollengate.workflow.keys import commit_key, owner_key, term_key
from pollengate.workflow.shard_lease import OWNER_LEASE_S, ShardLease
from result import Err, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import decode_commit_number
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.shard_candidates import Candidate, find_better_owner, rank_candidates
from pollengated.edge.shard_term import ShardTerm
from pollengated.logs import Log

__all__ = ["ShardElector"]

# Several renewals fit into the lease; the store counts each as a tenth of a read.
RENEW_INTERVAL_S = 0.4
# Each candidate waits this long for each better one before it acquires a shard without an owner.
CANDIDATE_DELAY_S = 0.15
# A candidate whose term ended by an error, or that could not read the records of the shard, lets
# all others go first for this long.
STALL_MEMORY_S = 30.0
DIRECTORY_WAIT_S = 5.0
# A starting process waits this long for others to register, for each shard that the best candidate
# known so far already owns.
REGISTRATION_WAIT_S = 0.5
RETRY_S = 0.2
HANDOVER_TIMEOUT_S = 1.0
# A better owner has to be known for this long, so that a process that starts over and over gets no
# shard.
BETTER_OWNER_AFTER_S = 1.0
# A shard that came back after it was handed over is kept for this long at least.
HANDOVER_INTERVAL_S = 10.0
# A timer of a shorter time may fire before the clock shows that it has passed.
TIMER_RESOLUTION_S = 0.001
_TERM_NUMBER_DECODER = DocumentDecoder(Amount)


class ShardElector:
    """Acquires a shard whenever it has no owner and this process is the best candidate.

    Args:
        shard: number of the shard.
        record: registration of this process.
        store: the platform's store.
        directory: owners and candidates.
        clocks: the process's clocks.
        create_term: creates the ownership term of a shard with its lease.

    Attributes:
        term: the current ownership term, None while this process does not own the shard.
    """

    def __init__(
        self,
        shard: int,
        record: NodeRecord,
        store: PolledStore,
        directory: NodeDirectory,
        clocks: Clocks,
        create_term: Callable[[int, ShardLease], ShardTerm],
    ) -> None:
        self.term: ShardTerm | None = None
        self._shard = shard
        self._key = owner_key(shard)
        self._record = record
        self._store = store
        self._directory = directory
        self._clocks = clocks
        self._create_term = create_term
        self._started_at = clocks.monotonic_s()
        self._is_leaving = False
        self._lease_id = 0
        self._is_suspended = False
        self._stalled_at = float("-inf")
        self._better_since: float | None = None
        self._handed_over_at = float("-inf")
        self._handover_task: asyncio.Task[None] | None = None
        self._log = Log("keeper")

    async def run(self) -> None:
        """Acquires and serves the shard repeatedly, until it is handed over."""
        while not self._is_leaving:
            await self._revoke_previous_incarnation()
            if await self._wait_for_turn():
                shard_lease = await self._acquire()
                if shard_lease is not None:
                    await self._serve(shard_lease)

    async def hand_over(self) -> None:
        """Stops owning the shard, so that the next candidate can acquire it at once."""
        self._is_leaving = True
        if self.term is not None:
            await asyncio.wait((self._begin_release(self.term),))

    def _begin_release(self, term: ShardTerm) -> asyncio.Task[None]:
        """Returns the task that releases the shard; one at a time.

        A second one could withdraw a release while the order of the first may still take effect.
        """
        if self._handover_task is None or self._handover_task.done():
            self._handover_task = asyncio.create_task(self._release(term))
        return self._handover_task

    async def _release(self, term: ShardTerm) -> None:
        """Ends a term so that the next candidate can acquire the shard at once."""
        try:
            await self._send_release(term)
        except Exception as error:
            # The term already refuses jobs and starts nothing.
            self._log.error("handover failed; ending ownership", error, shard=self._shard)
            term.shard_lease.mark_lost()

    async def _send_release(self, term: ShardTerm) -> None:
        await term.prepare_handover(HANDOVER_TIMEOUT_S)
        condition = Unchanged(self._key, term.shard_lease.token)
        # While the store has not replied, a release may or may not have taken effect. This process
        # then keeps the workers' leases for as long as a successor waits for them.
        may_have_effect = False
        while not term.shard_lease.is_lost:
            term.shard_lease.begin_release(self._clocks.monotonic_s())
            released = await self._store.commit((condition,), (Delete(self._key),))
            if not isinstance(released, Err):
                self._log.info("shard handed over", shard=self._shard)
                term.shard_lease.mark_lost()
                return
            may_have_effect |= released.err_value.kind is FailureKind.UNKNOWN
            cause = released.err_value.detail
            if not may_have_effect:
                term.shard_lease.withdraw_release()
                if not self._is_leaving:
                    self._log.warning("handover failed; keeping the shard", cause=cause)
                    term.cancel_handover()
                    return
            self._log.warning(
                "handover was not confirmed; trying again", shard=self._shard, cause=cause
            )
            await asyncio.sleep(RETRY_S)

    async def _revoke_previous_incarnation(self) -> None:
        """Ends the ownership of an earlier process of this VM, which is dead for certain."""
        owner = self._directory.owner(self._shard)
        if owner is None or owner.record.node != self._record.node:
            return
        if owner.record.incarnation == self._record.incarnation and self.term is not None:
            return
        self._log.info(
            "revoking the ownership of an earlier process of this VM",
            shard=self._shard,
            token=owner.token,
        )
        await self._store.revoke_lease(owner.lease_id)
        await self._directory.wait_for_change(RETRY_S)

    async def _wait_for_turn(self) -> bool:
        """Waits for this process's turn; returns whether it may acquire the shard now.

        Candidates are ranked again after each change of the directory: better ones may have left or
        started meanwhile, and this process may have acquired another shard.
        """
        if self._directory.owner(self._shard) is not None or not self._directory.cache.revision:
            await self._directory.wait_for_change(DIRECTORY_WAIT_S)
            return False
        first_turn_at = self._clocks.monotonic_s()
        while not self._is_leaving and self._directory.owner(self._shard) is None:
            ranked = self._rank_candidates()
            rank = self._rank_in(ranked)
            if rank is None:
                await self._directory.wait_for_change(RETRY_S)
                return False
            first_turn_at = max(first_turn_at, self._registered_by(ranked[0]))
            remaining_s = first_turn_at + CANDIDATE_DELAY_S * rank - self._clocks.monotonic_s()
            if remaining_s < TIMER_RESOLUTION_S:
                return True
            await self._directory.wait_for_change(remaining_s)
        return False

    def _rank_candidates(self) -> list[Candidate]:
        owner_names_by_shard = self._directory.owner_names_by_shard()
        return rank_candidates(self._directory.candidates(), owner_names_by_shard, self._shard)

    def _rank_in(self, ranked: list[Candidate]) -> int | None:
        """Returns the number of candidates to wait for, None if this process is not a candidate."""
        if ranked and self._clocks.monotonic_s() < self._stalled_at + STALL_MEMORY_S:
            return len(ranked)
        names = [candidate.node for candidate in ranked]
        return names.index(self._record.node) if self._record.node in names else None

    def _registered_by(self, best: Candidate) -> float:
        """Returns the clock time by which others have registered, if the best owns shards."""
        return self._started_at + REGISTRATION_WAIT_S * best.shards

    async def _acquire(self) -> ShardLease | None:
        previous_term = await self._store.get(term_key(self._shard))
        term_number = await self._next_term_number(previous_term)
        if isinstance(previous_term, Err) or term_number is None:
            await asyncio.sleep(RETRY_S)
            return None
        requested_at = self._clocks.monotonic_s()
        lease = await self._store.grant_lease(OWNER_LEASE_S)
        if isinstance(lease, Err):
            await asyncio.sleep(RETRY_S)
            return None
        self._lease_id = lease.ok_value
        token = await self._write_owner(previous_term.ok_value, term_number)
        if token is None:
            await self._store.revoke_lease(self._lease_id)
            await self._directory.wait_for_change(RETRY_S)
            return None
        self._log.info(
            "shard acquired",
            shard=self._shard,
            token=token,
            lease=self._lease_id,
            term=term_number,
            cores=self._record.cores,
            candidates=len(self._directory.candidates()),
            other_shards=self._count_other_shards(),
        )
        return ShardLease(token, requested_at, term_number)

    def _count_other_shards(self) -> int:
        owner_names_by_shard = self._directory.owner_names_by_shard()
        owner_names_by_shard.pop(self._shard, None)
        return list(owner_names_by_shard.values()).count(self._record.node)

    async def _next_term_number(
        self, previous_term: Result[Entry | None, StoreFailure]
    ) -> int | None:
        """Returns the number of the next term, None if it cannot be read."""
        if isinstance(previous_term, Err):
            return None
        if previous_term.ok_value is not None:
            decoded = _TERM_NUMBER_DECODER.decode(previous_term.ok_value.value)
            if not isinstance(decoded, Err):
                return decoded.ok_value + 1
            self._log.warning(
                "number of the ownership term is unreadable; numbering by commits",
                shard=self._shard,
                cause=decoded.err_value,
            )
        # Earlier versions of the process numbered terms by their commits only.
        commit = await self._store.get(commit_key(self._shard))
        if isinstance(commit, Err):
            return None
        newest = None if commit.ok_value is None else decode_commit_number(commit.ok_value.value)
        return 0 if newest is None else newest.tenure + 1

    async def _write_owner(self, previous_term: Entry | None, term_number: int) -> int | None:
        """Takes the shard and counts the term in one transaction; returns the fencing token.

        An owner may start runs and be lost before it commits anything, so that its commits alone
        don't keep the next one from using the same run numbers.
        """
        conditions = (
            Unchanged(self._key, 0),
            Unchanged(term_key(self._shard), previous_term.revision if previous_term else 0),
        )
        operations = (
            Put(self._key, self._record.encode(), self._lease_id),
            Put(term_key(self._shard), msgspec.json.encode(term_number)),
        )
        result = await self._store.commit(conditions, operations)
        if not isinstance(result, Err):
            return result.ok_value.revision if result.ok_value.succeeded else None
        if result.err_value.kind is not FailureKind.UNKNOWN:
            return None
        entry = await self._store.get(self._key)
        if isinstance(entry, Err) or entry.ok_value is None:
            return None
        return entry.ok_value.revision if entry.ok_value.lease_id == self._lease_id else None

    async def _serve(self, shard_lease: ShardLease) -> None:
        self.term = self._create_term(self._shard, shard_lease)
        self._is_suspended = False
        renewal_task = asyncio.create_task(self._renew_until_lost(shard_lease))
        has_stalled = True
        try:
            await self.term.run()
            has_stalled = self.term.has_stalled
        finally:
            if has_stalled:
                self._stalled_at = self._clocks.monotonic_s()
            shard_lease.mark_lost()
            renewal_task.cancel()
            if self._handover_task is not None:
                self._handover_task.cancel()
            self.term = None
            await self._store.revoke_lease(self._lease_id)

    async def _renew_until_lost(self, shard_lease: ShardLease) -> None:
        """Renews the lease periodically; a slow reply does not delay the next renewal."""
        renewals: set[asyncio.Task[None]] = set()
        while not shard_lease.is_lost:
            renewal = asyncio.create_task(self._renew(shard_lease))
            renewals.add(renewal)
            renewal.add_done_callback(renewals.discard)
            await asyncio.sleep(RENEW_INTERVAL_S)
            self._log_suspension(shard_lease)
            self._hand_over_to_better_owner(shard_lease)

    def _hand_over_to_better_owner(self, shard_lease: ShardLease) -> None:
        """Releases the shard if this process lacks the processors for it and another has them.

        The best candidate may not have been there when the shard had no owner.
        """
        now = self._clocks.monotonic_s()
        better = self._find_better_owner() if shard_lease.is_confirmed(now) else None
        if better is None or now - self._handed_over_at < HANDOVER_INTERVAL_S:
            self._better_since = None
            return
        if self._better_since is None:
            self._better_since = now
        term = self.term
        if now - self._better_since < BETTER_OWNER_AFTER_S or term is None or not term.may_move:
            return
        self._better_since, self._handed_over_at = None, now
        self._log.info(
            "handing the shard over to a process with more processors",
            shard=self._shard,
            cores=self._record.cores,
            better=better.node,
            better_cores=better.cores,
        )
        self._begin_release(term)

    def _find_better_owner(self) -> NodeRecord | None:
        owner_names_by_shard = self._directory.owner_names_by_shard()
        if self._is_leaving or owner_names_by_shard.get(self._shard) != self._record.node:
            return None
        return find_better_owner(self._directory.members(), owner_names_by_shard, self._shard)

    def _log_suspension(self, shard_lease: ShardLease) -> None:
        """Logs when the lease stops being valid for lack of renewals, and when it is valid again.

        The store may keep a lease through its own outage. Therefore the lease counts as lost only
        if a reply of the store or of a worker shows that there may be a new owner.
        """
        if shard_lease.is_lost:
            return
        is_suspended = not shard_lease.is_valid(self._clocks.monotonic_s())
        if is_suspended != self._is_suspended:
            self._is_suspended = is_suspended
            self._log.warning(
                (
                    "lease is not renewed; no orders are sent"
                    if is_suspended
                    else "lease is renewed; orders are sent again"
                ),
                shard=self._shard,
                token=shard_lease.token,
                silent_s=round(shard_lease.silent_s(self._clocks.monotonic_s()), 2),
            )

    async def _renew(self, shard_lease: ShardLease) -> None:
        requested_at = self._clocks.monotonic_s()
        renewal = await self._store.renew_lease(self._lease_id)
        if isinstance(renewal, Err):
            return
        if renewal.ok_value <= 0:
            self._log.warning(
                "lease has expired; ending ownership", shard=self._shard, token=shard_lease.token
            )
            shard_lease.mark_lost()
        else:
            shard_lease.record_renewal(requested_at)
