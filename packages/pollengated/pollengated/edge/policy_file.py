"""Reads the file with the settings of scheduling decisions."""

import dataclasses
from pathlib import Path
from typing import TypeVar

import msgspec
from pollengate.decoding import decode_toml
from pollengate.workflow.policy import InterferencePolicy, OverloadPolicy, SchedulingPolicy
from result import Err, Ok, Result

__all__ = ["read_policy"]

_T = TypeVar("_T")


class _PolicyFile(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file; an absent table leaves its settings at their defaults."""

    overload: dict[str, object] = {}
    interference: dict[str, object] = {}


def read_policy(path: Path) -> Result[SchedulingPolicy, str]:
    """Reads a policy file (TOML).

    Returns:
        The settings, or a message that names the invalid setting and says what is wrong.
    """
    try:
        document = decode_toml(path.read_bytes())
        if isinstance(document, Err):
            return Err(f"{path}: {document.err_value}")
        tables = msgspec.convert(document.ok_value, _PolicyFile)
        policy = SchedulingPolicy(
            _convert("overload", tables.overload, OverloadPolicy),
            _convert("interference", tables.interference, InterferencePolicy),
        )
    except (OSError, msgspec.ValidationError) as error:
        return Err(f"{path}: {error}")
    return Ok(policy)


def _convert(table: str, values: dict[str, object], expected: type[_T]) -> _T:
    """Converts a table of the file.

    Raises:
        msgspec.ValidationError: a setting is unknown or has a value of another type.
    """
    known = {field.name for field in dataclasses.fields(expected)}  # type: ignore[arg-type]
    unknown = sorted(values.keys() - known)
    if unknown:
        raise msgspec.ValidationError(f"{table}.{unknown[0]} is not a setting")
    try:
        return msgspec.convert(values, expected)
    except msgspec.ValidationError as error:
        raise msgspec.ValidationError(f"{table}: {error}") from error
