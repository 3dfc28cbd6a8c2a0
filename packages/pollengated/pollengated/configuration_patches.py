"""Patches of the configuration, accepted by a conditional write to the store."""

import asyncio
from typing import Any

from pollengate.configuration import CONFIGURATION_KEY
from pollengate.patches import merge_patch
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.store import Entry, FailureKind, Put, Store, StoreFailure, Unchanged
from result import Err, Ok, Result

from pollengated.config_model import encode_document, validate_document
from pollengated.configuration_follower import ConfigurationFollower

__all__ = ["ConfigurationPatcher"]

STORE_RETRY_AFTER_S = 2.0


class ConfigurationPatcher:
    """Accepts patches against a numbered version."""

    def __init__(self, store: Store, follower: ConfigurationFollower) -> None:
        self._store = store
        self._follower = follower
        self._lock = asyncio.Lock()

    async def patch(self, expected_version: int, patch: dict[str, Any]) -> Result[int, Refusal]:
        """Applies a merge patch to version `expected_version`.

        Returns:
            The new version, or a refusal whose outcome says whether it took effect.
        """
        async with self._lock:
            if not await self._follower.refresh():
                return Err(_store_refusal(Outcome.NOT_RUN))
            return await self._commit(expected_version, patch)

    async def _commit(self, expected_version: int, patch: dict[str, Any]) -> Result[int, Refusal]:
        follower = self._follower
        current = follower.current.version
        if expected_version != current:
            return Err(_version_refusal(expected_version, current))
        validated = validate_document(merge_patch(follower.document, patch))
        if isinstance(validated, Err):
            return validated
        value = encode_document(current + 1, validated.ok_value)
        condition = Unchanged(CONFIGURATION_KEY, follower.revision)
        result = await self._store.commit((condition,), (Put(CONFIGURATION_KEY, value),))
        if isinstance(result, Err):
            return Err(_failure_refusal(result.err_value))
        commit = result.ok_value
        if not commit.succeeded:
            for entry in commit.current:
                follower.take(entry)
            return Err(_version_refusal(expected_version, follower.current.version))
        follower.take(Entry(CONFIGURATION_KEY, value, commit.revision, commit.revision))
        return Ok(current + 1)


def _store_refusal(outcome: Outcome) -> Refusal:
    detail = "the platform's store did not answer"
    return Refusal(outcome, Reason.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER_S)


def _failure_refusal(failure: StoreFailure) -> Refusal:
    is_unknown = failure.kind is FailureKind.UNKNOWN
    return _store_refusal(Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN)


def _version_refusal(expected: int, current: int) -> Refusal:
    detail = f"the patch is against version {expected}, the current version is {current}"
    return Refusal(Outcome.NOT_RUN, Reason.VERSION_CONFLICT, detail)
