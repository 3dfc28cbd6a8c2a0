"""Tests of the example settings files and initial configuration patches."""

import json
import unittest
from pathlib import Path

from pollengate.patches import merge_patch
from pollengate_settings import read_settings
from pollengated.config_model import empty_document, validate_document

EXAMPLES = Path(__file__).parent.parent / "examples"
ZONES_BY_DEPLOYMENT = {
    "lima-sur": {"lima-sur-a", "lima-sur-b", "lima-sur-c"},
    "hr-kontinent": {"zagreb-a", "zagreb-b", "osijek-c"},
}
WORKERS_BY_DEPLOYMENT = {"lima-sur": 30, "hr-kontinent": 25}
CORES_PER_WORKER = 64


class ExamplesTest(unittest.TestCase):
    """Validates the example files."""

    def test_settings_files_are_valid(self) -> None:
        files = sorted(EXAMPLES.glob("*.toml"))
        self.assertEqual(2 * len(ZONES_BY_DEPLOYMENT), len(files))
        ids = {read_settings(file).unwrap().process_id for file in files}
        self.assertEqual(len(files), len(ids))

    def test_initial_patches_are_valid(self) -> None:
        for name, zones in ZONES_BY_DEPLOYMENT.items():
            with self.subTest(deployment=name):
                document = self._configuration(name)
                self.assertEqual(zones, set(document["zones"]))
                [service] = document["services"].values()
                self.assertEqual((8, 64), (service["slots"], service["connections"]))

    def test_settings_name_a_configured_zone(self) -> None:
        for name, zones in ZONES_BY_DEPLOYMENT.items():
            for file in EXAMPLES.glob(f"{name}-*.toml"):
                with self.subTest(file=file.name):
                    self.assertIn(read_settings(file).unwrap().zone, zones)

    def test_sum_of_quotas_fits_the_workers(self) -> None:
        for name, workers in WORKERS_BY_DEPLOYMENT.items():
            with self.subTest(deployment=name):
                quotas = self._configuration(name)["quotas"].values()
                cores = sum(quota["cores"] for quota in quotas)
                self.assertLessEqual(cores, workers * CORES_PER_WORKER)

    def _configuration(self, name: str) -> dict[str, dict[str, dict[str, int]]]:
        patch = json.loads((EXAMPLES / f"{name}.json").read_text())
        return validate_document(merge_patch(empty_document(), patch)).unwrap()
