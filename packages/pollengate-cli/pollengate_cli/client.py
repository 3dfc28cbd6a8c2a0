"""HTTP client for the gates of a deployment."""

import json
from collections.abc import Sequence
from typing import Any

import httpx
from result import Err, Ok, Result

from pollengate_cli.failures import (
    MALFORMED_RESPONSE,
    NO_GATE,
    NO_RESPONSE,
    NOT_RUN,
    UNKNOWN,
    Failure,
    failure_from_problem,
)

__all__ = ["GateClient"]

CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0
REQUEST_ID_HEADER = "Pollengate-Request-Id"


class GateClient:
    """Sends each call to the first gate that accepts a connection.

    A call is sent to the next gate only if no connection to the previous one was established, so
    that no call can reach two gates.

    Args:
        addresses: `host:port` of the gates, in the order in which they are tried.
        transport: replaces the network in tests.
        peer: what the addresses belong to, for error messages.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        transport: httpx.BaseTransport | None = None,
        peer: str = "gate",
    ) -> None:
        self._addresses = tuple(addresses)
        self._transport = transport
        self._peer = peer
        timeout = httpx.Timeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._client = httpx.Client(timeout=timeout, transport=transport)

    def at(self, address: str) -> "GateClient":
        """Returns a client of the process at another address."""
        return GateClient((address,), self._transport, "process")

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Any, Failure]:
        """Sends a request and returns the decoded JSON body of the response.

        Args:
            method: the HTTP method.
            path: the path on the gate, starting with a slash.
            body: sent as JSON; None for no body.
            headers: additional request headers.
        """
        for address in self._addresses:
            try:
                response = self._client.request(
                    method, f"http://{address}{path}", json=body, headers=headers
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.HTTPError as error:
                return Err(_no_response(method, f"{self._peer} {address}", error))
            return _decode(method, response)
        tried = ", ".join(self._addresses)
        return Err(
            Failure(NOT_RUN, NO_GATE, f"no {self._peer} accepts a connection; tried {tried}")
        )


def _no_response(method: str, process: str, error: httpx.HTTPError) -> Failure:
    # A read has no effect, even if the gate received it.
    outcome = NOT_RUN if method == "GET" else UNKNOWN
    reason = NO_GATE if method == "GET" else NO_RESPONSE
    detail = f"{process} did not answer: {type(error).__name__}"
    return Failure(outcome, reason, detail)


def _decode(method: str, response: httpx.Response) -> Result[Any, Failure]:
    request_id = response.headers.get(REQUEST_ID_HEADER, "")
    try:
        document = response.json()
    except (json.JSONDecodeError, UnicodeDecodeError):
        outcome = NOT_RUN if method == "GET" else UNKNOWN
        detail = f"the response with status {response.status_code} is not JSON"
        return Err(Failure(outcome, MALFORMED_RESPONSE, detail, response.status_code))
    if response.is_success:
        return Ok(document)
    problem = document if isinstance(document, dict) else {}
    retry_after = response.headers.get("Retry-After")
    return Err(failure_from_problem(response.status_code, problem, retry_after, request_id))
