"""ASGI middleware that sets a deadline for receiving a request's body."""

import asyncio

from litestar.enums import ScopeType
from litestar.types import ASGIApp, Receive, ReceiveMessage, Scope, Send

__all__ = ["BodyDeadline", "BodyIncomplete"]


class BodyIncomplete(Exception):
    """The caller did not send the whole body before the deadline."""


class BodyDeadline:
    """Raises `BodyIncomplete` when the application reads a body that is late or truncated.

    The deadline is `timeout_s` seconds after the application is called for a request.
    """

    def __init__(self, app: ASGIApp, timeout_s: float) -> None:
        self._app = app
        self._timeout_s = timeout_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one ASGI scope."""
        deadline = asyncio.get_running_loop().time() + self._timeout_s
        is_complete = scope["type"] != ScopeType.HTTP

        async def receive_in_time() -> ReceiveMessage:
            nonlocal is_complete
            if is_complete:
                return await receive()
            try:
                async with asyncio.timeout_at(deadline):
                    message = await receive()
            except TimeoutError:
                detail = f"the body did not arrive within {self._timeout_s:g} s"
                raise BodyIncomplete(detail) from None
            if message["type"] == "http.disconnect":
                raise BodyIncomplete(
                    "the caller closed the connection before the body was complete"
                )
            is_complete = not message.get("more_body", False)
            return message

        await self._app(scope, receive_in_time, send)
