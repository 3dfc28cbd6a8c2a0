"""Tests that sismic accepts each state chart and reads the same from it as `load_chart`."""

import unittest
from importlib import resources

from pollengate.charts import load_chart, read_chart
from sismic.io import import_from_yaml
from sismic.model import FinalState


class ChartTest(unittest.TestCase):
    """Charts as read by `load_chart` and by sismic."""

    def test_each_chart_equals_that_read_by_sismic(self) -> None:
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
