"""Pydantic model of the configuration document, with its encoding in the store."""

import json
from typing import Any

import pydantic
from pollengate.configuration import Configuration, Limits, Policy, Quota, Service, Zone
from pollengate.refusals import Outcome, Reason, Refusal
from result import Err, Ok, Result

__all__ = [
    "ConfigurationModel",
    "decode_configuration",
    "empty_document",
    "encode_document",
    "validate_document",
]

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Name = pydantic.constr(pattern=NAME_PATTERN)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class ZoneModel(_Model):
    """An availability zone."""

    in_service: bool = True
    drain_grace_s: float = pydantic.Field(default=60.0, ge=0, le=86_400)
    shards: int = pydantic.Field(default=1, ge=1, le=64)


class ServiceModel(_Model):
    """A latency-critical service."""

    slots: int = pydantic.Field(default=8, ge=1, le=1024)
    connections: int = pydantic.Field(default=64, ge=1, le=65_536)
    default_timeout_ms: int = pydantic.Field(default=2000, ge=1, le=600_000)
    priority: int = pydantic.Field(default=0, ge=-100, le=100)


class QuotaModel(_Model):
    """What a team's batch tasks may use at a time."""

    cores: int = pydantic.Field(ge=0)
    memory_mb: int = pydantic.Field(ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)


class LimitsModel(_Model):
    """Policy limits."""

    max_tasks_per_job: int = pydantic.Field(default=10_000, ge=1, le=100_000)
    max_queued_tasks: int = pydantic.Field(default=100_000, ge=1, le=1_000_000)


class PolicyModel(_Model):
    """Weights and limits of placement, throttling and eviction."""

    service_classes: list[Name] = []  # type: ignore[valid-type]
    service_harm_weight: float = pydantic.Field(default=8.0, ge=0, le=1000)
    batch_harm_weight: float = pydantic.Field(default=8.0, ge=0, le=1000)
    load_weight: float = pydantic.Field(default=0.1, ge=0, le=1000)
    max_service_slowdown: float | None = pydantic.Field(default=None, ge=1, le=100)
    throttle_above: float = pydantic.Field(default=1.4, gt=1, le=100)
    release_below: float = pydantic.Field(default=1.15, ge=1, le=100)
    evict_on_harm: bool = True
    eviction_interval_s: float = pydantic.Field(default=600.0, ge=0, le=86_400)
    worker_eviction_interval_s: float = pydantic.Field(default=60.0, ge=0, le=86_400)
    evictions_per_minute: float = pydantic.Field(default=6.0, ge=0, le=10_000)

    @pydantic.model_validator(mode="after")
    def _check_thresholds(self) -> "PolicyModel":
        if self.release_below >= self.throttle_above:
            raise ValueError("release_below must be less than throttle_above")
        return self


class ConfigurationModel(_Model):
    """The operators' configuration."""

    zones: dict[Name, ZoneModel] = {}  # type: ignore[valid-type]
    services: dict[Name, ServiceModel] = {}  # type: ignore[valid-type]
    quotas: dict[Name, QuotaModel] = {}  # type: ignore[valid-type]
    limits: LimitsModel = LimitsModel()
    policy: PolicyModel = PolicyModel()


def empty_document() -> dict[str, Any]:
    """Returns the document that is in force before the first patch."""
    return ConfigurationModel().model_dump()


def validate_document(document: object) -> Result[dict[str, Any], Refusal]:
    """Validates a document and fills in defaults.

    Returns:
        The complete document, or a refusal that lists every invalid field.
    """
    try:
        return Ok(ConfigurationModel.model_validate(document).model_dump())
    except pydantic.ValidationError as error:
        fields = tuple(
            (".".join(str(part) for part in entry["loc"]), entry["msg"]) for entry in error.errors()
        )
        return Err(
            Refusal(
                Outcome.NOT_RUN,
                Reason.INVALID_REQUEST,
                "the patched configuration is invalid",
                fields=fields,
            )
        )


def encode_document(version: int, document: dict[str, Any]) -> bytes:
    """Returns a configuration version as the store holds it."""
    stored = {"version": version, "configuration": document}
    return json.dumps(stored, separators=(",", ":")).encode()


def decode_configuration(stored: bytes) -> tuple[Configuration, dict[str, Any]]:
    """Returns the configuration in a stored version, and its document with all defaults."""
    outer = json.loads(stored)
    model = ConfigurationModel.model_validate(outer["configuration"])
    configuration = Configuration(
        version=outer["version"],
        zones_by_name={n: Zone(**z.model_dump()) for n, z in model.zones.items()},
        services_by_name={n: Service(**s.model_dump()) for n, s in model.services.items()},
        quotas_by_team={n: Quota(**q.model_dump()) for n, q in model.quotas.items()},
        limits=Limits(**model.limits.model_dump()),
        policy=_policy_of(model.policy),
    )
    return configuration, model.model_dump()


def _policy_of(model: PolicyModel) -> Policy:
    fields = model.model_dump() | {"service_classes": tuple(model.service_classes)}
    return Policy(**fields)
