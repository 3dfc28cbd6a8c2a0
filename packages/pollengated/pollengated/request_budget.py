"""Memory that requests without a response may take in one process."""

from typing import Protocol

__all__ = ["BudgetHolder", "RequestBudget"]


class BudgetHolder(Protocol):
    """A connection whose requests take memory."""

    def end_for_memory(self) -> None:
        """Refuses the incomplete request and releases its memory."""


class RequestBudget:
    """Counts the memory of requests by connection, and chooses which request ends if it is short.

    Attributes:
        total_bytes: memory that is taken now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.total_bytes = 0
        self._limit_bytes = limit_bytes
        self._bytes_by_holder: dict[BudgetHolder, int] = {}
        # In the order in which their requests began.
        self._incomplete: dict[BudgetHolder, None] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether the requests take more than the limit."""
        return self.total_bytes > self._limit_bytes

    def charge(self, holder: BudgetHolder, taken_bytes: int) -> None:
        """Sets the memory that a connection's requests take."""
        self.total_bytes += taken_bytes - self._bytes_by_holder.get(holder, 0)
        self._bytes_by_holder[holder] = taken_bytes

    def release(self, holder: BudgetHolder) -> None:
        """Forgets a connection."""
        self.total_bytes -= self._bytes_by_holder.pop(holder, 0)
        self._incomplete.pop(holder, None)

    def mark_incomplete(self, holder: BudgetHolder) -> None:
        """Records that part of a request has arrived."""
        self._incomplete.setdefault(holder)

    def mark_complete(self, holder: BudgetHolder) -> None:
        """Records that the whole request has arrived."""
        self._incomplete.pop(holder, None)

    def make_room(self, requester: BudgetHolder) -> bool:
        """Ends incomplete requests of other connections until the limit is kept.

        The request that has been incomplete for the longest time ends first. Those that take less
        than the average are left alone: ending them would hit slow small requests and free little.

        Returns:
            Whether the limit is kept.
        """
        while self.is_exceeded:
            holder = self._oldest_large(requester)
            if holder is None:
                return False
            self.release(holder)
            holder.end_for_memory()
        return True

    def _oldest_large(self, requester: BudgetHolder) -> BudgetHolder | None:
        sizes = {h: self._bytes_by_holder.get(h, 0) for h in self._incomplete if h is not requester}
        if not sizes:
            return None
        average = sum(sizes.values()) / len(sizes)
        if average == 0:
            return None
        return next(holder for holder, size in sizes.items() if size >= average)
