"""Models of the protocols."""
