"""The clocks of a process."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

__all__ = ["Clocks"]


@dataclasses.dataclass(frozen=True, slots=True)
class Clocks:
    """Where the time comes from.

    Attributes:
        monotonic_s: seconds that never go back and go on while the VM is suspended, so that a lease
            is never taken to last longer than it does.
        unix_ms: time of day; may jump.
    """

    monotonic_s: Callable[[], float]
    unix_ms: Callable[[], int]

    @classmethod
    def system(cls) -> "Clocks":
        """Returns the clocks of the operating system."""
        return cls(
            lambda: time.clock_gettime(time.CLOCK_BOOTTIME), lambda: time.time_ns() // 1_000_000
        )

    @classmethod
    def of_loop(cls, start_ms: int = 0) -> "Clocks":
        """Returns clocks that follow the running event loop, which tests advance."""
        loop = asyncio.get_running_loop()
        return cls(loop.time, lambda: start_ms + int(loop.time() * 1000))
