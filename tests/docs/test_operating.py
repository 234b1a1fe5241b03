"""Tests that docs/operating.md agrees with the code."""

import importlib
import pathlib
import pkgutil
import re
import unittest

import cicadafront
from cicadafront import errors, settings
from cicadafront.cli import base, main

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "operating.md").read_text()
SOURCE = ROOT / "src" / "cicadafront"
# Error codes in the source: class attributes and keyword arguments.
_CODE = re.compile(r'\bcode ?= ?"([a-z_]+)"')


def section(title: str) -> str:
    """Returns the text of the section with a second-level heading."""
    return PAGE.split(f"\n## {title}\n")[1].split("\n## ")[0]


def rows(text: str) -> list[list[str]]:
    """Returns the cells of table rows that start with a literal or a digit."""
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| `") or re.match(r"\| \d", line)
    ]


def subclasses(kind: type) -> list[type]:
    """Returns all direct and indirect subclasses."""
    result = []
    for subclass in kind.__subclasses__():
        result += [subclass, *subclasses(subclass)]
    return result


class ErrorCodeTest(unittest.TestCase):
    """Guards against error codes that are not documented.

    This happens if an error class or a code is added, renamed or removed in the
    code only. An operator cannot look up such a code.
    """

    def setUp(self):
        self.listed = {
            row[0].strip("`"): row for row in rows(section("Error codes"))
        }

    def test_every_code_is_listed_once(self):
        codes = set()
        for path in SOURCE.rglob("*.py"):
            codes |= set(_CODE.findall(path.read_text()))
        self.assertEqual(set(self.listed), codes)
        self.assertEqual(
            len(self.listed),
            len(rows(section("Error codes"))),
            "duplicate code",
        )

    def test_every_class_is_listed_with_its_status(self):
        for module in pkgutil.walk_packages(
            cicadafront.__path__, "cicadafront."
        ):
            # Importing the entry points of the emulator starts nothing.
            importlib.import_module(module.name)
        for kind in subclasses(errors.CicadafrontError):
            if not kind.__module__.startswith("cicadafront."):
                continue
            with self.subTest(kind.__name__):
                self.assertIn(kind.code, self.listed)
                if issubclass(kind, errors.RequestError):
                    status = self.listed[kind.code][1]
                    self.assertEqual(status, str(kind.status))

    def test_every_row_is_filled(self):
        for code, row in self.listed.items():
            with self.subTest(code):
                self.assertIn(len(row), (4, 5))
                executed = row[2] if len(row) == 5 else row[1]
                self.assertIn(executed, ("no", "unknown", "either", "–"))
                self.assertTrue(all(row))


class ReferenceTest(unittest.TestCase):
    """Guards against undocumented settings, commands and exit codes.

    This happens if one of them is added or changed in the code only.
    """

    def test_settings(self):
        keys = set(settings._TOP)
        keys |= {f"addresses.{key}" for key in settings._ADDRESSES}
        listed = {row[0].strip("`") for row in rows(section("Settings"))}
        self.assertEqual(listed, keys)

    def test_required_settings_and_defaults(self):
        fields = {
            **settings._TOP,
            **{f"addresses.{k}": f for k, f in settings._ADDRESSES.items()},
        }
        for row in rows(section("Settings")):
            with self.subTest(row[0]):
                required = fields[row[0].strip("`")].required
                self.assertEqual(row[1] == "required", required)

    def test_commands(self):
        text = section("Command line")
        listed = [
            re.sub(r" [A-Z]+", "", row[0].strip("`"))
            for row in rows(text)
            if row[0].startswith("`")
        ]
        commands = [str(command.name) for command in main.COMMANDS]
        self.assertEqual(sorted(listed), sorted(commands))

    def test_exit_codes(self):
        listed = {
            int(row[0]): row[1]
            for row in rows(section("Command line"))
            if row[0].isdigit()
        }
        self.assertEqual(set(listed), {int(code) for code in base.Exit})
        for code, meaning in listed.items():
            self.assertIn(f"{code}  {meaning}", base.EXIT_CODES)

    def test_every_failure_has_its_three_parts(self):
        for part in section("Failures").split("\n### ")[1:]:
            with self.subTest(part.splitlines()[0]):
                self.assertRegex(part, r"\*(Seen|Needed)\*")
                self.assertIn("*The system*", part)
                self.assertIn("*The operator*", part)


if __name__ == "__main__":
    unittest.main()
