"""Validation model of a settings file, and the data class that it is converted to."""

import dataclasses
import ipaddress
from typing import Annotated, Literal

import pydantic

__all__ = ["Settings", "SettingsModel"]

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
MAX_PORT = 65_535

NAME_RULE = "1 to 63 characters from a-z, 0-9 and '-', starting with a letter or digit"
ADDRESS_RULE = f"an IPv4 address and a port from 1 to {MAX_PORT}, such as 10.0.0.1:8080"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    Attributes:
        process_id: unique id, never reused.
        zone: availability zone in which the process runs.
        http_address: `ip:port` at which the process serves callers and operators.
        rpc_address: `ip:port` at which it serves other processes and workers.
        store_address: `ip:port` of the platform's store.
        vm_list_address: `ip:port` of the platform's VM list.
        max_body_bytes: maximum size of a request body.
        head_timeout_s: seconds within which a request's line and headers must arrive.
        body_timeout_s: seconds within which a request's body must arrive.
        answer_timeout_s: seconds without progress after which the sending of a response is aborted.
        stop_delay_s: seconds for which a gate that shuts down reports "not ready" but still accepts
            new requests.
        log_format: `text` or `json`.
        log_level: lowest level that is logged.
    """

    process_id: str
    zone: str
    http_address: str
    rpc_address: str
    store_address: str
    vm_list_address: str
    max_body_bytes: int = 10_000_000
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    answer_timeout_s: float = 30.0
    stop_delay_s: float = 3.0
    log_format: str = "text"
    log_level: str = "info"


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError("not an IPv4 address with a port")
    ipaddress.IPv4Address(host)
    return value


Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN, description=NAME_RULE)]
Address = Annotated[
    str, pydantic.AfterValidator(_check_address), pydantic.Field(description=ADDRESS_RULE)
]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class ProcessSection(_Section):
    """Identity and zone of the process."""

    id: Name
    zone: Name


class ListenSection(_Section):
    """Addresses at which the process listens."""

    http: Address
    rpc: Address


class PlatformSection(_Section):
    """Addresses of the platform's store and VM list."""

    store: Address
    vm_list: Address


class RequestsSection(_Section):
    """Limits on the requests of callers."""

    max_body_bytes: int = pydantic.Field(
        default=10_000_000, ge=1, le=1_000_000_000, description="an integer from 1 to 1000000000"
    )
    head_timeout_s: float = pydantic.Field(
        default=10.0, gt=0, le=600, description="a number of seconds above 0 and up to 600"
    )
    body_timeout_s: float = pydantic.Field(
        default=30.0, gt=0, le=3600, description="a number of seconds above 0 and up to 3600"
    )
    answer_timeout_s: float = pydantic.Field(
        default=30.0, gt=0, le=3600, description="a number of seconds above 0 and up to 3600"
    )
    stop_delay_s: float = pydantic.Field(
        default=3.0, ge=0, le=600, description="a number of seconds from 0 to 600"
    )


class LoggingSection(_Section):
    """Format and level of the log."""

    format: Literal["text", "json"] = pydantic.Field(default="text", description='"text" or "json"')
    level: Literal["debug", "info", "warning", "error"] = pydantic.Field(
        default="info", description='"debug", "info", "warning" or "error"'
    )


class SettingsModel(_Section):
    """A complete settings file."""

    process: ProcessSection = pydantic.Field(description="a table [process] with id and zone")
    listen: ListenSection = pydantic.Field(description="a table [listen] with http and rpc")
    platform: PlatformSection = pydantic.Field(
        description="a table [platform] with store and vm_list"
    )
    requests: RequestsSection = pydantic.Field(
        default=RequestsSection(), description="a table [requests]"
    )
    logging: LoggingSection = pydantic.Field(
        default=LoggingSection(), description="a table [logging]"
    )

    def to_settings(self) -> Settings:
        """Converts the validated file to the data class."""
        return Settings(
            process_id=self.process.id,
            zone=self.process.zone,
            http_address=self.listen.http,
            rpc_address=self.listen.rpc,
            store_address=self.platform.store,
            vm_list_address=self.platform.vm_list,
            max_body_bytes=self.requests.max_body_bytes,
            head_timeout_s=self.requests.head_timeout_s,
            body_timeout_s=self.requests.body_timeout_s,
            answer_timeout_s=self.requests.answer_timeout_s,
            stop_delay_s=self.requests.stop_delay_s,
            log_format=self.logging.format,
            log_level=self.logging.level,
        )
