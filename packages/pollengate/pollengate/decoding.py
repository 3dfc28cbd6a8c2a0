"""Decodes JSON documents of other writers; every failure is an error value."""

from typing import Annotated, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = ["MAX_NUMBER", "Amount", "DocumentDecoder", "Quantity", "shorten"]

# Larger whole numbers are not exact in JSON, and a float of them may overflow.
MAX_NUMBER = 2**53 - 1
# Amounts, counts, revisions and milliseconds of a clock.
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Numbers with a fraction or a sign.
Quantity = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# Causes contain parts of the document; a log line has to stay short.
MAX_CAUSE_CHARACTERS = 200

_T = TypeVar("_T")


class DocumentDecoder(Generic[_T]):
    """Decodes documents of one type.

    Args:
        expected: the type, for example a msgspec model.
        max_bytes: size above which a document is invalid, None for no limit.
    """

    def __init__(self, expected: type[_T], max_bytes: int | None = None) -> None:
        self._decoder = msgspec.json.Decoder(expected)
        self._max_bytes = max_bytes

    def decode(self, document: bytes) -> Result[_T, str]:
        """Decodes a document; the error says why it is invalid."""
        if self._max_bytes is not None and len(document) > self._max_bytes:
            return Err(f"the document has {len(document)} bytes; the limit is {self._max_bytes}")
        try:
            return Ok(self._decoder.decode(document))
        except RecursionError:
            return Err("the document is nested too deeply")
        except (msgspec.MsgspecError, ValueError, ArithmeticError) as error:
            return Err(shorten(str(error)))


def shorten(text: str) -> str:
    """Returns a text that is short enough for a log line."""
    if len(text) <= MAX_CAUSE_CHARACTERS:
        return text
    return f"{text[:MAX_CAUSE_CHARACTERS]}..."
