"""Reading and validation of a settings file."""

import tomllib
from pathlib import Path

import pydantic
from result import Err, Ok, Result

from pollengate_settings.faults import SettingsFault, faults_from_validation_error
from pollengate_settings.model import Settings, SettingsModel

__all__ = ["read_settings"]


def read_settings(path: Path) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Reads and validates a settings file; returns all faults of its keys and values."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return Err((SettingsFault(path, "", "", f"the file cannot be read: {error.strerror}"),))
    except UnicodeDecodeError as error:
        return Err((SettingsFault(path, "", "", f"the file is not UTF-8: {error.reason}"),))
    except tomllib.TOMLDecodeError as error:
        return Err((SettingsFault(path, "", "", f"the file is not TOML: {error}"),))
    try:
        return Ok(SettingsModel.model_validate(document).to_settings())
    except pydantic.ValidationError as error:
        return Err(faults_from_validation_error(path, SettingsModel, error))
