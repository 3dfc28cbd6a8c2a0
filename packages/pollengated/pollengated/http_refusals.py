"""Complete HTTP responses to requests that the server refuses by itself."""

import http
import json
import math
from collections.abc import Callable

from pollengate.refusals import Refusal

from pollengated.problems import PROBLEM_MEDIA_TYPE, STATUS_BY_REASON, problem_document

__all__ = ["RefusalEncoder", "encode_problem", "encode_response"]

RefusalEncoder = Callable[[Refusal], bytes]
"""Returns the bytes of a complete response."""

_PHRASE_BY_STATUS = {422: "Unprocessable Content"}


def encode_problem(refusal: Refusal) -> bytes:
    """Returns a response with a problem document, after which the connection closes."""
    body = json.dumps(problem_document(refusal)).encode()
    return encode_response(STATUS_BY_REASON[refusal.reason], PROBLEM_MEDIA_TYPE, body, refusal)


def encode_response(status: int, media_type: str, body: bytes, refusal: Refusal) -> bytes:
    """Returns a complete response, after which the connection closes."""
    phrase = _PHRASE_BY_STATUS.get(status) or http.HTTPStatus(status).phrase
    retry_after = ""
    if refusal.retry_after_s is not None:
        retry_after = f"retry-after: {max(1, math.ceil(refusal.retry_after_s))}\r\n"
    head = (
        f"HTTP/1.1 {status} {phrase}\r\n"
        f"content-type: {media_type}\r\n"
        f"content-length: {len(body)}\r\n"
        f"{retry_after}"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
