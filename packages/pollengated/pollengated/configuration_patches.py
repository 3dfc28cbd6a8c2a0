"""Applies configuration patches, each by a conditional write to the store."""

import asyncio
import dataclasses
import re
from typing import Any

from pollengate.configuration import CONFIGURATION_KEY
from pollengate.patches import (
    HISTORY_PREFIX,
    MAX_HISTORY_VERSIONS,
    AcceptedPatch,
    OutstandingPatches,
    accepted_patch_key,
    decode_accepted,
    encode_accepted,
    fingerprint,
    history_key,
    merge_patch,
)
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.store import (
    CommitResult,
    Delete,
    Entry,
    FailureKind,
    Operation,
    Put,
    Store,
    Unchanged,
)
from result import Err, Ok, Result

from pollengated.config_model import encode_document, validate_document
from pollengated.configuration_cache import ConfigurationCache
from pollengated.gate_admission import GateAdmission
from pollengated.logs import Log
from pollengated.member_registry import MemberRegistry
from pollengated.retention_lease import RetentionLease

__all__ = ["ConfigurationPatcher", "PatchRequest"]

STORE_RETRY_AFTER_S = 2.0
ADMISSION_RETRY_AFTER_S = 1.0
RESOLVE_ATTEMPTS = 3
RESOLVE_INTERVAL_S = 0.5
BACKGROUND_RESOLVE_INTERVAL_S = 2.0
MAX_DOCUMENT_BYTES = 900_000
KEY_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}")


@dataclasses.dataclass(frozen=True, slots=True)
class PatchRequest:
    """A patch as sent by an operator.

    Attributes:
        key: idempotency key; if empty, the gate generates one.
        expected_version: configuration version that the patch is based on.
        patch: JSON merge patch (RFC 7396).
    """

    key: str
    expected_version: int
    patch: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A validated patch and the store transaction that accepts it."""

    accepted: AcceptedPatch
    document: bytes
    zones_in_service: frozenset[str]
    conditions: tuple[Unchanged, ...]
    operations: tuple[Operation, ...]


class ConfigurationPatcher:
    """Applies patches to the version that they are based on; each key takes effect at most once."""

    def __init__(
        self,
        store: Store,
        configuration_cache: ConfigurationCache,
        registry: MemberRegistry,
        admission: GateAdmission,
        outstanding: OutstandingPatches,
    ) -> None:
        self._store = store
        self._configuration_cache = configuration_cache
        self._registry = registry
        self._admission = admission
        self._outstanding = outstanding
        self._retention = RetentionLease(store)
        self._lock = asyncio.Lock()
        self._generated_key_count = 0
        self._resolve_tasks: set[asyncio.Task[None]] = set()
        self._log = Log("patches")

    async def patch(self, request: PatchRequest) -> Result[AcceptedPatch, Refusal]:
        """Applies a merge patch if the version that it is based on is the current one.

        Returns:
            The accepted patch (for a repeated key, the one accepted first), or a refusal whose
            outcome says whether the patch took effect.
        """
        if request.key and not KEY_PATTERN.fullmatch(request.key):
            return Err(
                _invalid_refusal(
                    "Idempotency-Key must be 1 to 128 letters, digits, '_', '.', ':' and '-', "
                    "starting with a letter or digit"
                )
            )
        if not request.key:
            self._generated_key_count += 1
            generated = f"{self._registry.member.process_id}.{self._generated_key_count}"
            request = dataclasses.replace(request, key=generated)
        async with self._lock:
            return await self._patch(request)

    async def find(self, key: str) -> Result[AcceptedPatch | None, Refusal]:
        """Looks up an accepted patch by its idempotency key.

        Returns:
            The accepted patch, or None if there is none. A refusal with outcome "unknown" if the
            store does not reply or if this gate does not know the outcome of its own write.
        """
        if not KEY_PATTERN.fullmatch(key):
            return Ok(None)
        result = await self._store.get(accepted_patch_key(key))
        if isinstance(result, Err):
            return Err(_store_refusal(Outcome.UNKNOWN))
        if result.ok_value is not None:
            return Ok(decode_accepted(result.ok_value.value))
        if self._outstanding.is_outstanding(key):
            return Err(_unknown_refusal(key))
        return Ok(None)

    async def history(self) -> Result[list[AcceptedPatch], Refusal]:
        """Returns the most recently accepted patches, newest first."""
        result = await self._store.list(HISTORY_PREFIX)
        if isinstance(result, Err):
            return Err(_store_refusal(Outcome.NOT_RUN))
        return Ok([decode_accepted(entry.value) for entry in reversed(result.ok_value.entries)])

    async def _patch(self, request: PatchRequest) -> Result[AcceptedPatch, Refusal]:
        if not self._admission.is_admitted(asyncio.get_running_loop().time()):
            return Err(_not_admitted_refusal())
        if not await self._configuration_cache.refresh():
            return Err(_store_refusal(Outcome.NOT_RUN))
        known = await self.find(request.key)
        if isinstance(known, Err):
            return known
        if known.ok_value is not None:
            return _repeat_result(request, known.ok_value)
        candidate = await self._prepare(request)
        if isinstance(candidate, Err):
            return candidate
        return await self._write(request, candidate.ok_value)

    async def _prepare(self, request: PatchRequest) -> Result[_Candidate, Refusal]:
        lease_id = await self._retention.get()
        if lease_id == 0:
            return Err(_store_refusal(Outcome.NOT_RUN))
        configuration_cache = self._configuration_cache
        current = configuration_cache.current.version
        if request.expected_version != current:
            return Err(_version_refusal(request.expected_version, current))
        validated = validate_document(merge_patch(configuration_cache.document, request.patch))
        if isinstance(validated, Err):
            return validated
        document = encode_document(current + 1, validated.ok_value)
        if len(document) > MAX_DOCUMENT_BYTES:
            return Err(
                _invalid_refusal(f"the configuration would exceed {MAX_DOCUMENT_BYTES} bytes")
            )
        accepted = AcceptedPatch(
            version=current + 1,
            key=request.key,
            process_id=self._registry.member.process_id,
            fingerprint=fingerprint(request.expected_version, request.patch),
            patch=request.patch,
        )
        record = encode_accepted(accepted)
        conditions = (
            Unchanged(CONFIGURATION_KEY, configuration_cache.revision),
            Unchanged(accepted_patch_key(request.key), 0),
            self._registry.registration_condition,
        )
        operations = (
            Put(CONFIGURATION_KEY, document),
            Put(accepted_patch_key(request.key), record, lease_id),
            Put(history_key(accepted.version), record),
            Delete(history_key(accepted.version - MAX_HISTORY_VERSIONS)),
        )
        zones = validated.ok_value["zones"].items()
        in_service = frozenset(name for name, zone in zones if zone["in_service"])
        return Ok(_Candidate(accepted, document, in_service, conditions, operations))

    async def _write(
        self, request: PatchRequest, candidate: _Candidate
    ) -> Result[AcceptedPatch, Refusal]:
        self._outstanding.begin(request.key, candidate.zones_in_service)
        result = await self._store.commit(candidate.conditions, candidate.operations)
        if isinstance(result, Err) and result.err_value.kind is FailureKind.UNKNOWN:
            return await self._resolve(request, candidate)
        if isinstance(result, Err):
            self._retention.invalidate()
            self._outstanding.mark_resolved(request.key)
            return Err(_store_refusal(Outcome.NOT_RUN))
        if result.ok_value.succeeded:
            revision = result.ok_value.revision
            self._configuration_cache.apply_entry(
                Entry(CONFIGURATION_KEY, candidate.document, revision, revision)
            )
            self._outstanding.mark_resolved(request.key)
            return Ok(candidate.accepted)
        self._outstanding.mark_resolved(request.key)
        return await self._handle_conflict(request, candidate, result.ok_value)

    async def _handle_conflict(
        self, request: PatchRequest, candidate: _Candidate, commit: CommitResult
    ) -> Result[AcceptedPatch, Refusal]:
        for entry in commit.current:
            if entry.key == accepted_patch_key(request.key):
                return _repeat_result(request, decode_accepted(entry.value))
            self._configuration_cache.apply_entry(entry)
        if self._configuration_cache.revision != candidate.conditions[0].revision:
            return Err(
                _version_refusal(
                    request.expected_version, self._configuration_cache.current.version
                )
            )
        await self._registry.renew()
        return Err(_not_admitted_refusal())

    async def _resolve(
        self, request: PatchRequest, candidate: _Candidate
    ) -> Result[AcceptedPatch, Refusal]:
        for _ in range(RESOLVE_ATTEMPTS):
            resolved = await self._resolve_once(request, candidate)
            if resolved is not None:
                return resolved
            await asyncio.sleep(RESOLVE_INTERVAL_S)
        task = asyncio.create_task(self._resolve_later(request, candidate))
        self._resolve_tasks.add(task)
        task.add_done_callback(self._resolve_tasks.discard)
        return Err(_unknown_refusal(request.key))

    async def _resolve_later(self, request: PatchRequest, candidate: _Candidate) -> None:
        resolved = None
        while resolved is None:
            await asyncio.sleep(BACKGROUND_RESOLVE_INTERVAL_S)
            resolved = await self._resolve_once(request, candidate)

    async def _resolve_once(
        self, request: PatchRequest, candidate: _Candidate
    ) -> Result[AcceptedPatch, Refusal] | None:
        """Finds out whether a write without a reply from the store has taken effect.

        Rewriting this gate's registration first makes the condition of the write fail from then
        on, so the outcome that is read can no longer change.

        Returns:
            The outcome, or None if it is still unknown because the store did not reply.
        """
        await self._registry.rewrite()
        if self._registry.registration_condition in candidate.conditions:
            return None
        result = await self._store.get(accepted_patch_key(request.key))
        if isinstance(result, Err) or not await self._configuration_cache.refresh():
            return None
        self._outstanding.mark_resolved(request.key)
        if result.ok_value is None:
            return Err(_store_refusal(Outcome.NOT_RUN))
        return _repeat_result(request, decode_accepted(result.ok_value.value))


def _repeat_result(
    request: PatchRequest, accepted: AcceptedPatch
) -> Result[AcceptedPatch, Refusal]:
    if accepted.fingerprint == fingerprint(request.expected_version, request.patch):
        return Ok(accepted)
    detail = f"Idempotency-Key {request.key!r} was used for another patch"
    return Err(Refusal(Outcome.NOT_RUN, Reason.IDEMPOTENCY_CONFLICT, detail))


def _invalid_refusal(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail)


def _not_admitted_refusal() -> Refusal:
    detail = "this gate is not admitted yet; retry, or send the patch to another gate"
    return Refusal(Outcome.NOT_RUN, Reason.NOT_ADMITTED, detail, ADMISSION_RETRY_AFTER_S)


def _store_refusal(outcome: Outcome) -> Refusal:
    detail = "the configuration store did not reply"
    return Refusal(outcome, Reason.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER_S)


def _unknown_refusal(key: str) -> Refusal:
    detail = f"the store did not confirm the patch; see /config/patches/{key} for the outcome"
    return Refusal(Outcome.UNKNOWN, Reason.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER_S)


def _version_refusal(expected: int, current: int) -> Refusal:
    detail = f"the patch is based on version {expected}, but the current version is {current}"
    return Refusal(Outcome.NOT_RUN, Reason.VERSION_CONFLICT, detail)
