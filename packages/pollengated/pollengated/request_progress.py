"""How much of the requests of one connection has arrived, and which limit that passes."""

import collections
import dataclasses
import enum

from pollengate.refusals import Outcome, Reason, Refusal

from pollengated.request_limits import RequestLimits

__all__ = ["PIECE_BYTES", "LimitMet", "Phase", "RequestProgress"]

# The parser reports no sizes, so limits are checked after each piece of this size.
PIECE_BYTES = 1_024
CONTENT_LENGTH = b"content-length"
# Objects of a request in progress beside its bytes, and of one header in the protocol, the
# application and the framework.
REQUEST_COST_BYTES = 8_192
HEADER_COST_BYTES = 400
RETRY_AFTER_S = 1.0


class Phase(enum.Enum):
    """Which part of a request is expected next."""

    START = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitMet:
    """A limit that a request has passed, by its name in the documentation."""

    limit: str
    refusal: Refusal


class RequestProgress:
    """Counts the bytes of the requests of one connection and the memory that they take.

    Attributes:
        phase: part of a request that is expected next.
    """

    def __init__(self, limits: RequestLimits) -> None:
        self.phase = Phase.START
        self._limits = limits
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        # None for a body whose length the headers do not tell.
        self._content_length: int | None = None
        self._has_progressed = False
        # Memory of the headers that are being received, and of the requests that have no response
        # yet, the oldest first.
        self._header_bytes = 0
        self._request_bytes: collections.deque[int] = collections.deque()

    @property
    def is_incomplete(self) -> bool:
        """Whether part of a request, or an empty line before it, has arrived."""
        return self.phase is not Phase.START or self._head_bytes > 0

    @property
    def taken_bytes(self) -> int:
        """Memory of the requests that have no response yet and of the head that is received."""
        return sum(self._request_bytes, self._header_bytes + self._head_bytes)

    def next_piece_bytes(self) -> int:
        """Returns how many bytes may be parsed before the limits are checked again."""
        if self.phase is Phase.BODY and self._content_length is not None:
            return max(PIECE_BYTES, self._content_length - self._body_bytes)
        return PIECE_BYTES

    def begin_message(self) -> None:
        """Records the first byte of a request line."""
        self.phase = Phase.HEAD
        self._content_length = None
        self._header_bytes = 0

    def add_header(self, name: bytes, value: bytes) -> None:
        """Records a header."""
        self._header_bytes += HEADER_COST_BYTES + len(name) + len(value)
        if len(name) == len(CONTENT_LENGTH) and name.lower() == CONTENT_LENGTH:
            self._content_length = int(value)

    def complete_headers(self) -> LimitMet | None:
        """Records the end of the headers; returns the limit that the announced body passes."""
        self._has_progressed = True
        if (self._content_length or 0) > self._limits.body_bytes:
            return self._body_too_large()
        self._request_bytes.append(REQUEST_COST_BYTES + self._header_bytes)
        self._header_bytes = self._head_bytes = self._framing_bytes = self._body_bytes = 0
        self.phase = Phase.BODY
        return None

    def add_body(self, size: int, is_kept: bool) -> LimitMet | None:
        """Records a part of a body; returns the limit that the body passes.

        Args:
            size: bytes of the part.
            is_kept: whether the part stays in memory until the response.
        """
        self._has_progressed = True
        self._framing_bytes = 0
        self._body_bytes += size
        if self._body_bytes > self._limits.body_bytes:
            return self._body_too_large()
        if is_kept:
            self._request_bytes[-1] += size
        return None

    def complete_message(self) -> None:
        """Records the end of a request."""
        self._has_progressed = True
        self.phase = Phase.START
        self._head_bytes = 0

    def complete_response(self) -> None:
        """Records the response to the oldest request."""
        self._request_bytes.popleft()

    def drop_incomplete(self, has_memory: bool) -> None:
        """Forgets the request that is being received.

        Args:
            has_memory: whether it is among those that have no response yet.
        """
        if has_memory:
            self._request_bytes.pop()
        self.phase = Phase.START
        self._header_bytes = self._head_bytes = 0

    def begin_piece(self) -> None:
        """Has to be called before a piece is parsed."""
        self._has_progressed = False

    def end_piece(self, size: int) -> LimitMet | None:
        """Counts a parsed piece of a head or of framing; returns the limit that they pass.

        Args:
            size: bytes of the piece.
        """
        limits = self._limits
        if self.phase is Phase.BODY:
            if not self._has_progressed:
                self._framing_bytes += size
            if self._framing_bytes > limits.framing_bytes:
                detail = f"chunk extensions or trailers exceed {limits.framing_bytes} bytes"
                return _limit_met("framing_bytes", Reason.HEADERS_TOO_LARGE, detail)
        elif self.phase is Phase.HEAD or not self._has_progressed:
            self._head_bytes += size
            if self._head_bytes > limits.head_bytes:
                detail = f"the request line and headers exceed {limits.head_bytes} bytes"
                return _limit_met("head_bytes", Reason.HEADERS_TOO_LARGE, detail)
        return None

    def late_head(self) -> LimitMet:
        """Returns the limit for the time of a head."""
        detail = f"the request headers did not arrive within {self._limits.head_timeout_s:g} s"
        return _limit_met("head_timeout", Reason.REQUEST_INCOMPLETE, detail, RETRY_AFTER_S)

    def late_body(self) -> LimitMet:
        """Returns the limit for the time of a body."""
        detail = f"the request body did not arrive within {self._limits.body_timeout_s:g} s"
        return _limit_met("body_timeout", Reason.REQUEST_INCOMPLETE, detail, RETRY_AFTER_S)

    def malformed(self) -> LimitMet:
        """Returns what ends a request that the parser rejects."""
        detail = "the request is not valid HTTP/1.1"
        return _limit_met("malformed", Reason.INVALID_REQUEST, detail)

    def memory_full(self) -> LimitMet:
        """Returns the limit for the memory of all requests of the process."""
        detail = "the requests in progress take all memory that they may take"
        return _limit_met("buffered_bytes", Reason.MEMORY_FULL, detail, RETRY_AFTER_S)

    def connections_full(self) -> LimitMet:
        """Returns the limit for the connections of the listener."""
        detail = "the listener has too many connections"
        return _limit_met("connections", Reason.MEMORY_FULL, detail, RETRY_AFTER_S)

    def _body_too_large(self) -> LimitMet:
        detail = f"the request body exceeds {self._limits.body_bytes} bytes"
        return _limit_met("body_bytes", Reason.BODY_TOO_LARGE, detail)


def _limit_met(
    limit: str, reason: Reason, detail: str, retry_after_s: float | None = None
) -> LimitMet:
    return LimitMet(limit, Refusal(Outcome.NOT_RUN, reason, detail, retry_after_s))
