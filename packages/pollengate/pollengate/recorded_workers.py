"""Encoding of the ledger's list of workers that may hold leases in a shard."""

import json
from collections.abc import Iterable

from pollengate.virtual_machines import VirtualMachine, VmKind, VmState

__all__ = ["decode_workers", "encode_workers"]


def encode_workers(workers: Iterable[VirtualMachine]) -> bytes:
    """Encodes workers with the fields that an owner needs to attach them without the VM list."""
    entries = [
        [vm.vm_id, vm.zone, vm.rack, vm.address, vm.cores, vm.memory_mb, vm.accelerators]
        for vm in workers
    ]
    return json.dumps(entries, separators=(",", ":")).encode()


def decode_workers(value: bytes) -> list[VirtualMachine]:
    """Decodes workers; all are `LIVE` until the VM list shows which of them are leaving."""
    return [
        VirtualMachine(
            vm_id=vm_id,
            zone=zone,
            rack=rack,
            kind=VmKind.WORKER,
            state=VmState.LIVE,
            address=address,
            cores=cores,
            memory_mb=memory_mb,
            accelerators=accelerators,
        )
        for vm_id, zone, rack, address, cores, memory_mb, accelerators in json.loads(value)
    ]
