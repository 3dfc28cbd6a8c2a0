"""Client accounts: limits of what their tasks use on the workers of all shards."""
