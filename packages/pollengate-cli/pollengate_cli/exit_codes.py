"""Exit codes of the command line, for scripts."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """How a command ended.

    Attributes:
        OK: it was done.
        REFUSED: it was refused and had no effect.
        USAGE: the command itself is wrong; nothing was sent.
        CONFLICT: the configuration has another version than the patch is against.
        UNKNOWN: it may have had its effect.
        UNREACHABLE: no gate answered; it had no effect.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
