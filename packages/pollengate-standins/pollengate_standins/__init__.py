"""Stand-ins for the platform, used by tests and local runs only."""
