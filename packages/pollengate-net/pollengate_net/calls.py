"""Unary gRPC calls with a timeout; failures are returned, not raised."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from grpclib.client import Channel, UnaryStreamMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from pollengate_net.request_ids import trace_channel

__all__ = ["CallFailure", "call_unary", "open_channel", "receive_stream", "split_address"]

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that got no reply.

    Attributes:
        was_sent: whether the receiver may have received the call.
        detail: description of the failure.
    """

    was_sent: bool
    detail: str


def split_address(address: str) -> tuple[str, int]:
    """Splits `ip:port` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def open_channel(address: str) -> Channel:
    """Returns a channel that connects on its first call and sends the current request id."""
    channel = Channel(*split_address(address))
    trace_channel(channel)
    return channel


async def call_unary(
    method: Callable[..., Awaitable[T]], request: object, timeout_s: float
) -> Result[T, CallFailure]:
    """Makes one unary call.

    Args:
        method: the method of a generated stub.
        request: the request message.
        timeout_s: seconds after which the call fails.

    Returns:
        The reply, or a failure if the connection failed, the time ran out or the receiver replied
        with an error status.
    """
    try:
        return Ok(await method(request, timeout=timeout_s))
    except OSError as error:
        was_sent = isinstance(error, ConnectionResetError | BrokenPipeError | TimeoutError)
        return Err(CallFailure(was_sent, f"{type(error).__name__}: {error}"))
    except (TimeoutError, GRPCError, StreamTerminatedError) as error:
        return Err(CallFailure(True, f"{type(error).__name__}: {error}"))


async def receive_stream(
    method: UnaryStreamMethod[Any, Any], request: object, on_message: Callable[[Any], None]
) -> CallFailure:
    """Receives the messages of a streaming call until the stream ends, and returns why it ended.

    Args:
        method: the method of a generated stub.
        request: the request message.
        on_message: called with each message.
    """
    try:
        async with method.open() as stream:
            await stream.send_message(request, end=True)
            async for message in stream:
                on_message(message)
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
        return CallFailure(True, f"{type(error).__name__}: {error}")
    return CallFailure(True, "the sender ended the stream")
