"""The platform's VM list over HTTP."""

from typing import Any

import httpx
from pollengate.virtual_machines import VirtualMachine, VmKind, VmList, VmListFailure, VmState
from result import Err, Ok, Result

__all__ = ["HttpVmList", "vm_from_document", "vm_to_document"]

CALL_TIMEOUT_S = 1.0


class HttpVmList(VmList):
    """Reads the list by `GET /vms`, conditionally where the list has an entity tag."""

    def __init__(self, address: str, transport: httpx.AsyncBaseTransport | None = None) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", timeout=CALL_TIMEOUT_S, transport=transport
        )
        self._etag: str | None = None
        self._vms: tuple[VirtualMachine, ...] = ()

    async def read(self) -> Result[tuple[VirtualMachine, ...], VmListFailure]:
        """Reads the whole list; an unchanged one is not sent again."""
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
    """Decodes one listed VM.

    Raises:
        KeyError: a field is missing.
        TypeError: a field is not known.
        ValueError: kind or state is not known.
    """
    fields = dict(document)
    fields["kind"] = VmKind(fields["kind"])
    fields["state"] = VmState(fields["state"])
    return VirtualMachine(**fields)


def vm_to_document(vm: VirtualMachine) -> dict[str, Any]:
    """Encodes one listed VM."""
    return {field: getattr(vm, field) for field in VirtualMachine.__slots__}
