"""HTTP/1.1 protocol with limits on what clients send, and on how slowly they send and read it."""

import asyncio
import dataclasses
import math
from collections.abc import Callable
from typing import Any

import httptools
from pollengate.refusals import Refusal
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from pollengated.connection_table import ConnectionState, ConnectionTable
from pollengated.holdable_flow import HoldableFlow
from pollengated.http_listener import HttpListener
from pollengated.http_refusals import encode_problem
from pollengated.metrics import Metrics
from pollengated.request_budget import RequestBudget
from pollengated.request_limits import DEFAULT_BUFFERED_BYTES, DEFAULT_CONNECTIONS, RequestLimits
from pollengated.request_progress import LimitMet, Phase, RequestProgress

__all__ = ["bounded_http_protocol", "http_protocol"]

# A client may read a refusal only after it has sent its request. What it sends is discarded for
# this time, because closing a connection with unread bytes resets it and loses the refusal.
LINGER_S = 1.0
# A process that is to stop has a few seconds for all that it has to do.
SHUTDOWN_TIMEOUT_S = 1.0
# In place of a request and its part.
FIRST_BYTE = (-1, False)
CONTENT_LENGTH = b"content-length"
# Objects of a request in progress beside its bytes, and of one header in the protocol, the
# application and the framework.
REQUEST_COST_BYTES = 8_192
HEADER_COST_BYTES = 400


def http_protocol(
    metrics: Metrics,
    head_timeout_s: float,
    response_timeout_s: float,
    limits: RequestLimits | None = None,
    budget: RequestBudget | None = None,
) -> type[HttpToolsProtocol]:
    """Returns a protocol class that responds to refused requests with problem documents.

    Args:
        metrics: counts the refusals.
        head_timeout_s: time limit for complete request headers, in seconds from the opening of the
            connection or from the request's first byte.
        response_timeout_s: seconds after which a response whose unsent bytes do not decrease is
            aborted.
        limits: other limits, None for the defaults.
        budget: memory of the requests of the process, None for `DEFAULT_BUFFERED_BYTES`.
    """
    limits = dataclasses.replace(
        limits or RequestLimits(),
        first_byte_timeout_s=head_timeout_s,
        head_timeout_s=head_timeout_s,
        response_timeout_s=response_timeout_s,
    )

    def record_refusal(_: str, refusal: Refusal | None) -> None:
        if refusal is not None:
            metrics.count_refusal(refusal.reason)

    budget = budget or RequestBudget(DEFAULT_BUFFERED_BYTES)
    return bounded_http_protocol(
        HttpListener(
            limits,
            budget,
            ConnectionTable(DEFAULT_CONNECTIONS),
            encode_problem,
            record_refusal,
            refuses_silence=True,
        )
    )


def bounded_http_protocol(listener: HttpListener) -> type[HttpToolsProtocol]:
    """Returns a protocol class for the connections of a listener."""
    return type("ListenerHttpProtocol", (BoundedHttpProtocol,), {"listener": listener})


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses requests beyond the limits of its listener and closes their connections.

    Aborts a connection whose client stops reading the response.
    """

    listener: HttpListener

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._progress = RequestProgress(self.listener.limits)
        # What the callbacks of the parser have found; it is acted upon when the parser returns.
        self._found: LimitMet | None = None
        self._taken_bytes = 0
        self._known_state = ConnectionState.IDLE
        self._is_refused = False
        self._pending_refusal: Refusal | None = None
        # Whether a client that is refused may still be sending.
        self._lingers = False
        # Received bytes that wait until earlier requests on the connection have their responses.
        self._held = memoryview(b"")
        self._executing: RequestResponseCycle | None = None
        # Numbers of requests that were received completely, and of responses.
        self._received = 0
        self._responses = 0
        # For which part of which request the deadline is: whether it is the body.
        self._awaited: tuple[int, bool] | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._response_timer: asyncio.TimerHandle | None = None
        self._response_timeout_s = self.listener.limits.response_timeout_s

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.flow: HoldableFlow = HoldableFlow(transport)
        if not self.listener.connections.admit(self):
            self.listener.record_refusal("connections", None)
            self.transport.abort()
            return
        limits = self.listener.limits
        self._set_deadline(limits.first_byte_timeout_s, self._close_silent)
        self._awaited = FIRST_BYTE

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_deadline()
        self._cancel_response_timer()
        self._held = memoryview(b"")
        self.listener.budget.release(self)
        self.listener.connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_refused or not data:
            return
        if self._held:
            self._hold(memoryview(bytes(self._held) + data))
            return
        self._unset_keepalive_if_required()
        self._feed(memoryview(data))

    def pause_writing(self) -> None:
        super().pause_writing()
        self._cancel_response_timer()
        self._start_response_timer()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._progress.begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are not used; the base class would add them to the headers.
        if self._progress.phase is Phase.HEAD:
            super().on_header(name, value)
            self._progress.add_header(name, value)

    def on_headers_complete(self) -> None:
        self._found = self._progress.complete_headers()
        if self._found is None and not self._has_room():
            self._progress.drop_incomplete(has_memory=True)
            self._found = self._progress.memory_full()
        if self._found is not None:
            # The application must not see a request that is refused.
            return
        try:
            super().on_headers_complete()
        except Exception:
            # The request's target can't be decoded; there is nothing to respond to but the head.
            self._progress.drop_incomplete(has_memory=True)
            raise

    def on_body(self, body: bytes) -> None:
        if self._found is None:
            is_kept = not self.cycle.response_complete
            self._found = self._progress.add_body(len(body), is_kept)
        if self._found is None:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if self._found is None:
            super().on_message_complete()
            self._progress.complete_message()
            self._received += 1

    # Callbacks of the base class.

    def on_response_complete(self) -> None:
        super().on_response_complete()
        self._responses += 1
        self._progress.complete_response()
        self._charge()
        self._report_state()
        # A small response does not pause writing; the timer also covers one after which the
        # connection closes, which otherwise stays open until the client has read it.
        self._start_response_timer()
        if self.transport.is_closing() or self._awaits_responses():
            return
        if self._pending_refusal is not None:
            self._send_refusal(self._pending_refusal)
        elif self._held or self._progress.phase is not Phase.START:
            # In its own turn of the loop, so that other connections take turns with this one.
            self.loop.call_soon(self._resume)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._executing = cycle
        super()._start_asgi_task(cycle, app)

    def shutdown(self) -> None:
        """Lets the request in progress end within a second, however slow its client is."""
        super().shutdown()
        self._response_timeout_s = SHUTDOWN_TIMEOUT_S
        self._cancel_response_timer()
        self._start_response_timer()
        if self._progress.phase is Phase.BODY and not self._awaits_responses():
            self._cancel_deadline()
            self._renew_deadline(SHUTDOWN_TIMEOUT_S)

    # Parsing.

    def _awaits_responses(self) -> bool:
        """Returns whether earlier requests than the one that is parsed have no response yet."""
        if self.pipeline:
            return True
        return self._is_responding() and self._progress.phase is not Phase.BODY

    def _is_responding(self) -> bool:
        return self._executing is not None and not self._executing.response_complete

    def _hold(self, data: memoryview) -> None:
        self._held = data
        self.flow.is_held = True
        self.flow.pause_reading()
        if not self._has_room():
            self._refuse(self._progress.memory_full())

    def _resume(self) -> None:
        """Parses what has waited for the responses to earlier requests."""
        if self._is_refused or self.transport.is_closing() or self._awaits_responses():
            return
        self._unset_keepalive_if_required()
        data, self._held = self._held, memoryview(b"")
        self.flow.is_held = False
        self._feed(data)
        self.flow.resume_reading()

    def _feed(self, data: memoryview) -> None:
        """Parses received bytes in pieces until a limit is passed or a request is complete.

        What follows a complete request waits for its response: one read may hold thousands of
        small requests.
        """
        position = 0
        while position < len(data) and not self._is_refused and not self.transport.is_closing():
            if self._awaits_responses():
                self._hold(data[position:])
                break
            piece = data[position : position + self._progress.next_piece_bytes()]
            position += self._parse(piece)
        self._renew_deadline()

    def _parse(self, piece: memoryview) -> int:
        """Parses bytes and checks the limits; returns the number of parsed bytes."""
        parsed = len(piece)
        self._progress.begin_piece()
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            # A server may ignore the request for another protocol; what follows is HTTP/1.1.
            parsed = max(1, min(parsed, upgrade.args[0]))
        except httptools.HttpParserError:
            self._refuse(self._found or self._progress.malformed())
            return parsed
        if self._found is None:
            self._found = self._progress.end_piece(parsed)
        self._report_state()
        if self._found is None and not self._has_room() and self._progress.is_incomplete:
            self._found = self._progress.memory_full()
        if self._found is not None:
            self._refuse(self._found, lingers=True)
        return parsed

    # Memory.

    def _charge(self) -> None:
        """Counts the memory that this connection's requests take."""
        # A part of a read keeps the whole read in memory.
        held_bytes = memoryview(self._held.obj).nbytes if self._held else 0
        taken_bytes = self._progress.taken_bytes + held_bytes
        if taken_bytes != self._taken_bytes:
            self._taken_bytes = taken_bytes
            self.listener.budget.charge(self, taken_bytes)

    def _state(self) -> ConnectionState:
        if self._progress.is_incomplete and not self._is_refused:
            return ConnectionState.INCOMPLETE
        return ConnectionState.BUSY if self._is_responding() else ConnectionState.IDLE

    def _report_state(self) -> None:
        """Tells the listener and the budget what the connection waits for, if that has changed."""
        state = self._state()
        if state is self._known_state:
            return
        self._known_state = state
        budget, connections = self.listener.budget, self.listener.connections
        if state is ConnectionState.INCOMPLETE:
            budget.mark_incomplete(self)
            connections.mark_incomplete(self)
            return
        budget.mark_complete(self)
        if state is ConnectionState.BUSY:
            connections.mark_busy(self)
        else:
            connections.mark_idle(self)

    def _has_room(self) -> bool:
        """Returns whether the requests of the process keep their limit, if others end."""
        self._charge()
        budget = self.listener.budget
        return not budget.is_exceeded or budget.make_room(self)

    def end_for_memory(self) -> None:
        """Refuses the incomplete request in favour of others."""
        self._refuse(self._progress.memory_full(), lingers=True)

    def close_for_room(self) -> None:
        """Closes the connection so that another one can be accepted."""
        self.listener.record_refusal("connections", None)
        if self._progress.is_incomplete and not self._is_refused:
            self._refuse(self._progress.connections_full())
        # Also without the time in which a client may read: it may not be reading.
        self.transport.abort()

    # Time limits.

    def _renew_deadline(self, at_most_s: float = math.inf) -> None:
        """Sets the time limit for the part of a request whose rest is awaited, if it is another.

        An ordinary request arrives in one read and needs none.

        Args:
            at_most_s: a shorter time limit in seconds.
        """
        if self._is_refused or self.transport.is_closing():
            return
        awaited = None
        if self._progress.is_incomplete and not self._awaits_responses():
            # Empty lines, for which the parser has no callback, belong to the head.
            awaited = (self._received, self._progress.phase is Phase.BODY)
        if awaited == self._awaited:
            return
        limits = self.listener.limits
        if awaited is None:
            self._cancel_deadline()
        elif self._progress.phase is Phase.BODY:
            self._set_deadline(min(at_most_s, limits.body_timeout_s), self._refuse_late_body)
        else:
            self._set_deadline(limits.head_timeout_s, self._refuse_late_head)
        self._awaited = awaited

    def _set_deadline(self, delay_s: float, refuse: Callable[[], None]) -> None:
        self._cancel_deadline()
        self._deadline = self.loop.call_later(delay_s, refuse)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
            self._awaited = None

    def _close_silent(self) -> None:
        if self.listener.refuses_silence:
            self._refuse_late_head()
        else:
            self._close_unused("first_byte_timeout")

    def _close_unused(self, limit: str) -> None:
        self.listener.record_refusal(limit, None)
        self.transport.close()

    def _refuse_late_head(self) -> None:
        if self._progress.phase is Phase.START and not self.listener.refuses_silence:
            # Empty lines alone: a response might be taken for that to a later request.
            self._close_unused("head_timeout")
        else:
            self._refuse(self._progress.late_head())

    def _refuse_late_body(self) -> None:
        self._refuse(self._progress.late_body())

    def _start_response_timer(self) -> None:
        unsent = self.transport.get_write_buffer_size()
        if unsent and self._response_timer is None:
            self._response_timer = self.loop.call_later(
                self._response_timeout_s,
                self._abort_if_stalled,
                unsent,
                self._responses,
            )

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None

    def _abort_if_stalled(self, unsent_before: int, responses_before: int) -> None:
        self._response_timer = None
        unsent = self.transport.get_write_buffer_size()
        if unsent < unsent_before or self._responses > responses_before:
            self._start_response_timer()
        else:
            self.listener.record_refusal("response_timeout", None)
            self.transport.abort()

    # Refusals.

    def _refuse(self, met: LimitMet, lingers: bool = False) -> None:
        """Responds to the incomplete request, if it has no response yet, and closes.

        Args:
            met: the limit that the request has passed, and the response.
            lingers: whether the client may still be sending.
        """
        if self._is_refused or self.transport.is_closing():
            return
        self._is_refused = True
        self._lingers = lingers
        self._held = memoryview(b"")
        self._cancel_deadline()
        has_response = not self._drop_incomplete_request()
        self._charge()
        self._report_state()
        if has_response:
            self.listener.record_refusal(met.limit, None)
            self.transport.close()
            return
        self.listener.record_refusal(met.limit, met.refusal)
        if self._awaits_responses():
            self._pending_refusal = met.refusal
            self.flow.is_held = True
            self.flow.pause_reading()
        else:
            self._send_refusal(met.refusal)

    def _send_refusal(self, refusal: Refusal) -> None:
        self.transport.write(self.listener.encode(refusal))
        self._start_response_timer()
        if self._lingers:
            self.flow.is_held = False
            self.flow.resume_reading()
            self.transport.write_eof()
            self._set_deadline(LINGER_S, self.transport.close)
        else:
            self.transport.close()

    def _drop_incomplete_request(self) -> bool:
        """Lets the application see a disconnect in place of the rest of the body.

        Returns:
            Whether the request has had no response yet.
        """
        if self._progress.phase is not Phase.BODY:
            self._progress.drop_incomplete(has_memory=False)
            return True
        cycle = self.cycle
        if cycle.response_started:
            return False
        self._progress.drop_incomplete(has_memory=True)
        if self.pipeline and self.pipeline[0][0] is cycle:
            self.pipeline.popleft()
            return True
        # The application may not have asked for the body yet; nothing is written any more.
        cycle.waiting_for_100_continue = False
        cycle.disconnected = True
        cycle.message_event.set()
        self._executing = None
        return True
