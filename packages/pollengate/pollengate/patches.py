"""JSON merge patches of the configuration, and the records of accepted ones."""

import dataclasses
import hashlib
import json
from typing import Any

from pollengate.peer_leases import PeerLeaseGrantor

__all__ = [
    "AcceptedPatch",
    "HISTORY_PREFIX",
    "MAX_HISTORY_VERSIONS",
    "OutstandingPatches",
    "PATCH_RETENTION_S",
    "accepted_patch_key",
    "decode_accepted",
    "encode_accepted",
    "fingerprint",
    "history_key",
    "merge_patch",
]

HISTORY_PREFIX = "/pollengate/history/"
MAX_HISTORY_VERSIONS = 200
MAX_HISTORY_PATCH_BYTES = 2_000
ACCEPTED_PREFIX = "/pollengate/accepted-patches/"
PATCH_RETENTION_S = 86_400
# A gate's grant only says that no patch was accepted so far; no process waits until it expires.
GRANT_DURATION_S = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedPatch:
    """The record of an accepted patch.

    Attributes:
        version: configuration version that the patch created.
        key: idempotency key of the patch.
        process_id: the gate that accepted the patch.
        fingerprint: hash of the patch and of the version that it applies to.
        patch: the merge patch, None if it exceeds `MAX_HISTORY_PATCH_BYTES`.
    """

    version: int
    key: str
    process_id: str
    fingerprint: str
    patch: dict[str, Any] | None


def merge_patch(target: Any, patch: Any) -> Any:
    """Returns `target` with an RFC 7396 merge patch applied; the arguments are not modified."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def fingerprint(expected_version: int, patch: dict[str, Any]) -> str:
    """Returns a hash of a patch and of the version that it applies to."""
    canonical = json.dumps([expected_version, patch], sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def history_key(version: int) -> str:
    """Returns the store key of a version's history entry; the keys sort by version."""
    return f"{HISTORY_PREFIX}{version:012d}"


def accepted_patch_key(idempotency_key: str) -> str:
    """Returns the store key that records the acceptance of a patch."""
    return f"{ACCEPTED_PREFIX}{idempotency_key}"


def encode_accepted(accepted: AcceptedPatch) -> bytes:
    """Encodes a record; a patch longer than `MAX_HISTORY_PATCH_BYTES` is left out."""
    fields = dataclasses.asdict(accepted)
    if len(json.dumps(accepted.patch)) > MAX_HISTORY_PATCH_BYTES:
        fields["patch"] = None
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_accepted(stored: bytes) -> AcceptedPatch:
    """Decodes a stored record."""
    return AcceptedPatch(**json.loads(stored))


class OutstandingPatches:
    """Patches that this gate has sent to the store and whose outcome is not known yet."""

    def __init__(self) -> None:
        self._grantor = PeerLeaseGrantor(GRANT_DURATION_S)
        self._zones_in_service_by_key: dict[str, frozenset[str]] = {}

    def begin(self, key: str, zones_in_service: frozenset[str]) -> None:
        """Records a patch that is about to be written.

        Args:
            key: idempotency key of the patch.
            zones_in_service: zones that are in service once the patch has taken effect.
        """
        self._zones_in_service_by_key[key] = zones_in_service

    def mark_resolved(self, key: str) -> None:
        """Records that the outcome of a patch is known and final."""
        self._zones_in_service_by_key.pop(key, None)

    def is_outstanding(self, key: str) -> bool:
        """Whether the outcome of a patch is unknown."""
        return key in self._zones_in_service_by_key

    def fence(self, created_revision: int, now: float) -> None:
        """Refuses grants to schedulers whose member list is older than the given revision.

        Args:
            created_revision: store revision at which the new gate was registered.
            now: loop time, in seconds.
        """
        self._grantor.fence(created_revision, now)

    def grant(self, zone: str, basis: int, now: float) -> bool:
        """Grants the use of the present configuration in a zone; returns False if refused.

        Refuses requesters that were fenced, and zones that an outstanding patch may have taken
        out of service.

        Args:
            zone: the zone in which the requester starts tasks.
            basis: store revision of the member list that the requester relies on.
            now: loop time, in seconds.
        """
        if any(zone not in zones for zones in self._zones_in_service_by_key.values()):
            return False
        return self._grantor.grant(basis, now)
