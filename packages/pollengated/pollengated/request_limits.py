"""Limits on what clients send, on how slowly they send and read it, and on their connections."""

import dataclasses

__all__ = [
    "BYTES_PER_MB",
    "DEFAULT_BUFFERED_BYTES",
    "DEFAULT_CONNECTIONS",
    "RECEIVE_BUFFER_BYTES",
    "ListenerLimits",
    "ProcessLimits",
    "RequestLimits",
    "derive_process_limits",
]

# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Bytes that a connection may have received and the process not read; they count as its memory.
RECEIVE_BUFFER_BYTES = 32_768
# Objects of an open connection, with its receive buffer.
CONNECTION_COST_BYTES = 65_536
CONNECTIONS_MEMORY_DIVISOR = 4

# For gates and schedulers, whose settings have no limits of memory and descriptors.
DEFAULT_BUFFERED_BYTES = 64_000_000
DEFAULT_CONNECTIONS = 4_096
# A body has up to three copies while it is decoded, so that a sixteenth of the memory may become a
# fifth of it.
BUFFER_MEMORY_DIVISOR = 16
RPC_MEMORY_DIVISOR = 32
BYTES_PER_MB = 1_000_000
# Room for several requests of the largest accepted size.
MIN_BUFFERED_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one HTTP request and its response.

    Sizes are checked after each parsed piece of up to 1 KB and may be exceeded by as much.

    Attributes:
        head_bytes: request line and headers, with empty lines before them.
        body_bytes: body without its framing.
        framing_bytes: chunk extensions and trailers between two parts of a body, or after it.
        first_byte_timeout_s: seconds from the opening of a connection to its first byte.
        head_timeout_s: seconds from the first byte of a request to the end of its headers.
        body_timeout_s: seconds from the end of the headers to the end of the body.
        response_timeout_s: seconds after which a response is aborted of which the client reads
            nothing.
    """

    head_bytes: int = 65_536
    body_bytes: int = 1_000_000
    framing_bytes: int = 65_536
    first_byte_timeout_s: float = 75.0
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    response_timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener.

    Attributes:
        connections: open connections.
        backlog: connections that wait to be accepted; as many may be open beyond `connections`
            for one turn of the event loop.
    """

    connections: int
    backlog: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of one process of the edge role.

    Attributes:
        buffered_bytes: memory of the requests of all listeners that have no response yet.
        client: limits of the listener for clients.
        probe: limits of the listeners for readiness probes and for operators, each.
        rpc: limits of the listener for other processes.
        rpc_buffered_bytes: memory of the calls of other processes that are in progress.
    """

    buffered_bytes: int
    client: ListenerLimits
    probe: ListenerLimits
    rpc: ListenerLimits
    rpc_buffered_bytes: int


def derive_process_limits(memory_mb: int, max_fds: int) -> ProcessLimits:
    """Returns limits that keep a process within its memory and its file descriptors.

    About a third of the descriptors remain for connections to the store, the workers and other
    processes.

    Args:
        memory_mb: memory that the process may use, in MB.
        max_fds: file descriptors that the process may use.
    """
    memory_bytes = memory_mb * BYTES_PER_MB
    sockets = max(max_fds - FILE_DESCRIPTORS, max_fds // 2)
    affordable = memory_bytes // CONNECTIONS_MEMORY_DIVISOR // CONNECTION_COST_BYTES
    return ProcessLimits(
        buffered_bytes=max(MIN_BUFFERED_BYTES, memory_bytes // BUFFER_MEMORY_DIVISOR),
        client=_listener_limits(sockets * 3 // 8, affordable, sockets // 8),
        probe=_listener_limits(sockets // 32, affordable // 8, sockets // 32),
        rpc=_listener_limits(sockets // 8, affordable // 4, sockets // 32),
        rpc_buffered_bytes=max(MIN_BUFFERED_BYTES // 2, memory_bytes // RPC_MEMORY_DIVISOR),
    )


def _listener_limits(share: int, affordable: int, backlog: int) -> ListenerLimits:
    return ListenerLimits(max(4, min(share, affordable)), max(8, min(512, backlog)))
