"""Benchmarks; each module says how it is run."""
