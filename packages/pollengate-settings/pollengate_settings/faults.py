"""Faults in a settings file, each with its key, its value and the allowed values."""

import dataclasses
import difflib
from pathlib import Path
from typing import Any

import pydantic

__all__ = ["SettingsFault", "faults_from_validation_error"]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        file: the settings file.
        key: dotted path of the faulty key, empty if the fault concerns the whole file.
        value: representation of the faulty value, empty if there is none.
        detail: description of the fault.
        allowed: the allowed values or keys, empty if the detail suffices.
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
    """Converts a validation error to faults, one per error that pydantic found.

    Args:
        file: the settings file.
        model: the model that the file was validated with.
        error: the error that the validation raised.
    """
    return tuple(
        _fault_from_details(file, model, error_details) for error_details in error.errors()
    )


def _fault_from_details(
    file: Path, model: type[pydantic.BaseModel], error_details: Any
) -> SettingsFault:
    location = tuple(str(part) for part in error_details["loc"])
    key = ".".join(location)
    kind = error_details["type"]
    if kind == "extra_forbidden":
        return _unknown_key_fault(file, model, location, error_details["input"])
    allowed = _allowed_values(model, location)
    if kind == "missing":
        return SettingsFault(file, key, "", "the key is missing", allowed)
    return SettingsFault(file, key, repr(error_details["input"]), "the value is invalid", allowed)


def _unknown_key_fault(
    file: Path, model: type[pydantic.BaseModel], location: tuple[str, ...], value: object
) -> SettingsFault:
    section = _find_section(model, location[:-1])
    known = sorted(section.model_fields)
    nearest = difflib.get_close_matches(location[-1], known, n=1, cutoff=0.4)
    hint = f"; the nearest known key is '{nearest[0]}'" if nearest else ""
    return SettingsFault(
        file, ".".join(location), repr(value), f"the key is unknown{hint}", ", ".join(known)
    )


def _find_section(model: type[pydantic.BaseModel], location: tuple[str, ...]) -> Any:
    section: Any = model
    for part in location:
        section = section.model_fields[part].annotation
    return section


def _allowed_values(model: type[pydantic.BaseModel], location: tuple[str, ...]) -> str:
    section = _find_section(model, location[:-1])
    return section.model_fields[location[-1]].description or ""
