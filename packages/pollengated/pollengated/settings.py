"""Settings of one process; the model stands in `pollengate_settings`."""

from pollengate_settings import Settings, SettingsFault, read_settings

__all__ = ["Settings", "SettingsFault", "read_settings"]
