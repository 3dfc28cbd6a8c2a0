"""How far clocks may drift apart."""

__all__ = ["MAX_CLOCK_DRIFT_RATIO"]

# Largest difference between the rates of two clocks, as a fraction; a worker's may be 2 % slow.
MAX_CLOCK_DRIFT_RATIO = 0.02
