"""What the connections of one HTTP listener share."""

import dataclasses
from collections.abc import Callable

from pollengate.refusals import Refusal

from pollengated.connection_table import ConnectionTable
from pollengated.http_refusals import RefusalEncoder
from pollengated.request_budget import RequestBudget
from pollengated.request_limits import RequestLimits

__all__ = ["HttpListener"]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpListener:
    """What the connections of one listener share.

    Attributes:
        limits: limits of each request.
        budget: memory of the requests of the process.
        connections: open connections.
        encode: encodes the response to a refused request.
        record_refusal: called with the name of the limit that ended a request or connection, and
            with the refusal, None for a connection that closed without one.
        refuses_silence: whether a client that sends nothing gets a response before its connection
            closes.
    """

    limits: RequestLimits
    budget: RequestBudget
    connections: ConnectionTable
    encode: RefusalEncoder
    record_refusal: Callable[[str, Refusal | None], None]
    refuses_silence: bool = False
