"""How far clocks may drift apart."""

__all__ = ["MAX_CLOCK_DRIFT"]

# Largest difference between the rates of two clocks, as a fraction; a worker's may be 2 % slow.
MAX_CLOCK_DRIFT = 0.02
