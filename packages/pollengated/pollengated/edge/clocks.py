"""The clocks of a process."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

__all__ = ["Clocks"]


@dataclasses.dataclass(frozen=True, slots=True)
class Clocks:
    """The monotonic and the wall clock of a process.

    Attributes:
        monotonic_s: returns the monotonic time in seconds. It includes the time for which the VM is
            suspended; otherwise a lease would seem to last longer than it does.
        unix_ms: returns the Unix time in milliseconds; may jump.
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
        """Returns clocks that follow the running event loop, for tests on virtual time.

        Args:
            start_ms: Unix time at time 0 of the loop.
        """
        loop = asyncio.get_running_loop()
        return cls(loop.time, lambda: start_ms + int(loop.time() * 1000))
