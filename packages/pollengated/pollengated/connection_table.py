"""Open connections of one listener."""

import enum
from typing import Protocol

__all__ = ["ConnectionState", "ConnectionTable", "OpenConnection"]


class ConnectionState(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    INCOMPLETE = enum.auto()
    BUSY = enum.auto()


class OpenConnection(Protocol):
    """A connection that the table may close."""

    def close_for_room(self) -> None:
        """Closes the connection so that another one can be accepted."""


class ConnectionTable:
    """Bounds the connections of a listener, and chooses which one closes if there are too many."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: set[OpenConnection] = set()
        # In the order in which they became idle, or in which their requests began.
        self._idle: dict[OpenConnection, None] = {}
        self._incomplete: dict[OpenConnection, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, connection: OpenConnection) -> bool:
        """Adds a new connection, which is idle.

        A full table closes the connection that has been idle for the longest time, or else the one
        whose request has been incomplete for the longest time.

        Returns:
            Whether the connection was added; False if all others are waiting for a response.
        """
        if len(self._open) >= self._limit:
            for candidates in (self._idle, self._incomplete):
                if candidates:
                    victim = next(iter(candidates))
                    self.discard(victim)
                    victim.close_for_room()
                    break
            else:
                return False
        self._open.add(connection)
        self._idle[connection] = None
        return True

    def mark_idle(self, connection: OpenConnection) -> None:
        """Records that a connection waits for the next request."""
        self._incomplete.pop(connection, None)
        if connection in self._open:
            self._idle.setdefault(connection)

    def mark_incomplete(self, connection: OpenConnection) -> None:
        """Records that part of a request has arrived."""
        self._idle.pop(connection, None)
        if connection in self._open:
            self._incomplete.setdefault(connection)

    def mark_busy(self, connection: OpenConnection) -> None:
        """Records that a complete request waits for its response."""
        self._idle.pop(connection, None)
        self._incomplete.pop(connection, None)

    def discard(self, connection: OpenConnection) -> None:
        """Removes a connection, if it is there."""
        self._open.discard(connection)
        self._idle.pop(connection, None)
        self._incomplete.pop(connection, None)
