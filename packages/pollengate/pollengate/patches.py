"""Patches: merge patches against a numbered version of the configuration."""

from typing import Any

__all__ = ["merge_patch"]


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
