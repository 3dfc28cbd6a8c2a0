"""Stand-ins for the platform, for tests and local runs only."""
