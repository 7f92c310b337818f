import re

import pytest

from banyanshed import cli
from banyanshed import operator_client
from banyanshed import settings
from tests import conftest

PAGE = (conftest.ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("words", cli.COMMANDS, ids=" ".join)
def test_every_command_has_an_example(words):
    assert re.search(rf"^    .*banyanshed.* {' '.join(words)}", PAGE, re.M) or (
        f"`{' '.join(words)}" in PAGE
    )


def test_every_flag_and_exit_code_is_listed():
    for name in cli.FLAGS:
        assert f"`--{name}`" in PAGE
    for code in operator_client.ExitCode:
        described = re.search(rf"^    {code.value}  (.*)$", cli.__doc__, re.M)
        assert f"| {code.value} | {described[1]} |" in PAGE


def test_every_setting_is_listed_with_its_default():
    fields = dict(settings.Settings.model_fields)
    for name, field in settings.PlatformSettings.model_fields.items():
        fields[f"platform.{name}"] = field
    del fields["platform"]
    for name, field in fields.items():
        row = next(
            line
            for line in PAGE.splitlines()
            if line.startswith("|") and f"`{name}`" in line
        )
        default = row.split("|")[2].strip()
        if field.is_required():
            assert default == ""
        elif isinstance(field.default, int | float):
            assert float(default) == field.default
