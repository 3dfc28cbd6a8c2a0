"""Log of the gRPC calls that a scheduler serves."""

from pollengated.logs import Log

__all__ = ["CallLog"]

_READ_METHODS = frozenset({"Show", "List", "Status"})


class CallLog:
    """Writes one line per call; read-only calls are logged at level "debug"."""

    def __init__(self, part: str) -> None:
        self._log = Log(part)

    def write(self, method_name: str) -> None:
        """Logs a call.

        Args:
            method_name: full gRPC name, `/package.Service/Method`.
        """
        method = method_name.rpartition("/")[2]
        write = self._log.debug if method in _READ_METHODS else self._log.info
        write("call received", method=method)
