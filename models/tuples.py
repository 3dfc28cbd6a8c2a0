"""Helpers for model states, which are tuples."""

from typing import TypeVar

__all__ = ["replaced"]

T = TypeVar("T")


def replaced(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    """Returns a copy of the tuple with the value at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])
