"""Structured logs: each record has the part that wrote it, a message and named fields."""

import json
import logging
import math
import re
import sys
from typing import TYPE_CHECKING, Any

import logbook
from logbook.compat import RedirectLoggingHandler
from pollengate_net.request_ids import current_request_id

if TYPE_CHECKING:
    # The edge role logs without settings of its own, and does not load their model.
    from pollengated.settings import Settings

__all__ = ["Log", "format_json", "format_text", "configure_logging"]

_PLAIN_VALUE = re.compile(r"[^\s\"=\x00-\x1f\x7f]+")


class Log:
    """Logger of one part of the process; adds the current request id to each record."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, message: str, **fields: object) -> None:
        """Logs a detail that helps to follow a single request."""
        self._logger.debug(message, extra=_with_request_id(fields))

    def info(self, message: str, **fields: object) -> None:
        """Logs a normal event."""
        self._logger.info(message, extra=_with_request_id(fields))

    def warning(self, message: str, **fields: object) -> None:
        """Logs a condition that an operator may have to look into."""
        self._logger.warning(message, extra=_with_request_id(fields))

    def error(self, message: str, error: BaseException, **fields: object) -> None:
        """Logs an unexpected exception with its traceback."""
        exc_info = (type(error), error, error.__traceback__)
        self._logger.error(message, exc_info=exc_info, extra=_with_request_id(fields))


def configure_logging(settings: "Settings") -> None:
    """Writes the logs of all parts to standard error in the configured format and level.

    Warnings that libraries log through the standard `logging` module go there, too.
    """
    handler = logbook.StreamHandler(sys.stderr, level=settings.log_level.upper())
    handler.formatter = format_json if settings.log_format == "json" else format_text
    handler.push_application()
    logging.basicConfig(handlers=[RedirectLoggingHandler()], level=logging.WARNING, force=True)


def format_text(record: Any, _handler: object) -> str:
    """Formats a record as one line with `key=value` fields; a traceback follows on more lines."""
    fields = "".join(f" {key}={_text_value(value)}" for key, value in record.extra.items())
    level = record.level_name.lower()
    line = f"{record.time.isoformat()}Z {level} {record.channel}: {_one_line(record.message)}"
    trace = record.formatted_exception
    return line + fields + (f"\n{trace}" if trace else "")


def format_json(record: Any, _handler: object) -> str:
    """Formats a record as one JSON object on one line."""
    document = {
        **{name: _json_value(value) for name, value in record.extra.items()},
        "time": f"{record.time.isoformat()}Z",
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    if record.formatted_exception:
        document["traceback"] = record.formatted_exception
    return json.dumps(document, default=str)


def _with_request_id(fields: dict[str, object]) -> dict[str, object]:
    request_id = current_request_id()
    return fields | {"request_id": request_id} if request_id else fields


def _json_value(value: object) -> object:
    # JSON has no infinity, which stands for the age of something that was never read.
    return None if isinstance(value, float) and not math.isfinite(value) else value


def _text_value(value: object) -> str:
    text = str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def _one_line(text: str) -> str:
    return text.replace("\r", " ").replace("\n", " ")
