"""Coordination parts of a scheduler for latency-critical and batch work."""
