"""Every slope that the capacity page is worked out from, and its file."""

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
    """Slopes of messages, store calls, memory and processor time."""

    messages: dict[str, Fit]
    framing: Fit
    store: StoreLoad
    memory: MemoryUse
    processor: ProcessorUse


def measure() -> Measurements:
    """Measures everything; takes some minutes."""
    return Measurements(
        messages=measure_message_sizes(),
        framing=measure_framing(),
        store=measure_store_load(),
        memory=measure_memory(),
        processor=measure_processor(),
    )


def write(measurements: Measurements) -> None:
    """Writes the file."""
    FILE.write_text(json.dumps(dataclasses.asdict(measurements), indent=2) + "\n")


def read() -> Measurements:
    """Reads the file."""
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
