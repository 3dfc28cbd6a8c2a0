"""Delay between an event and the plan that it leads to."""

__all__ = ["PLAN_DELAY_S", "next_plan_delay_s"]

# Shortest delay before planning, so that one plan covers events that arrive together.
PLAN_DELAY_S = 0.005
# The delay is this many times as long as the last plan took, so that a backlog leaves most of the
# processor to reports and requests.
PLAN_DELAY_FACTOR = 3.0
MAX_PLAN_DELAY_S = 0.06


def next_plan_delay_s(took_s: float) -> float:
    """Returns the delay before the next plan, in seconds.

    Args:
        took_s: seconds that the last plan took.
    """
    return min(max(PLAN_DELAY_S, PLAN_DELAY_FACTOR * took_s), MAX_PLAN_DELAY_S)
