"""Bound on clock drift."""

__all__ = ["MAX_CLOCK_DRIFT_RATIO"]

# Maximum relative difference between the rates of two clocks: a worker's clock may be 2 % slow.
MAX_CLOCK_DRIFT_RATIO = 0.02
