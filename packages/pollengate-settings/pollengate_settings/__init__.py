"""Settings of one process: their model, their reader and their faults.

The daemon and the command line both check settings files, and the command line may not import
the daemon, so that the model stands in a package of its own.
"""

from pollengate_settings.faults import SettingsFault
from pollengate_settings.model import Settings
from pollengate_settings.reader import read_settings

__all__ = ["Settings", "SettingsFault", "read_settings"]
