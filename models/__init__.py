"""Models of the core protocols, which minicheck searches for violated invariants."""
