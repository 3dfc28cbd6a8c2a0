"""A VM list stand-in that serves the list of a file and lets clients change VM states."""

import hashlib
import json
from pathlib import Path
from typing import Any

from litestar import Litestar, Request, get, put
from litestar.exceptions import NotFoundException
from litestar.response import Response

__all__ = ["create_vm_list_app"]


def create_vm_list_app(path: Path) -> Litestar:
    """Returns the HTTP application of the VM list.

    Args:
        path: a JSON file with an array of VM documents; it is read once and not written.
    """
    documents_by_id = {document["vm_id"]: document for document in json.loads(path.read_text())}

    @get("/vms")
    async def list_vms(request: Request[Any, Any, Any]) -> Response[Any]:
        body = json.dumps(list(documents_by_id.values())).encode()
        tag = f'"{hashlib.sha256(body).hexdigest()}"'
        if request.headers.get("if-none-match") == tag:
            return Response(b"", status_code=304, headers={"ETag": tag})
        return Response(body, headers={"ETag": tag}, media_type="application/json")

    @put("/vms/{vm_id:str}/state")
    async def set_state(vm_id: str, data: dict[str, str]) -> dict[str, Any]:
        document = documents_by_id.get(vm_id)
        if document is None:
            raise NotFoundException(f"VM {vm_id!r} is not listed")
        document["state"] = data["state"]
        return dict(document)

    return Litestar([list_vms, set_state], logging_config=None)
