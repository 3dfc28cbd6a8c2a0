"""Patches: merge patches against a numbered version of the configuration."""

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
# A gate's promise says only that nothing was accepted yet; nothing waits for it to lapse.
PEER_LEASE_S = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedPatch:
    """The record of an accepted patch.

    Attributes:
        version: the version that it made.
        key: its idempotency key.
        process_id: the gate that accepted it.
        fingerprint: of the patch and the version that it was made against.
        patch: the merge patch, None if it is too long to keep.
    """

    version: int
    key: str
    process_id: str
    fingerprint: str
    patch: dict[str, Any] | None


def merge_patch(target: Any, patch: Any) -> Any:
    """Applies an RFC 7396 merge patch and returns the result; arguments stay unchanged."""
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
    """Identifies a patch and the version that it is made against."""
    canonical = json.dumps([expected_version, patch], sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def history_key(version: int) -> str:
    """Returns the store key of a version's history; keys sort by version."""
    return f"{HISTORY_PREFIX}{version:012d}"


def accepted_patch_key(idempotency_key: str) -> str:
    """Returns the store key that records the acceptance of a patch."""
    return f"{ACCEPTED_PREFIX}{idempotency_key}"


def encode_accepted(accepted: AcceptedPatch) -> bytes:
    """Encodes a record for the store; a long patch is left out."""
    fields = dataclasses.asdict(accepted)
    if len(json.dumps(accepted.patch)) > MAX_HISTORY_PATCH_BYTES:
        fields["patch"] = None
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_accepted(stored: bytes) -> AcceptedPatch:
    """Decodes a stored record."""
    return AcceptedPatch(**json.loads(stored))


class OutstandingPatches:
    """The patches of one gate that may have taken effect without its knowing."""

    def __init__(self) -> None:
        self._grantor = PeerLeaseGrantor(PEER_LEASE_S)
        self._zones_in_service_by_key: dict[str, frozenset[str]] = {}

    def begin(self, key: str, zones_in_service: frozenset[str]) -> None:
        """Records a patch that is about to be written.

        Args:
            key: its idempotency key.
            zones_in_service: the zones in service once it has taken effect.
        """
        self._zones_in_service_by_key[key] = zones_in_service

    def settle(self, key: str) -> None:
        """Records that the outcome of a patch is known and will not change."""
        self._zones_in_service_by_key.pop(key, None)

    def is_outstanding(self, key: str) -> bool:
        """Tells whether the outcome of a patch is unknown."""
        return key in self._zones_in_service_by_key

    def admit(self, created_revision: int, now: float) -> None:
        """Promises nothing more to schedulers that can't know a gate registered later."""
        self._grantor.fence(created_revision, now)

    def grant(self, zone: str, basis: int, now: float) -> bool:
        """Tells whether no unknown patch may have taken a zone out of service.

        Args:
            zone: the zone that the asker starts tasks in.
            basis: store revision of the member list that the asker relies on.
            now: loop time.
        """
        if any(zone not in zones for zones in self._zones_in_service_by_key.values()):
            return False
        return self._grantor.grant(basis, now)
