"""Exit codes of the command line, which scripts rely on."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """The result of a command.

    Attributes:
        OK: the command succeeded.
        REFUSED: the command was refused and had no effect.
        USAGE: the command line is invalid; nothing was sent.
        CONFLICT: the configuration no longer has the version that the patch is based on.
        UNKNOWN: the command may or may not have taken effect.
        UNREACHABLE: no gate responded; the command had no effect.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
