"""Tests of the policy file of the edge role."""

import tempfile
import unittest
from pathlib import Path

from pollengate.workflow.policy import SchedulingPolicy
from pollengated.edge.policy_file import read_policy
from result import Result


def read_text(text: str) -> Result[SchedulingPolicy, str]:
    """Reads a policy file with the given text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "policy.toml"
        path.write_text(text)
        return read_policy(path)


class PolicyFileTest(unittest.TestCase):
    """Guards against settings that are silently ignored or take effect unasked."""

    def test_an_empty_file_switches_everything_off(self) -> None:
        policy = read_text("").unwrap()

        self.assertEqual(policy, SchedulingPolicy())
        self.assertFalse(policy.overload.is_enabled)
        self.assertFalse(policy.interference.is_shared)

    def test_settings_are_read(self) -> None:
        policy = read_text("[overload]\nis_enabled = true\nfloor_share = 0.5\n").unwrap()

        self.assertTrue(policy.overload.is_enabled)
        self.assertEqual(policy.overload.floor_share, 0.5)

    def test_file_of_the_users_platform_is_valid(self) -> None:
        policy = read_policy(Path("deploy/policy.toml")).unwrap()

        self.assertTrue(policy.overload.is_enabled)

    def test_errors_name_the_setting(self) -> None:
        for text, name in (
            ("[overload]\nfloor = 1", "overload.floor"),
            ("[overload]\nis_enabled = 1", "is_enabled"),
            ("[interference]\nis_shared = 'x'", "is_shared"),
            ("[interference]\nis_wait_bounded = true", "interference.is_wait_bounded"),
            ("[overload]\nfloor_share = 20.0", "floor_share"),
            ("[overload]\nenter_factor = 0.0", "enter_factor"),
            ("[other]", "other"),
            ("[", "policy.toml"),
        ):
            with self.subTest(text):
                self.assertIn(name, read_text(text).unwrap_err())
