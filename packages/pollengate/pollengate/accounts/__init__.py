"""Client accounts: keys, limits and order; no network access."""
