"""Tests of the models: the invariants hold, and each weakened variant violates one."""

import random
import unittest

from minicheck import check_safety
from pollengate.peer_leases import PeerLeaseGrantor, PeerLeaseHolder

from models import patches, peer_leases

PEER_LEASE_SCENARIOS = peer_leases.SCENARIOS[:2]
WALKS = 300
WALK_STEPS = 30
ABOVE_ANY_REVISION = 1_000


class PatchModelTest(unittest.TestCase):
    """The model of patches and freshness."""

    def test_protocol_holds(self) -> None:
        for scenario in patches.SCENARIOS:
            with self.subTest(scenario=scenario):
                result = check_safety(patches.build(scenario, patches.Rules()), patches.MAX_STATES)
                self.assertTrue(result["exhaustive"])
                for rule, found in result["properties"].items():
                    self.assertIs(found["holds"], True, rule)

    def test_weakened_variants_violate_an_invariant(self) -> None:
        for name, (number, rules) in patches.WEAKENED_VARIANTS.items():
            with self.subTest(variant=name):
                model = patches.build(patches.SCENARIOS[number], rules)
                result = check_safety(model, patches.MAX_STATES)
                verdicts = [found["holds"] for found in result["properties"].values()]
                self.assertIn(False, verdicts)


class PeerLeaseModelTest(unittest.TestCase):
    """The model of ownership by peer leases."""

    def test_protocol_holds(self) -> None:
        for scenario in PEER_LEASE_SCENARIOS:
            with self.subTest(scenario=scenario.name):
                model = peer_leases.build(scenario, peer_leases.Rules())
                result = check_safety(model, peer_leases.MAX_STATES)
                self.assertTrue(result["exhaustive"])
                self.assertIs(result["properties"]["one owner"]["holds"], True)

    def test_weakened_variants_violate_an_invariant(self) -> None:
        for name, (number, rules) in peer_leases.WEAKENED_VARIANTS.items():
            with self.subTest(variant=name):
                model = peer_leases.build(peer_leases.SCENARIOS[number], rules)
                result = check_safety(model, peer_leases.MAX_STATES)
                self.assertIs(result["properties"]["one owner"]["holds"], False)


class ReplayTest(unittest.TestCase):
    """Applies random walks through the model of peer leases to the code."""

    def test_grants_of_the_model_match_the_code(self) -> None:
        seen_labels: set[str] = set()
        for seed in range(WALKS):
            seen_labels |= self._walk(random.Random(seed))
        self.assertLessEqual(
            {"1 grants", "owner receives grant of 1", "1 reads members"}, seen_labels
        )

    def _walk(self, generator: random.Random) -> set[str]:
        scenario = peer_leases.SCENARIOS[0]
        model = peer_leases.build(scenario, peer_leases.Rules())
        state = model.initial[0]
        grantor = PeerLeaseGrantor(scenario.ticks + peer_leases.MARGIN_TICKS)
        holder = PeerLeaseHolder()
        holder.rely_on(1, ["1"])
        owner_now, grantor_now, requested_at = 0.0, 0.0, 0.0
        labels: set[str] = set()
        for _ in range(WALK_STEPS):
            label, (state,) = generator.choice(model.transitions((state,)))
            labels.add(label)
            if label.startswith("tick"):
                owner_now += label == "tick"
                grantor_now += 1
            elif label == "owner requests grant of 1":
                requested_at = owner_now
            elif label == "1 grants":
                self.assertTrue(grantor.grant(state.epoch, grantor_now))
            elif label == "owner receives grant of 1":
                holder.record_grant("1", requested_at)
            elif label == "1 reads members":
                wait_s = grantor.fence(ABOVE_ANY_REVISION, grantor_now)
                self.assertEqual(wait_s, state.candidates[1].wait_ticks)
                self.assertFalse(grantor.grant(state.epoch, grantor_now))
            left = max(0.0, grantor.granted_until - grantor_now)
            self.assertEqual(left, state.granted[1], label)
            since = holder.granted_since()
            held = 0.0 if since is None else max(0.0, since + scenario.ticks - owner_now)
            self.assertEqual(held, state.held[1], label)
        return labels


if __name__ == "__main__":
    unittest.main()
