"""Core library of a scheduler for latency-critical services and batch tasks."""
