"""ASGI middleware: bounds the time within which a request's body must arrive."""

import asyncio

from litestar.enums import ScopeType
from litestar.types import ASGIApp, Receive, ReceiveMessage, Scope, Send

__all__ = ["BodyDeadline", "BodyIncomplete"]


class BodyIncomplete(Exception):
    """The caller did not send the whole body, or not in time."""


class BodyDeadline:
    """Raises `BodyIncomplete` to the application that reads an incomplete body."""

    def __init__(self, app: ASGIApp, timeout_s: float) -> None:
        self._app = app
        self._timeout_s = timeout_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one connection scope."""
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
                raise BodyIncomplete("the caller closed the connection within the body")
            is_complete = not message.get("more_body", False)
            return message

        await self._app(scope, receive_in_time, send)
