"""Client of the platform's VM list, over HTTP."""

from typing import Any

import httpx
from pollengate.virtual_machines import VirtualMachine, VmKind, VmList, VmListFailure, VmState
from result import Err, Ok, Result

__all__ = ["HttpVmList", "vm_from_document", "vm_to_document"]

CALL_TIMEOUT_S = 1.0


class HttpVmList(VmList):
    """Reads the list by `GET /vms`, with a conditional request if an entity tag is known."""

    def __init__(self, address: str, transport: httpx.AsyncBaseTransport | None = None) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", timeout=CALL_TIMEOUT_S, transport=transport
        )
        self._etag: str | None = None
        self._vms: tuple[VirtualMachine, ...] = ()

    async def read(self) -> Result[tuple[VirtualMachine, ...], VmListFailure]:
        """Returns the whole list, from memory if the server replies that it has not changed."""
        headers = {"If-None-Match": self._etag} if self._etag is not None else {}
        try:
            response = await self._client.get("/vms", headers=headers)
            if response.status_code == httpx.codes.NOT_MODIFIED:
                return Ok(self._vms)
            response.raise_for_status()
            self._vms = tuple(vm_from_document(document) for document in response.json())
            self._etag = response.headers.get("ETag")
            return Ok(self._vms)
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            return Err(VmListFailure(f"{type(error).__name__}: {error}"))

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()


def vm_from_document(document: dict[str, Any]) -> VirtualMachine:
    """Decodes one entry of the list.

    Raises:
        KeyError: `kind` or `state` is missing.
        TypeError: a field is unknown or missing.
        ValueError: the value of `kind` or `state` is unknown.
    """
    fields = dict(document)
    fields["kind"] = VmKind(fields["kind"])
    fields["state"] = VmState(fields["state"])
    return VirtualMachine(**fields)


def vm_to_document(vm: VirtualMachine) -> dict[str, Any]:
    """Encodes one entry of the list."""
    return {field: getattr(vm, field) for field in VirtualMachine.__slots__}
