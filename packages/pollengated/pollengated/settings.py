"""Settings of one process, read from a TOML file."""

import dataclasses
import tomllib
from pathlib import Path
from typing import Literal

import pydantic
from result import Err, Ok, Result

__all__ = ["Settings", "SettingsFault", "read_settings"]

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    Attributes:
        process_id: unique, never used again.
        zone: the availability zone that the process runs in.
        http_address: `ip:port` for callers and operators.
        rpc_address: `ip:port` for the system's other processes and workers.
        store_address: `ip:port` of the platform's store.
        vm_list_address: `ip:port` of the platform's VM list.
        max_body_bytes: largest request body.
        log_format: `text` or `json`.
        log_level: lowest level that is written.
    """

    process_id: str
    zone: str
    http_address: str
    rpc_address: str
    store_address: str
    vm_list_address: str
    max_body_bytes: int
    log_format: str
    log_level: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault in a settings file."""

    key: str
    detail: str


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class _Process(_Model):
    id: str = pydantic.Field(pattern=NAME_PATTERN)
    zone: str = pydantic.Field(pattern=NAME_PATTERN)


class _Listen(_Model):
    http: str = pydantic.Field(pattern=ADDRESS_PATTERN)
    rpc: str = pydantic.Field(pattern=ADDRESS_PATTERN)


class _Platform(_Model):
    store: str = pydantic.Field(pattern=ADDRESS_PATTERN)
    vm_list: str = pydantic.Field(pattern=ADDRESS_PATTERN)


class _Requests(_Model):
    max_body_bytes: int = pydantic.Field(default=10_000_000, ge=1)


class _Logging(_Model):
    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class _SettingsModel(_Model):
    process: _Process
    listen: _Listen
    platform: _Platform
    requests: _Requests = _Requests()
    logging: _Logging = _Logging()


def read_settings(path: Path) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Reads and checks a settings file; names every fault at once."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        return Err((SettingsFault("", str(error)),))
    try:
        model = _SettingsModel.model_validate(document)
    except pydantic.ValidationError as error:
        return Err(tuple(_fault(entry["loc"], entry["msg"]) for entry in error.errors()))
    return Ok(_settings(model))


def _fault(location: tuple[int | str, ...], message: str) -> SettingsFault:
    return SettingsFault(".".join(str(part) for part in location), message)


def _settings(model: _SettingsModel) -> Settings:
    return Settings(
        process_id=model.process.id,
        zone=model.process.zone,
        http_address=model.listen.http,
        rpc_address=model.listen.rpc,
        store_address=model.platform.store,
        vm_list_address=model.platform.vm_list,
        max_body_bytes=model.requests.max_body_bytes,
        log_format=model.logging.format,
        log_level=model.logging.level,
    )
