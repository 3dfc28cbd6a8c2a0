"""Log odds from own evidence and from that of other shards, kept apart.

Evidence is log odds less the prior, and evidence of different samples adds up. An owner decides by
the sum, but keeps and exports only what it has learned itself, since evidence that came back from
another owner would be counted twice.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping

from pollengate.bounded import BoundedDict

__all__ = ["MergedOdds", "Pair"]

# Image of a serving task and image of a filler.
Pair = tuple[str, str]


class MergedOdds:
    """Log odds of pairs of images.

    Own log odds, the sum of the other shards' evidence and the sum of all have the same bounds. The
    bound on own log odds keeps many weak samples of one shard from outweighing all others, and old
    records readable; the bound on the others' sum keeps the result open to new own samples. Where
    the sum of all has reached a bound, samples beyond it add nothing to own log odds, as they would
    not for one owner with all samples.

    Args:
        prior: log odds of a pair without evidence.
        lowest: lower bound on log odds.
        highest: upper bound on log odds.
        max_pairs: maximum number of pairs; the least recently changed ones are forgotten.
    """

    def __init__(self, prior: float, lowest: float, highest: float, max_pairs: int) -> None:
        self._prior = prior
        self._lowest = lowest
        self._highest = highest
        self._own_by_pair: BoundedDict[Pair, float] = BoundedDict(max_pairs)
        self._merged_by_pair: BoundedDict[Pair, float] = BoundedDict(max_pairs)
        self._others_by_pair: dict[Pair, float] = {}

    def get(self, pair: Pair) -> float:
        """Returns the log odds from all evidence."""
        log_odds = self._merged_by_pair.get(pair)
        return self._prior if log_odds is None else log_odds

    def own_items(self) -> Iterator[tuple[Pair, float]]:
        """Yields the log odds from own evidence alone."""
        return self._own_by_pair.items()

    def set_own(self, pair: Pair, log_odds: float) -> None:
        """Replaces the own log odds of a pair."""
        self._own_by_pair.put(pair, self._clip(log_odds))
        self._merge(pair)

    def shift_own(self, pair: Pair, change: float) -> None:
        """Adds own evidence, as far as the sum of all is within its bounds."""
        own = self._own(pair)
        others = self._others_by_pair.get(pair, 0.0)
        lowest = min(own, self._lowest - others)
        highest = max(own, self._highest - others)
        self.set_own(pair, min(max(own + change, lowest), highest))

    def replace_others(self, records: Iterable[Mapping[Pair, float]]) -> set[Pair]:
        """Replaces the evidence of all other shards.

        Args:
            records: own log odds of each other shard, by pair.

        Returns:
            The pairs whose log odds may have changed.
        """
        summed: collections.defaultdict[Pair, float] = collections.defaultdict(float)
        for record in records:
            for pair, log_odds in record.items():
                summed[pair] += self._clip(log_odds) - self._prior
        affected = self._others_by_pair.keys() | summed.keys()
        self._others_by_pair = {
            pair: self._clip(self._prior + evidence) - self._prior
            for pair, evidence in summed.items()
        }
        for pair in affected:
            self._merge(pair)
        return affected

    def _own(self, pair: Pair) -> float:
        own = self._own_by_pair.get(pair)
        return self._prior if own is None else own

    def _merge(self, pair: Pair) -> None:
        merged = self._own(pair) + self._others_by_pair.get(pair, 0.0)
        self._merged_by_pair.put(pair, self._clip(merged))

    def _clip(self, log_odds: float) -> float:
        return min(max(log_odds, self._lowest), self._highest)
