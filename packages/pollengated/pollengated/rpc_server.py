"""gRPC server with limits on what other processes send, and on how slowly they send and read it."""

import asyncio
import dataclasses
from collections.abc import Callable, Collection
from typing import Any, cast

from grpclib.config import Configuration
from grpclib.protocol import EventsProcessor, H2Protocol
from grpclib.server import Server
from h2.events import DataReceived, Event, RequestReceived, StreamEnded, StreamReset
from h2.exceptions import ProtocolError
from h2.utilities import SizeLimitDict

from pollengated.connection_table import ConnectionTable
from pollengated.request_budget import RequestBudget
from pollengated.rpc_limits import CallProgress, RpcLimits
from pollengated.uvicorn_server import limit_receive_buffers

__all__ = ["BoundedRpcServer", "RpcListener"]

# A read may hold thousands of frames; limits are checked after each piece of this size.
PIECE_BYTES = 2_048
# The library remembers 65,536 closed calls of each connection.
REMEMBERED_CALLS = 2_048
# Room for a message of 1 MB within the time-out of a call between distant zones.
RECEIVE_BUFFER_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class RpcListener:
    """What the connections of the listener share.

    Attributes:
        limits: limits of each connection.
        budget: memory of the calls in progress.
        connections: open connections.
        record_refusal: called with the name of the limit that ended a connection.
    """

    limits: RpcLimits
    budget: RequestBudget
    connections: ConnectionTable
    record_refusal: Callable[[str], None]


class BoundedRpcServer(Server):
    """A gRPC server that closes connections beyond the limits of its listener."""

    def __init__(self, handlers: Collection[Any], listener: RpcListener) -> None:
        limits = listener.limits
        configuration = Configuration(
            http2_connection_window_size=limits.connection_window_bytes,
            http2_stream_window_size=limits.call_window_bytes,
        )
        super().__init__(handlers, config=configuration)
        self._listener = listener

    async def start(self, *args: Any, **kwargs: Any) -> None:
        """Starts to listen, as the base class does."""
        await super().start(*args, **kwargs)
        limit_receive_buffers(cast(asyncio.Server, self._server), RECEIVE_BUFFER_BYTES)

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return BoundedRpcProtocol(self._listener, plain.handler, plain.config, plain.h2_config)


class _CallsProcessor(EventsProcessor):
    """Releases the calls that their callers reset, and reports the end of each call."""

    def __init__(self, handler: Any, connection: Any, on_end: Callable[[int], None]) -> None:
        super().__init__(handler, connection)
        self._on_end = on_end
        self._release_by_call: dict[int, Callable[[], None]] = {}

    def register(self, stream: Any) -> Callable[[], None]:
        """Returns what ends a call; it may be called again."""
        release = super().register(stream)

        def release_once() -> None:
            if self._release_by_call.pop(stream.id, None) is not None:
                release()
                self._on_end(stream.id)

        self._release_by_call[stream.id] = release_once
        return release_once

    def process_stream_reset(self, event: StreamReset) -> None:
        """Ends a call that was reset."""
        super().process_stream_reset(event)
        # The library leaves this to the handler, which never runs if it is cancelled before its
        # first step.
        release = self._release_by_call.get(event.stream_id or 0)
        if release is not None:
            release()


class BoundedRpcProtocol(H2Protocol):
    """A connection of another process."""

    def __init__(self, listener: RpcListener, handler: Any, config: Any, h2_config: Any) -> None:
        super().__init__(handler, config, h2_config)
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._progress = CallProgress(listener.limits, self._loop.time())
        self._is_ended = False
        self._deadline: asyncio.TimerHandle | None = None
        self._response_timer: asyncio.TimerHandle | None = None

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._transport = transport
        core = self.connection._connection
        core.decoder.max_header_list_size = self._listener.limits.header_bytes
        core._closed_streams = SizeLimitDict(size_limit=REMEMBERED_CALLS)
        self.processor = _CallsProcessor(self.handler, self.connection, self._end_call)
        if self._listener.connections.admit(self):
            self._watch_incomplete()
        else:
            self._end("connections")

    def connection_lost(self, exc: BaseException | None) -> None:
        self._is_ended = True
        for timer in (self._deadline, self._response_timer):
            if timer is not None:
                timer.cancel()
        self._listener.budget.release(self)
        self._listener.connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        for position in range(0, len(data), PIECE_BYTES):
            if self._is_ended or self._transport.is_closing():
                return
            self._receive(data[position : position + PIECE_BYTES])

    def pause_writing(self) -> None:
        super().pause_writing()
        # The library responds to pings and settings without waiting for room.
        self._transport.pause_reading()
        self._watch_unsent()

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self._transport.is_closing():
            self._transport.resume_reading()

    # Receiving.

    def _receive(self, piece: bytes) -> None:
        try:
            events = self.connection.feed(piece)
        except ProtocolError:
            self._end("malformed")
            return
        self._count(len(piece), events)
        limit = self._progress.find_excess()
        if limit is not None:
            self._end(limit)
            return
        self.connection.flush()
        for event in events:
            # The library fails on events of frames that gRPC does not use.
            if event.__class__ in getattr(self.processor, "processors", ()):
                self.processor.process(event)
        if self._transport.is_closing():
            return
        self.connection.flush()
        self._charge(makes_room=True)
        self._watch_incomplete()

    def _count(self, size: int, events: list[Event]) -> None:
        now = self._loop.time()
        progress = self._progress
        progress.add_piece(size, bool(events), now)
        for event in events:
            if isinstance(event, RequestReceived):
                headers = event.headers or ()
                header_bytes = sum(len(name) + len(value) for name, value in headers)
                progress.begin_call(event.stream_id or 0, len(headers), header_bytes, now)
            elif isinstance(event, DataReceived):
                progress.add_data(event.stream_id or 0, len(event.data or b""))
            elif isinstance(event, StreamEnded):
                progress.complete_call(event.stream_id or 0)
                progress.succeed_call()
            elif isinstance(event, StreamReset) and event.remote_reset:
                progress.reset_call()

    def _end_call(self, call: int) -> None:
        self._progress.end_call(call)
        if not self._is_ended:
            self._charge(makes_room=False)

    # Memory and connections.

    def _charge(self, makes_room: bool) -> None:
        progress, budget = self._progress, self._listener.budget
        connections = self._listener.connections
        budget.charge(self, progress.taken_bytes)
        if progress.incomplete_since is not None:
            budget.mark_incomplete(self)
            connections.mark_incomplete(self)
        else:
            budget.mark_complete(self)
            if progress.calls:
                connections.mark_busy(self)
            else:
                connections.mark_idle(self)
        if not makes_room or not budget.is_exceeded or budget.make_room(self):
            return
        if progress.calls > self._listener.limits.fair_calls:
            self._end("buffered_bytes")

    def end_for_memory(self) -> None:
        """Closes the connection in favour of others."""
        self._end("buffered_bytes")

    def close_for_room(self) -> None:
        """Closes the connection so that another one can be accepted."""
        self._end("connections")

    # Time limits.

    def _watch_incomplete(self) -> None:
        since = self._progress.incomplete_since
        if since is not None and self._deadline is None and not self._is_ended:
            delay_s = self._listener.limits.call_timeout_s
            self._deadline = self._loop.call_at(since + delay_s, self._check_incomplete)

    def _check_incomplete(self) -> None:
        self._deadline = None
        since = self._progress.incomplete_since
        timeout_s = self._listener.limits.call_timeout_s
        if since is not None and self._loop.time() >= since + timeout_s:
            self._end("call_timeout")
        else:
            self._watch_incomplete()

    def _watch_unsent(self) -> None:
        unsent = self._transport.get_write_buffer_size()
        if unsent and self._response_timer is None:
            timeout_s = self._listener.limits.response_timeout_s
            self._response_timer = self._loop.call_later(timeout_s, self._check_unsent, unsent)

    def _check_unsent(self, unsent_before: int) -> None:
        self._response_timer = None
        if self._transport.get_write_buffer_size() < unsent_before:
            self._watch_unsent()
        else:
            self._end("response_timeout")

    def _end(self, limit: str) -> None:
        """Closes the connection; its callers see calls without a reply."""
        if self._is_ended:
            return
        self._is_ended = True
        self._listener.record_refusal(limit)
        self.processor.close(reason=f"limit: {limit}")
        self._transport.abort()
