"""Scheduling of multi-step jobs on workers that run tasks under leases; no network access."""
