"""Measures the slopes behind docs/CAPACITY.md."""
