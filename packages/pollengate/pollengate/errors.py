"""Errors that stop a process: broken invariants only."""

__all__ = ["InvariantViolation", "PollengateError"]


class PollengateError(Exception):
    """Base class of every exception that this project raises."""


class InvariantViolation(PollengateError):
    """A rule that the code itself guarantees does not hold; the process must stop."""
