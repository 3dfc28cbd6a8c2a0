"""Exceptions for broken invariants, which stop the process."""

__all__ = ["InvariantViolation", "PollengateError"]


class PollengateError(Exception):
    """Base class of the exceptions that stop a process."""


class InvariantViolation(PollengateError):
    """An invariant of the code does not hold; the process must stop."""
