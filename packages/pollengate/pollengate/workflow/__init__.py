"""Jobs of steps on workers that run tasks under leases: the decisions, without network."""
