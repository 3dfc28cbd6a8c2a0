"""Request ids: follow one request through the processes that work on it."""

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
    """Returns the id of the request that this task works on, empty if none."""
    return _current_id.get()


def set_request_id(received_id: str | None) -> str:
    """Makes an id the current one and returns it.

    Args:
        received_id: the sender's id; a missing or malformed one is replaced by a fresh id.
    """
    is_valid = received_id is not None and _ID_PATTERN.fullmatch(received_id) is not None
    request_id = str(received_id) if is_valid else uuid.uuid4().hex
    _current_id.set(request_id)
    return request_id


def trace_channel(channel: Channel) -> None:
    """Sends the current request id with every call of a channel."""

    async def send_request_id(event: SendRequest) -> None:
        if request_id := current_request_id():
            event.metadata[REQUEST_ID_KEY] = request_id

    listen(channel, SendRequest, send_request_id)


def trace_server(server: Server, on_call: Callable[[str], None]) -> None:
    """Makes the id that a call carries the current one while it is served.

    Args:
        server: a server that isn't started yet.
        on_call: is told the method of each call that carries an id.
    """

    async def receive_request_id(event: RecvRequest) -> None:
        received_id = event.metadata.get(REQUEST_ID_KEY)
        if isinstance(received_id, str):
            set_request_id(received_id)
            on_call(event.method_name)

    listen(server, RecvRequest, receive_request_id)
