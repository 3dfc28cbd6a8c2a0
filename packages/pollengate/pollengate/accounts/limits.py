"""Decides how much each client account may have running in one shard, and which rows to write.

The owners of all shards share a record with a row for each account and shard, see
`shares_record`. This module uses neither network nor clock: its caller passes the time and the
record as read, sends the writes and reports their results.

A row is lowered locally before it is written, and raised once the write is confirmed. A write is
conditional on the record's revision. Until a later revision has been read, a write without a
result may still take effect, so the lowest of the row and all such writes is in force.
"""

import dataclasses
from collections.abc import Collection

from pollengate.accounts.parts import NextPart, ResourceRows, equal_part, next_part, part_in_force
from pollengate.accounts.shares_record import ShareRow, SharesRecord
from pollengate.accounts.usage import MANY, AccountUsage
from pollengate.workflow.model import NO_DEMAND, ClientAccount, Demand

__all__ = ["AccountLimits", "ShareWrite"]

# A live owner takes room that it wants within one or two write intervals of 0.25 s. The wants of a
# shard that leaves room unused for longer are ignored: it has no owner, or its zone is cut off.
IGNORE_WANTS_AFTER_S = 2.0
# A row that differs by less than this fraction of the limit is written only to raise the part.
MIN_CHANGE_DIVISOR = 100

_Triple = tuple[int, int, int]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ShareWrite:
    """A new value of the record.

    Attributes:
        base_revision: revision of the record that it replaces, 0 if there is none; a condition of
            the write.
        record: all rows.
        own_rows: rows of the writing shard that differ, by account.
    """

    base_revision: int
    record: SharesRecord
    own_rows: dict[str, ShareRow]


@dataclasses.dataclass(slots=True)
class _Waiting:
    """Tasks of an account that only its limit holds back; `needed` is of the one to serve first."""

    demand: Demand
    needed: Demand


class AccountLimits:
    """What the client accounts may have running in one shard, during one ownership term.

    Args:
        shard: number of the shard.
        shards: number of shards; with a single one the limits hold as they are.
        usage: demand of all runs of the shard, by account.

    Attributes:
        is_used: whether any account has a limit.
        is_shared: whether there are other shards, so that the record is used.
    """

    def __init__(self, shard: int, shards: int, usage: AccountUsage) -> None:
        self.is_used = False
        self.is_shared = shards > 1
        self._shard = shard
        self._shards = shards
        self._usage = usage
        self._accounts_by_name: dict[str, ClientAccount] | None = None
        self._limits_by_account: dict[str, Demand] = {}
        self._record: SharesRecord = {}
        self._revision: int | None = None
        self._is_reachable = True
        self._unconfirmed: list[ShareWrite] = []
        self._waiting_by_account: dict[str, _Waiting] = {}
        self._bounds_by_account: dict[str, _Triple] = {}
        self._parts_by_account: dict[str, Demand] = {}
        self._quiet_accounts: set[str] = set()
        self._room_since: dict[tuple[str, int], tuple[float, ShareRow]] = {}

    # What may start.

    def usage_of(self, account: str) -> Demand:
        """Returns the demand of all runs of an account that may exist in the shard."""
        return self._usage.usage_of(account)

    def has_limit(self, account: str) -> bool:
        """Returns True if an account has a limit."""
        return account in self._limits_by_account

    def is_possible(self, account: str, demand: Demand) -> bool:
        """Returns True if a demand is within an account's limit for all shards together."""
        return _limited(demand, self._limits_by_account[account]) == demand

    def part_of(self, account: str) -> Demand:
        """Returns what an account with a limit may have running in the shard.

        A resource without a limit has an amount above any demand.
        """
        return self._parts_by_account[account]

    def may_start(self, account: str, demand: Demand) -> bool:
        """Returns True if one more task of an account may start."""
        return self.count_startable(account, demand) > 0

    def count_startable(self, account: str, demand: Demand, spared: Demand = NO_DEMAND) -> int:
        """Returns how many more tasks of an account may start.

        Args:
            account: the account's name.
            demand: demand of each task.
            spared: room that the tasks have to leave.
        """
        part = self._parts_by_account.get(account)
        if part is None:
            return MANY
        if spared is not NO_DEMAND:
            part = Demand(
                part.cpu_millis - spared.cpu_millis,
                part.memory_mb - spared.memory_mb,
                part.accelerators - spared.accelerators,
            )
        return self._usage.fitting(account, demand, part)

    # What the caller reports.

    def configure(self, accounts_by_name: dict[str, ClientAccount] | None) -> None:
        """Applies the accounts of the newest configuration, None if it has none."""
        if accounts_by_name is self._accounts_by_name:
            return
        self._accounts_by_name = accounts_by_name
        self._limits_by_account = {
            name: account.limit
            for name, account in (accounts_by_name or {}).items()
            if any(_triple(account.limit))
        }
        self.is_used = bool(self._limits_by_account)
        self._parts_by_account.clear()
        self._quiet_accounts.clear()
        self._refresh(self._limits_by_account)

    def record_waiting(self, account: str, demand: Demand, needed: Demand = NO_DEMAND) -> None:
        """Records the tasks of an account that only its limit holds back.

        Args:
            account: the account's name.
            demand: demand of all of them together.
            needed: demand of the one that is served first, if it has waited for long.
        """
        if demand == NO_DEMAND:
            self._waiting_by_account.pop(account, None)
        else:
            self._waiting_by_account[account] = _Waiting(demand, needed)

    def apply_record(self, record: SharesRecord, revision: int, now: float) -> None:
        """Applies the record as read, empty with revision 0 if there is none; ignores older ones.

        Only a record with a later revision than that of unconfirmed writes shows their result.
        """
        if self._revision is not None and 0 < revision < self._revision:
            return
        previous, is_first = self._record, self._revision is None
        self._record, self._revision = record, revision
        changed = {
            account
            for account in self._limits_by_account
            if is_first or record.get(account) != previous.get(account)
        }
        for write in self._unconfirmed:
            changed.update(write.own_rows)
        self._unconfirmed = [w for w in self._unconfirmed if w.base_revision == revision]
        self._update_room(changed, now)
        self._refresh(changed)

    def confirm(self, write: ShareWrite, revision: int, now: float) -> None:
        """Applies the confirmation of a write."""
        self.apply_record(write.record, revision, now)

    def discard(self, write: ShareWrite) -> None:
        """Applies that a write has had no effect and never will."""
        self._unconfirmed = [other for other in self._unconfirmed if other is not write]
        self._refresh(write.own_rows)

    def set_reachable(self, is_reachable: bool) -> None:
        """Applies whether the store can be reached, so that rows can change."""
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            self._bounds_by_account.clear()
            self._refresh(self._limits_by_account)

    # What to write.

    def next_write(self, now: float) -> ShareWrite | None:
        """Returns the next value of the record, None if nothing is to be written.

        Lowered parts are in force when this returns. The result has to be passed to `confirm`,
        `discard` or, if the record has changed, `apply_record`; nothing if it is unknown. An
        unknown result is followed by another write, which settles it.
        """
        if self._revision is None or not self.is_used or not self.is_shared:
            return None
        own_rows = {}
        evaluated = [account for account in self._limits_by_account if self._may_change(account)]
        for account in evaluated:
            limit = self._limits_by_account[account]
            row = self.row_of(account, self._shard)
            next_row = self._next_row(account, limit, row, now)
            # Without a row the shard's part would change with the limit, whatever it is running.
            is_new = self._shard not in self._record.get(account, {})
            if is_new or (
                next_row != row and _is_worth_writing(limit, row, next_row, self._is_exact(account))
            ):
                own_rows[account] = next_row
        write = None
        if own_rows or self._unconfirmed:
            record = dict(self._record)
            for account, row in own_rows.items():
                record[account] = record.get(account, {}) | {self._shard: row}
            write = ShareWrite(self._revision, record, own_rows)
            self._unconfirmed.append(write)
        self._refresh(evaluated)
        return write

    def row_of(self, account: str, shard: int) -> ShareRow:
        """Returns a shard's row as last read; without one it has an equal part of the limit."""
        row = self._record.get(account, {}).get(shard)
        if row is not None:
            return row
        limit = self._limits_by_account.get(account, NO_DEMAND)
        return ShareRow(Demand(*(equal_part(amount, self._shards) for amount in _triple(limit))))

    def _rows_of(self, account: str) -> list[ShareRow]:
        return [self.row_of(account, shard) for shard in range(self._shards)]

    def _may_change(self, account: str) -> bool:
        """Returns False if the shard's row certainly stays as it is; most do at any time."""
        return (
            account not in self._quiet_accounts
            or account in self._waiting_by_account
            or self._usage.exceeds(account, self._parts_by_account[account])
        )

    def _next_row(self, account: str, limit: Demand, row: ShareRow, now: float) -> ShareRow:
        waiting = self._waiting_by_account.get(account)
        rows = [
            (
                other
                if shard == self._shard
                else self._without_ignored_wants(account, shard, other, now)
            )
            for shard, other in enumerate(self._rows_of(account))
        ]
        usage = self._usage.usage_of(account)
        needed = NO_DEMAND
        ticket = 0
        if waiting is not None and waiting.needed != NO_DEMAND:
            needed = _limited(usage + waiting.needed, limit)
            ticket = row.ticket or max(1, self._revision or 0)
        rows[self._shard] = dataclasses.replace(rows[self._shard], needed=needed, ticket=ticket)
        parts = [
            next_part(resource_rows, self._shard, used, wanted, need) if resource_rows else None
            for resource_rows, used, wanted, need in zip(
                _resource_rows(limit, rows),
                _triple(usage),
                _triple(waiting.demand if waiting else NO_DEMAND),
                _triple(needed),
                strict=True,
            )
        ]
        self._set_bounds(account, row, parts)
        return ShareRow(
            Demand(*(part.part if part else 0 for part in parts)),
            Demand(*(part.wanted if part else 0 for part in parts)),
            needed,
            ticket,
        )

    def _is_exact(self, account: str) -> bool:
        """Returns True if small changes of rows matter.

        The last unit may be what a large task lacks, or by which the rows exceed the limit.
        """
        rows = self._rows_of(account)
        return any(row.ticket for row in rows) or any(
            sum(r.parts) > r.limit
            for r in _resource_rows(self._limits_by_account[account], rows)
            if r
        )

    def _set_bounds(self, account: str, row: ShareRow, parts: Collection[NextPart | None]) -> None:
        bounds = tuple(
            part.bound if part and part.bound < present else MANY_UNITS
            for part, present in zip(parts, _triple(row.part), strict=True)
        )
        if self._is_reachable and min(bounds) < MANY_UNITS:
            self._bounds_by_account[account] = (bounds[0], bounds[1], bounds[2])
        else:
            self._bounds_by_account.pop(account, None)

    def _without_ignored_wants(
        self, account: str, shard: int, row: ShareRow, now: float
    ) -> ShareRow:
        since, _ = self._room_since.get((account, shard), (now, row))
        if now - since < IGNORE_WANTS_AFTER_S:
            return row
        return ShareRow(row.part)

    def _update_room(self, accounts: set[str], now: float) -> None:
        """Records since when each shard has left room unused that it wants, with its row."""
        room_since = {
            key: since for key, since in self._room_since.items() if key[0] not in accounts
        }
        for account in accounts & self._limits_by_account.keys():
            rows = self._rows_of(account)
            resource_rows = _resource_rows(self._limits_by_account[account], rows)
            has_room = any(r and sum(r.parts) < r.limit for r in resource_rows)
            for shard, row in enumerate(rows):
                if has_room and (row.ticket or row.wanted != NO_DEMAND):
                    known = self._room_since.get((account, shard))
                    is_same = known is not None and known[1] == row
                    room_since[account, shard] = known if known and is_same else (now, row)
        self._room_since = room_since

    def _refresh(self, accounts: Collection[str]) -> None:
        """Computes the parts of accounts that are in force."""
        for account in accounts:
            limit = self._limits_by_account.get(account)
            if limit is None:
                continue
            self._parts_by_account[account] = self._part_in_force(account, limit)
            if self._is_quiet(account, limit):
                self._quiet_accounts.add(account)
            else:
                self._quiet_accounts.discard(account)

    def _is_quiet(self, account: str, limit: Demand) -> bool:
        """Returns True if no shard wants more and no row is to be lowered."""
        rows = self._rows_of(account)
        return (
            self._shard in self._record.get(account, {})
            and account not in self._bounds_by_account
            and not any(row.ticket or row.wanted != NO_DEMAND for row in rows)
            and all(
                sum(r.parts) <= r.limit
                and r.parts[self._shard] <= equal_part(r.limit, self._shards)
                for r in _resource_rows(limit, rows)
                if r
            )
        )

    def _part_in_force(self, account: str, limit: Demand) -> Demand:
        if not self.is_shared:
            return _or_unlimited(limit, _triple(limit))
        if self._revision is None:
            return _or_unlimited(limit, (0, 0, 0))
        rows = self._rows_of(account)
        unconfirmed = [
            write.own_rows.get(account, rows[self._shard]).part for write in self._unconfirmed
        ]
        bounds = self._bounds_by_account.get(account, (MANY_UNITS,) * 3)
        parts = []
        for index, resource_rows in enumerate(_resource_rows(limit, rows)):
            if resource_rows is None:
                parts.append(0)
                continue
            lowered = [_triple(part)[index] for part in unconfirmed]
            in_force = part_in_force(resource_rows, self._shard, lowered, self._is_reachable)
            parts.append(min(in_force, bounds[index]))
        return _or_unlimited(limit, parts)


# Above any amount of a resource.
MANY_UNITS = 1 << 60


def _triple(demand: Demand) -> _Triple:
    return demand.cpu_millis, demand.memory_mb, demand.accelerators


def _limited(demand: Demand, limit: Demand) -> Demand:
    """Returns a demand, for each resource at most its limit if it has one."""
    pairs = zip(_triple(demand), _triple(limit), strict=True)
    return Demand(*(min(amount, most) if most else amount for amount, most in pairs))


def _or_unlimited(limit: Demand, parts: Collection[int]) -> Demand:
    """Returns the parts, for resources without a limit an amount that nothing reaches."""
    pairs = zip(_triple(limit), parts, strict=True)
    return Demand(*(part if most else MANY_UNITS for most, part in pairs))


def _resource_rows(limit: Demand, rows: list[ShareRow]) -> list[ResourceRows | None]:
    """Returns the rows of each resource, None for a resource without a limit."""
    tickets = [(row.ticket, shard) for shard, row in enumerate(rows) if row.ticket]
    first = min(tickets)[1] if tickets else None
    parts = zip(*(_triple(row.part) for row in rows), strict=True)
    wanted = zip(*(_triple(row.wanted) for row in rows), strict=True)
    needed = _triple(rows[first].needed) if first is not None else (0, 0, 0)
    return [
        ResourceRows(most, resource_parts, resource_wanted, first, need) if most else None
        for most, resource_parts, resource_wanted, need in zip(
            _triple(limit), parts, wanted, needed, strict=True
        )
    ]


def _is_worth_writing(limit: Demand, row: ShareRow, next_row: ShareRow, is_exact: bool) -> bool:
    """Returns True if a changed row makes a difference to this shard or to others.

    Args:
        limit: the account's limit.
        row: the present row.
        next_row: the changed row.
        is_exact: whether small changes matter.
    """
    if bool(row.ticket) != bool(next_row.ticket):
        return True
    for index, most in enumerate(_triple(limit)):
        if not most:
            continue
        least = 1 if is_exact else max(1, most // MIN_CHANGE_DIVISOR)
        part, next_amount = _triple(row.part)[index], _triple(next_row.part)[index]
        wanted, next_wanted = _triple(row.wanted)[index], _triple(next_row.wanted)[index]
        needed, next_needed = _triple(row.needed)[index], _triple(next_row.needed)[index]
        if next_amount > part or part - next_amount >= least:
            return True
        if bool(wanted) != bool(next_wanted) or abs(needed - next_needed) >= least:
            return True
        if abs(next_wanted - wanted) >= max(most // MIN_CHANGE_DIVISOR, wanted // 4, 1):
            return True
    return False
