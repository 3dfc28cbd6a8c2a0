"""Faults of a settings file, each with its key, its value and what is allowed."""

import dataclasses
import difflib
from pathlib import Path
from typing import Any

import pydantic

__all__ = ["SettingsFault", "faults_from_validation_error"]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of a settings file.

    Attributes:
        file: the settings file.
        key: dotted path of the faulty key, empty for the file as a whole.
        value: what stands there, as text; empty where nothing does.
        detail: what is wrong.
        allowed: what is allowed there, empty where that is plain from the detail.
    """

    file: Path
    key: str
    value: str
    detail: str
    allowed: str = ""

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else str(self.file)
        setting = f"{place} = {self.value}" if self.value else place
        return f"{setting}: {self.detail}" + (f"; allowed: {self.allowed}" if self.allowed else "")


def faults_from_validation_error(
    file: Path, model: type[pydantic.BaseModel], error: pydantic.ValidationError
) -> tuple[SettingsFault, ...]:
    """Returns every fault that a validation found."""
    return tuple(_fault(file, model, entry) for entry in error.errors())


def _fault(file: Path, model: type[pydantic.BaseModel], entry: Any) -> SettingsFault:
    location = tuple(str(part) for part in entry["loc"])
    key = ".".join(location)
    kind = entry["type"]
    if kind == "extra_forbidden":
        return _unknown_key(file, model, location, entry["input"])
    allowed = _description(model, location)
    if kind == "missing":
        return SettingsFault(file, key, "", "the key is missing", allowed)
    return SettingsFault(file, key, repr(entry["input"]), "the value is not valid", allowed)


def _unknown_key(
    file: Path, model: type[pydantic.BaseModel], location: tuple[str, ...], value: object
) -> SettingsFault:
    section = _section(model, location[:-1])
    known = sorted(section.model_fields)
    nearest = difflib.get_close_matches(location[-1], known, n=1, cutoff=0.4)
    hint = f"; the nearest known key is '{nearest[0]}'" if nearest else ""
    return SettingsFault(
        file, ".".join(location), repr(value), f"the key is unknown{hint}", ", ".join(known)
    )


def _section(model: type[pydantic.BaseModel], location: tuple[str, ...]) -> Any:
    section: Any = model
    for part in location:
        section = section.model_fields[part].annotation
    return section


def _description(model: type[pydantic.BaseModel], location: tuple[str, ...]) -> str:
    section = _section(model, location[:-1])
    return section.model_fields[location[-1]].description or ""
