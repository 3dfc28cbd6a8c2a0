"""HTTP routes for operators: the configuration and its patches."""

from typing import Any

from litestar import Request, Router, get, patch
from litestar.response import Response
from pollengate.decoding import DocumentDecoder
from pollengate.patches import AcceptedPatch
from pollengate.refusals import Outcome, Reason, Refusal
from result import Err, Ok, Result

from pollengated.config_model import ConfigurationModel
from pollengated.configuration_cache import ConfigurationCache
from pollengated.configuration_patches import ConfigurationPatcher, PatchRequest
from pollengated.metrics import Metrics
from pollengated.problems import problem_response

__all__ = ["configuration_router", "decode_merge_patch"]


def configuration_router(
    configuration_cache: ConfigurationCache, patcher: ConfigurationPatcher, metrics: Metrics
) -> Router:
    """Returns the router of `/config`."""

    @get("/")
    async def show() -> Response[Any]:
        return _current_response(configuration_cache)

    @get("/schema")
    async def schema() -> dict[str, Any]:
        return ConfigurationModel.model_json_schema()

    @patch("/")
    async def apply(request: Request[Any, Any, Any]) -> Response[Any]:
        expected = _expected_version(request.headers.get("if-match"))
        if isinstance(expected, Err):
            return problem_response(expected.err_value, metrics)
        body = decode_merge_patch(await request.body())
        if isinstance(body, Err):
            return problem_response(body.err_value, metrics)
        key = request.headers.get("idempotency-key", "")
        result = await patcher.patch(PatchRequest(key, expected.ok_value, body.ok_value))
        if isinstance(result, Err):
            return problem_response(result.err_value, metrics)
        return _accepted_response(result.ok_value)

    @get("/patches/{key:str}")
    async def find(key: str) -> Response[Any]:
        result = await patcher.find(key)
        if isinstance(result, Err):
            return problem_response(result.err_value, metrics)
        if result.ok_value is None:
            detail = f"no patch with Idempotency-Key {key!r} was accepted"
            return problem_response(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail), metrics)
        return _accepted_response(result.ok_value)

    @get("/history")
    async def history() -> Response[Any]:
        result = await patcher.history()
        if isinstance(result, Err):
            return problem_response(result.err_value, metrics)
        return Response([_patch_document(entry) for entry in result.ok_value])

    return Router("/config", route_handlers=[show, schema, apply, find, history])


def _accepted_response(accepted: AcceptedPatch) -> Response[Any]:
    headers = {"ETag": f'"{accepted.version}"'}
    return Response(_patch_document(accepted), headers=headers)


def _patch_document(accepted: AcceptedPatch) -> dict[str, Any]:
    return {
        "version": accepted.version,
        "key": accepted.key,
        "process_id": accepted.process_id,
        "patch": accepted.patch,
    }


def _current_response(configuration_cache: ConfigurationCache) -> Response[Any]:
    version = configuration_cache.current.version
    body = {"version": version, "configuration": configuration_cache.document}
    return Response(body, headers={"ETag": f'"{version}"'})


def _expected_version(header: str | None) -> Result[int, Refusal]:
    if header is None:
        detail = 'If-Match with the configuration version is required, for example If-Match: "3"'
        return Err(Refusal(Outcome.NOT_RUN, Reason.VERSION_REQUIRED, detail))
    try:
        return Ok(int(header.strip().strip('"')))
    except ValueError:
        detail = f"If-Match {header!r} is not a version number"
        return Err(Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail))


_PATCH_DECODER: DocumentDecoder[Any] = DocumentDecoder(Any)


def decode_merge_patch(body: bytes) -> Result[dict[str, Any], Refusal]:
    """Decodes the body of a patch; the error is the refusal to send."""
    decoded = _PATCH_DECODER.decode(body)
    if isinstance(decoded, Err):
        detail = f"the body is not valid JSON: {decoded.err_value}"
        return Err(Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail))
    patch_document = decoded.ok_value
    if not isinstance(patch_document, dict):
        detail = "the body must be a JSON object"
        return Err(Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail))
    return Ok(patch_document)
