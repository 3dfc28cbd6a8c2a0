"""HTTP/1.1 protocol with time limits for request headers and for unread responses."""

import asyncio
import json
from typing import Any

from pollengate.refusals import Outcome, Reason, Refusal
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pollengated.metrics import Metrics
from pollengated.problems import PROBLEM_MEDIA_TYPE, STATUS_BY_REASON, problem_document

__all__ = ["http_protocol"]

_PHRASE_BY_STATUS = {408: "Request Timeout", 422: "Unprocessable Content"}


def http_protocol(
    metrics: Metrics, head_timeout_s: float, response_timeout_s: float
) -> type[HttpToolsProtocol]:
    """Returns a protocol class for the HTTP server.

    Args:
        metrics: counts the refusals.
        head_timeout_s: time limit for complete request headers, in seconds from the opening of the
            connection or from the request's first byte.
        response_timeout_s: seconds after which a response whose unsent bytes do not decrease is
            aborted.
    """

    class BoundedHttpProtocol(HttpToolsProtocol):
        """Responds to late or malformed headers with a problem document and closes the connection.

        Aborts a connection whose caller stops reading the response.
        """

        _head_timer: asyncio.TimerHandle | None = None
        _response_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            self._start_head_timer()

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._start_head_timer()

        def on_headers_complete(self) -> None:
            self._cancel_head_timer()
            super().on_headers_complete()

        def connection_lost(self, exc: Exception | None) -> None:
            self._cancel_head_timer()
            self._cancel_response_timer()
            super().connection_lost(exc)

        def pause_writing(self) -> None:
            super().pause_writing()
            self._start_response_timer()

        def resume_writing(self) -> None:
            self._cancel_response_timer()
            super().resume_writing()

        def send_400_response(self, msg: str) -> None:
            self._cancel_head_timer()
            detail = "the request is not valid HTTP/1.1"
            self._refuse(Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail))

        def _start_head_timer(self) -> None:
            self._cancel_head_timer()
            self._head_timer = self.loop.call_later(head_timeout_s, self._refuse_late_head)

        def _cancel_head_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _start_response_timer(self) -> None:
            unsent = self.transport.get_write_buffer_size()
            self._response_timer = self.loop.call_later(
                response_timeout_s, self._abort_if_stalled, unsent
            )

        def _cancel_response_timer(self) -> None:
            if self._response_timer is not None:
                self._response_timer.cancel()
                self._response_timer = None

        def _abort_if_stalled(self, unsent_before: int) -> None:
            if self.transport.get_write_buffer_size() < unsent_before:
                self._start_response_timer()
            else:
                self.transport.abort()

        def _refuse_late_head(self) -> None:
            detail = f"the request headers did not arrive within {head_timeout_s:g} s"
            self._refuse(Refusal(Outcome.NOT_RUN, Reason.REQUEST_INCOMPLETE, detail, 1.0))

        def _refuse(self, refusal: Refusal) -> None:
            if self.transport.is_closing():
                return
            if self.cycle is None or self.cycle.response_complete:
                metrics.count_refusal(refusal.reason)
                self.transport.write(_encode(refusal))
            self.transport.close()

    return BoundedHttpProtocol


def _encode(refusal: Refusal) -> bytes:
    status = STATUS_BY_REASON[refusal.reason]
    body = json.dumps(problem_document(refusal)).encode()
    head = (
        f"HTTP/1.1 {status} {_PHRASE_BY_STATUS[status]}\r\n"
        f"content-type: {PROBLEM_MEDIA_TYPE}\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
