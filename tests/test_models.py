"""Tests of the models: the protocols hold, each weakened variant is broken."""

import unittest

from minicheck import check_safety

from models import patches, promises

PROMISE_SCENARIOS = promises.SCENARIOS[:2]


class PatchModelTest(unittest.TestCase):
    """Checks the model of patches and freshness."""

    def test_protocol_holds(self) -> None:
        for scenario in patches.SCENARIOS:
            with self.subTest(scenario=scenario):
                result = check_safety(patches.build(scenario, patches.Rules()), patches.MAX_STATES)
                self.assertTrue(result["exhaustive"])
                for rule, found in result["properties"].items():
                    self.assertIs(found["holds"], True, rule)

    def test_weakened_variants_are_broken(self) -> None:
        for name, (number, rules) in patches.WEAKENED.items():
            with self.subTest(variant=name):
                model = patches.build(patches.SCENARIOS[number], rules)
                result = check_safety(model, patches.MAX_STATES)
                verdicts = [found["holds"] for found in result["properties"].values()]
                self.assertIn(False, verdicts)


class PromiseModelTest(unittest.TestCase):
    """Checks the model of ownership by promises."""

    def test_protocol_holds(self) -> None:
        for scenario in PROMISE_SCENARIOS:
            with self.subTest(scenario=scenario.name):
                model = promises.build(scenario, promises.Rules())
                result = check_safety(model, promises.MAX_STATES)
                self.assertTrue(result["exhaustive"])
                self.assertIs(result["properties"]["one owner"]["holds"], True)

    def test_weakened_variants_are_broken(self) -> None:
        for name, (number, rules) in promises.WEAKENED.items():
            with self.subTest(variant=name):
                model = promises.build(promises.SCENARIOS[number], rules)
                result = check_safety(model, promises.MAX_STATES)
                self.assertIs(result["properties"]["one owner"]["holds"], False)


if __name__ == "__main__":
    unittest.main()
