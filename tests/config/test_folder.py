"""Tests of the validation and the merging of the operators' files."""

import pathlib
import tempfile
import unittest

from hypothesis import given, settings, strategies
from parameterized import parameterized

from cicadafront.config import folder, parts, schema
from tests.config.support import FILES


def _refusals(files):
    try:
        folder.merge(files)
    except schema.InvalidConfigurationError as error:
        return [(found.file, found.key, str(found)) for found in error.errors]
    return []


class MergeTest(unittest.TestCase):
    """Guards against a merged configuration that differs from the files."""

    def test_later_files_override_key_by_key(self):
        merged = folder.merge(dict(reversed(FILES.items())))
        amani = merged.configuration().accounts["amani"]
        self.assertEqual((amani.rate, amani.burst), (50.0, 20.0))
        origins = {
            key: merged.origins["accounts", "amani", key]
            for key in ("rate", "burst", "weight")
        }
        self.assertEqual(
            origins,
            {
                "rate": "10-base.toml",
                "burst": "20-night.toml",
                "weight": "(default)",
            },
        )
        route = merged.configuration().routes["list"]
        self.assertEqual(route.methods, frozenset({"GET"}))
        self.assertTrue(route.repeatable and not route.open)

    @parameterized.expand(
        [
            ("unknown section", "[acounts.a]", "acounts", "accounts?"),
            ("unknown key", "[accounts.amani]\nrat=1", "amani.rat", "rate?"),
            ("unknown without match", "zzz = 1", "zzz", "remove it"),
            ("section no table", "accounts = 3", "accounts", "[accounts."),
            ("entry no table", "[accounts]\na = 3", "accounts.a", "table"),
            ("bad name", "[accounts.'a b']", "a b", "letters"),
            ("key id underscore", "[keys.a_b]", "keys.a_b", "key id"),
            ("string rate", "[accounts.amani]\nrate='1'", "rate", "number"),
            ("boolean rate", "[accounts.amani]\nrate=true", "rate", "number"),
            ("zero rate", "[accounts.amani]\nrate=0", "rate", "from 0.001"),
            ("nan rate", "[accounts.amani]\nrate=nan", "rate", "from"),
            ("infinite", "[accounts.amani]\nburst=inf", "burst", "from 1"),
            ("huge", f"[accounts.amani]\nrate=1{'0' * 400}", "rate", "from"),
            ("small burst", "[accounts.amani]\nburst=0.5", "burst", "from 1"),
            ("floor", "[services.rounds]\nfloor=1.1", "floor", "0 to 1"),
            ("digest", "[keys.k1]\ndigest='AA'", "digest", "64 lower"),
            ("methods", "[routes.list]\nmethods='GET'", "methods", "a list"),
            ("method", "[routes.list]\nmethods=['get']", "methods", "item 1"),
            ("open", "[routes.list]\nopen=1", "open", "true or false"),
            ("relative", "[routes.list]\nprefix='x'", "prefix", "path"),
            ("query", "[routes.list]\nprefix='/x?y'", "prefix", "path"),
            ("dots", "[routes.list]\nprefix='/x/../y'", "prefix", "path"),
            ("timeout", "[routes.list]\ntimeout=0", "timeout", "0.1 to 3600"),
            ("date", "[routes.list]\ntimeout=2026-01-01", "timeout", "date"),
            ("missing", "[accounts.b]\nrate=1", "accounts.b.burst", "add it"),
            (
                "dangling account",
                f"[keys.k2]\naccount='gone'\ndigest='{'b' * 64}'",
                "keys.k2.account",
                "add [accounts.gone]",
            ),
            (
                "dangling service",
                "[routes.list]\nservice='gone'",
                "routes.list.service",
                "add [services.gone]",
            ),
            (
                "ambiguous routes",
                "[routes.x]\nprefix='/rounds/'\nservice='rounds'\n"
                "methods=['PUT','GET']",
                "routes.x.prefix",
                "routes.list has the same prefix and GET",
            ),
            ("syntax", "[accounts", "(file)", "correct the syntax"),
            ("deep", "x=" + "[" * 100_000, "(file)", "correct the syntax"),
            ("not UTF-8", b"\xff", "(file)", "UTF-8"),
        ]
    )
    def test_refusal_names_file_key_and_remedy(self, _name, text, key, remedy):
        content = text if isinstance(text, bytes) else text.encode()
        found = _refusals(FILES | {"30-wrong.toml": content})
        self.assertEqual(len(found), 1, found)
        self.assertEqual(found[0][0], "30-wrong.toml")
        self.assertTrue(found[0][1].endswith(key), found)
        self.assertIn(remedy, found[0][2])

    def test_all_errors_are_reported_at_once(self):
        files = {
            "a.toml": b"[accounts.a]\nrate=0\nburst=0",
            "b.toml": b"=",
            "c.toml": b"[keys.k]\naccount='b'\nx=1",
        }
        keys = [(file, key) for file, key, _ in _refusals(files)]
        self.assertEqual(
            sorted(keys),
            [
                ("a.toml", "accounts.a.burst"),
                ("a.toml", "accounts.a.rate"),
                ("b.toml", "(file)"),
                ("c.toml", "keys.k.account"),
                ("c.toml", "keys.k.digest"),
                ("c.toml", "keys.k.x"),
            ],
        )

    def test_folder(self):
        with tempfile.TemporaryDirectory() as place:
            with self.assertRaises(schema.InvalidConfigurationError):
                folder.load(place)
            for name, content in FILES.items():
                (pathlib.Path(place) / name).write_bytes(content)
            (pathlib.Path(place) / "notes.txt").write_text("=")
            (pathlib.Path(place) / ".20-night.toml.swp.toml").write_text("=")
            self.assertEqual(folder.load(place), folder.merge(FILES))
            (pathlib.Path(place) / "30.toml").mkdir()
            with self.assertRaises(schema.InvalidConfigurationError):
                folder.load(place)
        with self.assertRaises(schema.InvalidConfigurationError):
            folder.load(place)


_WORDS = """accounts keys services routes amani k1 rate burst weight account
digest prefix service methods floor open [ ] . = ' " { } , 1 -1 1e999 nan
1979-05-27 true /a /rounds"""
_words = strategies.sampled_from(
    [
        *_WORDS.split(),
        "a" * 64,
        "[accounts.amani]\n",
        "[routes.list]\n",
        "rate = ",
        "\n",
    ]
)


class FuzzTest(unittest.TestCase):
    """Guards against input that ends the tool with an untyped exception."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        strategies.one_of(
            strategies.text(max_size=200).map(
                lambda t: t.encode(errors="replace")
            ),
            strategies.binary(max_size=200),
            strategies.lists(_words, max_size=30).map(
                lambda words: "".join(words).encode()
            ),
        )
    )
    def test_arbitrary_text(self, content):
        try:
            merged = folder.merge(FILES | {"15.toml": content})
        except schema.InvalidConfigurationError as error:
            self.assertEqual(error.code, "config_invalid")
            self.assertTrue(error.errors)
            for found in error.errors:
                self.assertEqual(found.file[-5:], ".toml")
        else:
            parts.divide(merged.configuration())
