"""Interface of the clients that send requests to backend servers."""

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
    """A streamed response body ended early; the connection to the caller must be aborted."""


@dataclasses.dataclass(slots=True)
class SendProgress:
    """How much of a request may have been sent so far."""

    sent: Sent = Sent.NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it is sent to a backend server.

    Attributes:
        method: HTTP method.
        target: path and query, percent-encoded as the caller sent them.
        headers: end-to-end headers; a repeated header has one entry per value.
        body: the complete body.
        exchange_id: unique identifier of the exchange; the response must carry it.
        deadline: loop time at which the caller gives up.
        idle_timeout_s: seconds without progress after which the exchange fails if no response
            has begun; None waits until the deadline.
        progress: updated during the exchange.
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
    """An exchange that got no complete response.

    Attributes:
        point: where the exchange failed.
        sent: how much of the request may have been sent.
        detail: description for logs and callers.
        is_draining: whether the backend server reported that it is leaving.
    """

    point: FailurePoint
    sent: Sent
    detail: str
    is_draining: bool = False


async def _no_op() -> None:
    return


@dataclasses.dataclass(slots=True)
class BackendResponse:
    """A response whose head and first bytes have been checked.

    Attributes:
        status: HTTP status.
        headers: end-to-end headers; a repeated header has one entry per value.
        body: the body, or its first bytes if `remaining_body` is set.
        is_draining: whether the backend server reported that it is leaving.
        remaining_body: the remaining bytes; raises `ResponseTruncatedError` if the body ends early.
        close: releases the connection; must be awaited exactly once.
    """

    status: int
    headers: Headers
    body: bytes
    is_draining: bool = False
    remaining_body: AsyncIterator[bytes] | None = None
    close: Callable[[], Awaitable[None]] = _no_op


class BackendClient(abc.ABC):
    """Sends requests to backend servers."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, request: BackendRequest
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Sends a request and waits for its response.

        May return after the request's deadline, since it continues to wait for a late response.

        Args:
            address: `ip:port` of the backend server.
            request: the request to send.
        """

    async def close(self) -> None:
        """Closes the client's connections."""
        return
