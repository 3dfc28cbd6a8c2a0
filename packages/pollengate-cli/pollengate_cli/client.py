"""HTTP client of a gate."""

from typing import Any

import httpx
from result import Err, Ok, Result

__all__ = ["Failure", "GateClient"]

CALL_TIMEOUT_S = 10.0


class Failure:
    """A call that a gate refused or did not answer.

    Attributes:
        status: HTTP status, 0 without an answer.
        document: the problem document.
    """

    def __init__(self, status: int, document: dict[str, Any]) -> None:
        self.status = status
        self.document = document


class GateClient:
    """Calls one gate."""

    def __init__(self, address: str) -> None:
        self._client = httpx.Client(base_url=f"http://{address}", timeout=CALL_TIMEOUT_S)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Any, Failure]:
        """Makes one call and decodes its JSON answer."""
        try:
            response = self._client.request(method, path, json=body, headers=headers)
        except httpx.HTTPError as error:
            detail = f"the gate did not answer: {error}"
            return Err(Failure(0, {"detail": detail, "reason": "gate_unreachable"}))
        document = response.json()
        if response.is_error:
            return Err(Failure(response.status_code, document))
        return Ok(document)
