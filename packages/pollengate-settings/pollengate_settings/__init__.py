"""Settings of one process: data model, reader and fault reports.

This is a package of its own because both the daemon and the command line check settings files,
and the command line must not import the daemon.
"""

from pollengate_settings.faults import SettingsFault
from pollengate_settings.model import Settings
from pollengate_settings.reader import read_settings

__all__ = ["Settings", "SettingsFault", "read_settings"]
