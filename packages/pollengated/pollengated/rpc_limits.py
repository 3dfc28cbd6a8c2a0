"""Limits of the listener for calls between processes, and what a connection uses of them."""

import dataclasses

__all__ = ["CallProgress", "RpcLimits"]

# Objects of a call in progress beside its bytes, and of one header.
CALL_COST_BYTES = 8_192
HEADER_COST_BYTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RpcLimits:
    """Limits of one connection of another process.

    Attributes:
        message_bytes: received messages of one call.
        framing_bytes: bytes of frames that are not complete, such as those of a header block.
        header_bytes: decoded headers of one call.
        resets: calls that the caller may reset beyond those that succeed.
        call_timeout_s: seconds from the opening of a connection to its first call, and from the
            first byte of a call to its last.
        response_timeout_s: seconds after which a connection is aborted of which the caller reads
            nothing.
        connection_window_bytes: bytes of a connection that no handler has read.
        call_window_bytes: bytes of a call that no handler has read.
        fair_calls: calls in progress that a connection may keep while memory is short.
    """

    message_bytes: int = 4_000_000
    framing_bytes: int = 65_536
    header_bytes: int = 16_384
    resets: int = 50
    call_timeout_s: float = 10.0
    response_timeout_s: float = 10.0
    connection_window_bytes: int = 1_048_576
    call_window_bytes: int = 262_144
    fair_calls: int = 16


class CallProgress:
    """Counts what the calls of one connection have received."""

    def __init__(self, limits: RpcLimits, opened_at: float) -> None:
        """Counts from the opening of a connection, at a time in seconds."""
        self._limits = limits
        self._framing_bytes = 0
        self._framing_since: float | None = None
        self._bytes_by_call: dict[int, int] = {}
        # In the order in which they began.
        self._began_at_by_incomplete: dict[int, float] = {}
        self._opened_at: float | None = opened_at
        self._resets = 0

    @property
    def taken_bytes(self) -> int:
        """Memory of the calls in progress and of incomplete frames."""
        return sum(self._bytes_by_call.values(), self._framing_bytes)

    @property
    def calls(self) -> int:
        """Number of calls in progress."""
        return len(self._bytes_by_call)

    @property
    def incomplete_since(self) -> float | None:
        """When the oldest part arrived whose rest is awaited; None if there is none."""
        oldest = next(iter(self._began_at_by_incomplete.values()), None)
        times = (self._opened_at, self._framing_since, oldest)
        return min((at for at in times if at is not None), default=None)

    def add_piece(self, size: int, has_frames: bool, now: float) -> None:
        """Records received bytes.

        Args:
            size: bytes of the piece.
            has_frames: whether the piece completed a frame with a meaning of its own.
            now: time in seconds.
        """
        self._framing_bytes = 0 if has_frames else self._framing_bytes + size
        if has_frames:
            self._framing_since = None
        elif self._framing_since is None:
            self._framing_since = now

    def begin_call(self, call: int, header_count: int, header_bytes: int, now: float) -> None:
        """Records the headers of a call."""
        self._opened_at = None
        self._began_at_by_incomplete[call] = now
        self._bytes_by_call[call] = (
            CALL_COST_BYTES + header_bytes + HEADER_COST_BYTES * header_count
        )

    def add_data(self, call: int, size: int) -> None:
        """Records bytes of a call's message."""
        if call in self._bytes_by_call:
            self._bytes_by_call[call] += size

    def complete_call(self, call: int) -> None:
        """Records that the caller has sent everything."""
        self._began_at_by_incomplete.pop(call, None)

    def reset_call(self) -> None:
        """Records that the caller has given up a call."""
        self._resets += 1

    def end_call(self, call: int) -> None:
        """Records that the handler of a call has ended."""
        self._began_at_by_incomplete.pop(call, None)
        self._bytes_by_call.pop(call, None)

    def succeed_call(self) -> None:
        """Records that a caller has sent a whole call, which makes up for one that it reset."""
        self._resets = max(0, self._resets - 1)

    def find_excess(self) -> str | None:
        """Returns the name of a limit that the connection has passed, None if there is none."""
        limits = self._limits
        if self._framing_bytes > limits.framing_bytes:
            return "framing_bytes"
        if self._resets > limits.resets:
            return "resets"
        if any(size > limits.message_bytes for size in self._bytes_by_call.values()):
            return "message_bytes"
        return None
