"""What the tasks of each client account use on the workers of a shard."""

from pollengate.dominant_share import Amounts
from pollengate.workflow.model import NO_DEMAND, Demand

__all__ = ["AccountUsage", "amounts_of"]


class AccountUsage:
    """Sum of the demand of all runs that may exist, by client account.

    The sums are kept up to date with each run, as an owner starts hundreds of runs a second. Jobs
    without an account aren't counted.
    """

    def __init__(self) -> None:
        self._demand_by_account: dict[str, Demand] = {}

    def usage_of(self, account: str) -> Demand:
        """Returns the demand of an account's runs."""
        return self._demand_by_account.get(account, NO_DEMAND)

    def add(self, account: str, demand: Demand) -> None:
        """Counts a run that may exist from now on."""
        if account:
            self._demand_by_account[account] = self.usage_of(account) + demand

    def remove(self, account: str, demand: Demand) -> None:
        """Counts a run no longer that is known to be gone."""
        if not account:
            return
        remaining = self.usage_of(account) - demand
        if remaining == NO_DEMAND:
            del self._demand_by_account[account]
        else:
            self._demand_by_account[account] = remaining


def amounts_of(demand: Demand) -> Amounts:
    """Returns a demand as amounts of which a dominant share can be taken."""
    return demand.cpu_millis, demand.memory_mb, demand.accelerators
