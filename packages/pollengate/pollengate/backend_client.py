"""The seam to backend servers: one exchange of a request and its answer."""

import abc
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable

from result import Result

from pollengate.request_outcomes import FailurePoint, Sent

__all__ = [
    "ResponseTruncatedError",
    "BackendResponse",
    "BackendClient",
    "BackendRequest",
    "ExchangeFailure",
    "Headers",
    "SendProgress",
]

Headers = tuple[tuple[bytes, bytes], ...]


class ResponseTruncatedError(Exception):
    """A streamed body ended before it was whole; the caller's connection must be aborted."""


@dataclasses.dataclass(slots=True)
class SendProgress:
    """How much of a request may have left so far."""

    sent: Sent = Sent.NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it goes to a backend server.

    Attributes:
        method: the HTTP method.
        target: path and query, percent-encoded as the caller sent them.
        headers: end-to-end headers, repeated ones kept apart.
        body: the whole body.
        exchange_id: unique; the answer must carry it.
        deadline: loop time at which the caller gives up.
        idle_timeout_s: seconds without progress before an answer; None waits for the deadline.
        progress: is kept up to date during the exchange.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    exchange_id: str
    deadline: float
    idle_timeout_s: float | None = None
    progress: SendProgress = dataclasses.field(default_factory=SendProgress)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange without a whole answer."""

    point: FailurePoint
    sent: Sent
    detail: str
    is_draining: bool = False


async def _nothing() -> None:
    return


@dataclasses.dataclass(slots=True)
class BackendResponse:
    """An answer whose head and first bytes have been checked.

    Attributes:
        status: the HTTP status.
        headers: end-to-end headers, repeated ones kept apart.
        body: the body, or its first bytes if `rest` is set.
        is_draining: whether the backend server said that it is leaving.
        rest: the other bytes; raises `ResponseTruncatedError` if they don't arrive whole.
        close: releases the connection; to be awaited once.
    """

    status: int
    headers: Headers
    body: bytes
    is_draining: bool = False
    rest: AsyncIterator[bytes] | None = None
    close: Callable[[], Awaitable[None]] = _nothing


class BackendClient(abc.ABC):
    """Sends requests to backend servers."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, request: BackendRequest
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Sends a request and waits for its answer, however late it is.

        Args:
            address: `ip:port` of the backend server.
            request: the request.
        """

    async def close(self) -> None:
        """Releases connections."""
        return
