"""All measurements behind the capacity page, and the JSON file that stores them."""

import dataclasses
import json
from pathlib import Path
from typing import Any

from benchmarks.capacity.fits import Fit
from benchmarks.capacity.framing import measure_framing
from benchmarks.capacity.memory import MemoryUse, measure_memory
from benchmarks.capacity.message_sizes import measure_message_sizes
from benchmarks.capacity.processor import ProcessorUse, measure_processor
from benchmarks.capacity.store_load import StoreLoad, measure_store_load

__all__ = ["FILE", "Measurements", "measure", "read", "write"]

FILE = Path(__file__).parents[2] / "docs/capacity.json"


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """All measurements behind the capacity page.

    Attributes:
        messages: size in bytes against the number of tasks, by message.
        framing: bytes on the wire in addition to the messages, against the number of calls.
        store: store calls and calls between processes.
        memory: memory of a shard owner.
        processor: processor time and memory of real processes.
    """

    messages: dict[str, Fit]
    framing: Fit
    store: StoreLoad
    memory: MemoryUse
    processor: ProcessorUse


def measure() -> Measurements:
    """Runs every measurement, which takes some minutes."""
    return Measurements(
        messages=measure_message_sizes(),
        framing=measure_framing(),
        store=measure_store_load(),
        memory=measure_memory(),
        processor=measure_processor(),
    )


def write(measurements: Measurements) -> None:
    """Writes the measurements to `FILE`."""
    FILE.write_text(json.dumps(dataclasses.asdict(measurements), indent=2) + "\n")


def read() -> Measurements:
    """Reads the measurements from `FILE`."""
    document = json.loads(FILE.read_text())
    return Measurements(
        messages={name: Fit(**fit) for name, fit in document["messages"].items()},
        framing=Fit(**document["framing"]),
        store=StoreLoad(**_fits(document["store"])),
        memory=MemoryUse(**_fits(document["memory"])),
        processor=ProcessorUse(**_fits(document["processor"])),
    )


def _fits(document: dict[str, Any]) -> dict[str, Any]:
    return {
        name: Fit(**value) if isinstance(value, dict) else value for name, value in document.items()
    }
