"""Client of the platform's VM list, over HTTP."""

import logging
from typing import Any

import httpx
from pollengate.addresses import is_address
from pollengate.decoding import MAX_NUMBER, DocumentDecoder
from pollengate.virtual_machines import VirtualMachine, VmKind, VmList, VmListFailure, VmState
from result import Err, Ok, Result

__all__ = ["HttpVmList", "vm_from_document", "vm_to_document"]

CALL_TIMEOUT_S = 1.0
_LOG = logging.getLogger(__name__)
_VM_LIST_DECODER: DocumentDecoder[list[Any]] = DocumentDecoder(list[Any])


class HttpVmList(VmList):
    """Reads the list by `GET /vms`, with a conditional request if an entity tag is known."""

    def __init__(self, address: str, transport: httpx.AsyncBaseTransport | None = None) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", timeout=CALL_TIMEOUT_S, transport=transport
        )
        self._etag: str | None = None
        self._vms: tuple[VirtualMachine, ...] = ()

    async def read(self) -> Result[tuple[VirtualMachine, ...], VmListFailure]:
        """Returns the whole list, from memory if the server replies that it has not changed.

        An invalid entry is logged and left out.
        """
        headers = {"If-None-Match": self._etag} if self._etag is not None else {}
        try:
            response = await self._client.get("/vms", headers=headers)
            if response.status_code == httpx.codes.NOT_MODIFIED:
                return Ok(self._vms)
            response.raise_for_status()
        except httpx.HTTPError as error:
            return Err(VmListFailure(f"{type(error).__name__}: {error}"))
        decoded = _VM_LIST_DECODER.decode(response.content)
        if isinstance(decoded, Err):
            return Err(VmListFailure(decoded.err_value))
        vms = (_valid_vm(document) for document in decoded.ok_value)
        self._vms = tuple(vm for vm in vms if vm is not None)
        self._etag = response.headers.get("ETag")
        return Ok(self._vms)

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()


def vm_from_document(document: dict[str, Any]) -> VirtualMachine:
    """Decodes one entry of the list.

    Raises:
        KeyError: `kind` or `state` is missing.
        TypeError: a field is unknown or missing.
        ValueError: a field has an invalid value.
    """
    fields = dict(document)
    fields["kind"] = VmKind(fields["kind"])
    fields["state"] = VmState(fields["state"])
    vm = VirtualMachine(**fields)
    texts = (vm.vm_id, vm.zone, vm.rack, vm.address, vm.service)
    amounts = (vm.cores, vm.memory_mb, vm.accelerators)
    if not all(isinstance(text, str) for text in texts) or not vm.vm_id:
        raise ValueError("a name is empty or no text")
    if not all(type(amount) is int and 0 <= amount <= MAX_NUMBER for amount in amounts):
        raise ValueError("an amount is no whole number or out of range")
    if not is_address(vm.address):
        raise ValueError("the address is not host:port")
    return vm


def _valid_vm(document: Any) -> VirtualMachine | None:
    try:
        return vm_from_document(document)
    except (KeyError, TypeError, ValueError) as error:
        _LOG.warning("entry of the VM list is invalid; ignoring it: %r", error)
        return None


def vm_to_document(vm: VirtualMachine) -> dict[str, Any]:
    """Encodes one entry of the list."""
    return {field: getattr(vm, field) for field in VirtualMachine.__slots__}
