"""Helpers for states made of tuples."""

from typing import TypeVar

__all__ = ["replaced"]

T = TypeVar("T")


def replaced(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    """Returns a copy with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])
