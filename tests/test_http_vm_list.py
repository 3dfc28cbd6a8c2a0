"""Tests of the VM list client against the stand-in of the VM list, without sockets."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import httpx
from pollengate.virtual_machines import VmState
from pollengate_net.http_vm_list import HttpVmList
from pollengate_standins.vm_list_server import create_vm_list_app

from tests.utils import run_virtual

VM_DOCUMENTS = [
    {
        "vm_id": f"w{number}",
        "zone": "a",
        "rack": "a-r0",
        "kind": "worker",
        "state": "live",
        "address": "127.0.0.1:1",
    }
    for number in range(100)
]


class CountingTransport(httpx.ASGITransport):
    """Transport that counts the bytes of response bodies."""

    response_bytes = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Sends a request to the application and adds the size of the response body."""
        response = await super().handle_async_request(request)
        self.response_bytes += len(await response.aread())
        return response


class HttpVmListTest(unittest.TestCase):
    """Full and conditional reads."""

    def run_against_standin(self, check: Any) -> None:
        """Runs `check` with a client of the stand-in and the client's transport."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "vms.json"
            path.write_text(json.dumps(VM_DOCUMENTS))
            app = create_vm_list_app(path)
            transport = CountingTransport(app)  # type: ignore[arg-type]
            run_virtual(check(HttpVmList("vm-list", transport), transport))

    def answering(self, body: str) -> HttpVmList:
        """Returns a client whose server answers with a body."""
        transport = httpx.MockTransport(lambda request: httpx.Response(200, text=body))
        return HttpVmList("vm-list", transport)

    def test_odd_entry_does_not_hide_the_others(self) -> None:
        good = VM_DOCUMENTS[0]
        odd: list[Any] = [
            {},
            [],
            None,
            5,
            good | {"kind": "odd"},
            good | {"vm_id": ""},
            good | {"address": "127.0.0.1:99999"},
            good | {"cores": 10**400},
            good | {"cores": "4"},
            good | {"zone": None},
            good | {"unknown": 1},
        ]
        vm_list = self.answering(json.dumps([*odd, good]))
        with self.assertLogs("pollengate_net.http_vm_list", "WARNING") as logs:
            vms = run_virtual(vm_list.read()).unwrap()
        self.assertEqual(["w0"], [vm.vm_id for vm in vms])
        self.assertEqual(len(odd), len(logs.records))

    def test_deeply_nested_list_is_a_failure(self) -> None:
        vm_list = self.answering("[" * 100_000 + "]" * 100_000)
        self.assertTrue(run_virtual(vm_list.read()).is_err())

    def test_unchanged_list_is_not_sent_again(self) -> None:
        async def check(vm_list: HttpVmList, transport: CountingTransport) -> None:
            first = (await vm_list.read()).unwrap()
            first_read_bytes = transport.response_bytes
            second = (await vm_list.read()).unwrap()
            self.assertEqual(len(first), len(VM_DOCUMENTS))
            self.assertEqual(second, first)
            self.assertEqual(transport.response_bytes, first_read_bytes)
            await vm_list.close()

        self.run_against_standin(check)

    def test_changed_list_is_sent_again(self) -> None:
        async def check(vm_list: HttpVmList, transport: CountingTransport) -> None:
            await vm_list.read()
            client = httpx.AsyncClient(transport=transport, base_url="http://vm-list")
            await client.put("/vms/w7/state", json={"state": "leaving"})
            vms = (await vm_list.read()).unwrap()
            states = {vm.vm_id: vm.state for vm in vms}
            self.assertEqual(states["w7"], VmState.LEAVING)
            self.assertEqual(states["w8"], VmState.LIVE)
            await vm_list.close()

        self.run_against_standin(check)
