"""Helper for the handlers of gRPC calls."""

from typing import TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

__all__ = ["receive_request"]

Request = TypeVar("Request")
Reply = TypeVar("Reply")


async def receive_request(stream: Stream[Request, Reply]) -> Request:
    """Returns the request message of a unary call.

    Raises:
        GRPCError: the caller closed the stream without sending a request.
    """
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no request message")
    return request
