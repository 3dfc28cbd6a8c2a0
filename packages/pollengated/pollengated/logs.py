"""Structured logs: a short sentence with a prefix for each part and its fields."""

import json
import sys
from typing import Any

import logbook

from pollengated.settings import Settings

__all__ = ["Log", "set_up_logs"]


class Log:
    """Writes the sentences of one part."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def info(self, sentence: str, **fields: object) -> None:
        """Writes what happened."""
        self._logger.info(sentence, extra=fields)

    def warning(self, sentence: str, **fields: object) -> None:
        """Writes what an operator may have to look at."""
        self._logger.warning(sentence, extra=fields)


def set_up_logs(settings: Settings) -> None:
    """Sends every part's log to the standard error in the configured format."""
    handler = logbook.StreamHandler(sys.stderr, level=settings.log_level.upper())
    handler.formatter = _format_json if settings.log_format == "json" else _format_text
    handler.push_application()


def _format_text(record: Any, _handler: object) -> str:
    fields = "".join(f" {key}={value}" for key, value in record.extra.items())
    return f"{record.time.isoformat()} {record.channel}: {record.message}{fields}"


def _format_json(record: Any, _handler: object) -> str:
    document = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
        **record.extra,
    }
    return json.dumps(document, default=str)
