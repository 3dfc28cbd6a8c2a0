"""What the runs of each client account use in one shard."""

from pollengate.dominant_share import Amounts
from pollengate.workflow.model import NO_DEMAND, Demand

__all__ = ["MANY", "AccountUsage", "amounts_of"]

# More than a step has tasks.
MANY = 1_000_000


class AccountUsage:
    """Demand of all runs that may exist, by client account; updated with each run.

    Demands are kept as lists of three numbers, since an owner starts hundreds of runs a second.
    """

    def __init__(self) -> None:
        self._used_by_account: dict[str, list[int]] = {}

    def add(self, account: str, demand: Demand, count: int) -> None:
        """Counts runs of an account.

        Args:
            account: the account's name, empty for none.
            demand: demand of each run.
            count: number of runs, negative if they are known to be gone.
        """
        if not account:
            return
        used = self._used_by_account.setdefault(account, [0, 0, 0])
        used[0] += count * demand.cpu_millis
        used[1] += count * demand.memory_mb
        used[2] += count * demand.accelerators

    def usage_of(self, account: str) -> Demand:
        """Returns the demand of an account's runs."""
        used = self._used_by_account.get(account)
        return Demand(*used) if used else NO_DEMAND

    def exceeds(self, account: str, part: Demand) -> bool:
        """Returns True if an account's runs use more of any resource than a part of its limit."""
        cpu, memory, accelerators = self._used_by_account.get(account, (0, 0, 0))
        return cpu > part.cpu_millis or memory > part.memory_mb or accelerators > part.accelerators

    def fitting(self, account: str, demand: Demand, part: Demand) -> int:
        """Returns how many more runs with a demand fit in a part of the account's limit.

        Returns 0 if there is no room, also if more than the part is used already. A resource that
        the run does not need is not looked at.
        """
        cpu, memory, accelerators = self._used_by_account.get(account, (0, 0, 0))
        count = MANY
        if demand.cpu_millis:
            count = (part.cpu_millis - cpu) // demand.cpu_millis
        if demand.memory_mb:
            count = min(count, (part.memory_mb - memory) // demand.memory_mb)
        if demand.accelerators:
            count = min(count, (part.accelerators - accelerators) // demand.accelerators)
        return max(0, count)


def amounts_of(demand: Demand) -> Amounts:
    """Returns a demand as amounts of which a dominant share can be taken."""
    return demand.cpu_millis, demand.memory_mb, demand.accelerators
