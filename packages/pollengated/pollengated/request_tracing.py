"""ASGI middleware that gives each request an id and logs it.

Changes of tasks and of the configuration are logged at level "info", and so are server errors; all
other requests are logged at "debug".
"""

import time

from litestar.enums import ScopeType
from litestar.types import ASGIApp, Message, Receive, Scope, Send
from pollengate_net.request_ids import REQUEST_ID_KEY, set_request_id

from pollengated.logs import Log

__all__ = ["RequestTracing"]

_HEADER = REQUEST_ID_KEY.encode()
_SERVER_ERROR = 500
_CHANGE_METHODS = frozenset({"PUT", "PATCH", "DELETE"})
_SERVICES_PREFIX = "/services/"


class RequestTracing:
    """Adopts or creates the request id, returns it in the response and logs the request.

    A caller's `Pollengate-Request-Id` is adopted if it is 1 to 64 letters, digits, `.`, `_` or `-`.
    """

    def __init__(self, app: ASGIApp) -> None:
        self._app = app
        self._log = Log("http")

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one ASGI scope."""
        if scope["type"] != ScopeType.HTTP:
            await self._app(scope, receive, send)
            return
        received_id = dict(scope["headers"]).get(_HEADER, b"").decode("latin-1")
        request_id = set_request_id(received_id)
        started_at = time.perf_counter()
        status = 0

        async def send_with_id(message: Message) -> None:
            nonlocal status
            if message["type"] == "http.response.start":
                status = message["status"]
                headers = [pair for pair in message["headers"] if pair[0].lower() != _HEADER]
                message["headers"] = [*headers, (_HEADER, request_id.encode())]
            await send(message)

        await self._app(scope, receive, send_with_id)
        self._log_request(scope["method"], scope["path"], status, time.perf_counter() - started_at)

    def _log_request(self, method: str, path: str, status: int, seconds: float) -> None:
        is_change = method in _CHANGE_METHODS and not path.startswith(_SERVICES_PREFIX)
        is_logged_at_info = is_change or status >= _SERVER_ERROR
        write = self._log.info if is_logged_at_info else self._log.debug
        duration_ms = round(seconds * 1000, 1)
        write("request finished", method=method, path=path, status=status, duration_ms=duration_ms)
