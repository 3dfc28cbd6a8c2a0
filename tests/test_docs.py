"""Tests that the documentation covers all commands, settings, metrics and fields."""

import re
import unittest
from pathlib import Path

import click
import pydantic
from pollengate_cli.main import main
from pollengate_settings.model import SettingsModel
from pollengated.http_tasks import TaskModel
from pollengated.metrics import Metrics

ROOT = Path(__file__).parent.parent
OPERATOR_PAGES = ROOT / "docs" / "operators"
LINK_PATTERN = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


def command_names(group: click.Group, prefix: str) -> list[str]:
    """Returns the full names of all commands of a group and its subgroups."""
    names = []
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            names += command_names(command, f"{prefix} {name}")
        else:
            names.append(f"{prefix} {name}")
    return names


def settings_keys() -> list[str]:
    """Returns the dotted names of all keys of a settings file."""
    keys = []
    for section, field in SettingsModel.model_fields.items():
        model = field.annotation
        assert isinstance(model, type) and issubclass(model, pydantic.BaseModel)
        keys += [f"{section}.{key}" for key in model.model_fields]
    return keys


class DocsTest(unittest.TestCase):
    """Checks documentation pages against the code."""

    def test_relative_links_point_to_existing_files(self) -> None:
        for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]:
            for target in LINK_PATTERN.findall(page.read_text()):
                if "://" not in target:
                    with self.subTest(page=str(page.relative_to(ROOT)), target=target):
                        self.assertTrue((page.parent / target).exists())

    def test_every_command_is_documented(self) -> None:
        page = (OPERATOR_PAGES / "cli.md").read_text()
        for command in command_names(main, "pollengate"):
            with self.subTest(command=command):
                self.assertIn(command, page)

    def test_every_setting_is_documented(self) -> None:
        page = (OPERATOR_PAGES / "start.md").read_text()
        for key in settings_keys():
            with self.subTest(key=key):
                self.assertIn(f"| `{key}` |", page)

    def test_every_metric_is_documented(self) -> None:
        page = (OPERATOR_PAGES / "metrics.md").read_text()
        names = {metric.name for metric in Metrics().registry.collect()}
        for name in sorted(names):
            if name.startswith("pollengate_"):
                with self.subTest(metric=name):
                    self.assertRegex(page, rf"`{name}(_total)?(\{{[a-z,]+\}})?`")

    def test_every_field_of_a_submission_is_documented(self) -> None:
        page = (ROOT / "docs" / "callers.md").read_text()
        for field in TaskModel.model_fields:
            with self.subTest(field=field):
                self.assertIn(f"`{field}`", page)
