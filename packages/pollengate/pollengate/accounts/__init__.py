"""Client accounts: keys, limits and the order among their jobs; no network access."""
