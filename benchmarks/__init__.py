"""Benchmarks; the design notes and the capacity page quote their results."""
