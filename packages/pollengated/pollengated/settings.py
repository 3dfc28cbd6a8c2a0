"""Settings of a process; re-exports those of `pollengate_settings` that the daemon uses."""

from pollengate_settings import Settings, SettingsFault, read_settings

__all__ = ["Settings", "SettingsFault", "read_settings"]
