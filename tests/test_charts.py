"""Tests of the state charts: sismic has to accept each file and read the same from it."""

import unittest
from importlib import resources

from pollengate.charts import load_chart, read_chart
from sismic.io import import_from_yaml
from sismic.model import FinalState


class ChartTest(unittest.TestCase):
    """Compares each chart with what sismic reads."""

    def test_sismic_reads_the_same(self) -> None:
        files = [f.name for f in (resources.files("pollengate") / "charts").iterdir()]
        names = [name.removesuffix(".yaml") for name in files if name.endswith(".yaml")]
        self.assertGreaterEqual(len(names), 4)
        for name in names:
            with self.subTest(chart=name):
                chart = load_chart(name)
                statechart = import_from_yaml(read_chart(name))
                statechart.validate()
                states = statechart.children_for(statechart.root)
                final = {s for s in states if isinstance(statechart.state_for(s), FinalState)}
                expected = {
                    (state, transition.event): transition.target or state
                    for state in states
                    if state not in final
                    for transition in statechart.transitions_from(state)
                }
                self.assertEqual(chart.transitions(), expected)
                self.assertEqual(chart.final_states, final)
                self.assertEqual(chart.initial, statechart.state_for(statechart.root).initial)
