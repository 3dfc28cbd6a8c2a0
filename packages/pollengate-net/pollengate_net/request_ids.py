"""Request ids, which identify one request in all processes that handle it."""

import contextvars
import re
import uuid
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.server import Server

__all__ = [
    "REQUEST_ID_KEY",
    "current_request_id",
    "set_request_id",
    "trace_channel",
    "trace_server",
]

REQUEST_ID_KEY = "pollengate-request-id"

_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_current_id: contextvars.ContextVar[str] = contextvars.ContextVar("request_id", default="")


def current_request_id() -> str:
    """Returns the id of the request that the current asyncio task handles, empty if none."""
    return _current_id.get()


def set_request_id(received_id: str | None) -> str:
    """Sets the request id of the current asyncio task and returns it.

    Args:
        received_id: the id from the sender; a new one is generated if it is missing or malformed.
    """
    is_valid = received_id is not None and _ID_PATTERN.fullmatch(received_id) is not None
    request_id = str(received_id) if is_valid else uuid.uuid4().hex
    _current_id.set(request_id)
    return request_id


def trace_channel(channel: Channel) -> None:
    """Adds the current request id to the metadata of every call of a channel."""

    async def send_request_id(event: SendRequest) -> None:
        if request_id := current_request_id():
            event.metadata[REQUEST_ID_KEY] = request_id

    listen(channel, SendRequest, send_request_id)


def trace_server(server: Server, on_call: Callable[[str], None]) -> None:
    """Sets the current request id to the one in a call's metadata while the call is handled.

    Args:
        server: a server that has not been started yet.
        on_call: called with the method name of each call that has a request id.
    """

    async def receive_request_id(event: RecvRequest) -> None:
        received_id = event.metadata.get(REQUEST_ID_KEY)
        if isinstance(received_id, str):
            set_request_id(received_id)
            on_call(event.method_name)

    listen(server, RecvRequest, receive_request_id)
