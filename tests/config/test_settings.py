"""Tests of the daemon's settings."""

import pathlib
import tempfile
import unittest

from parameterized import parameterized

from cicadafront import settings
from cicadafront.config import schema

REQUIRED_SETTINGS = """
instance = "dar-a-1"
data_centre = "dar-a"
store_url = "http://127.0.0.1:2379/"
"""
ADDRESSES = """
[addresses]
peer = "127.0.0.1:7100"
gossip = "127.0.0.1:7101"
"""


class SettingsTest(unittest.TestCase):
    """Guards against a daemon that starts with invalid or mistyped settings."""

    def test_defaults(self):
        with tempfile.TemporaryDirectory() as place:
            path = pathlib.Path(place) / "settings.toml"
            path.write_text(REQUIRED_SETTINGS + ADDRESSES)
            read = settings.load(path)
            with self.assertRaises(schema.InvalidConfigurationError):
                settings.load(place)
        self.assertEqual(
            read,
            settings.Settings(
                "dar-a-1",
                "dar-a",
                "http://127.0.0.1:2379",
                ("127.0.0.1", 7100),
                ("127.0.0.1", 7101),
            ),
        )

    def test_all_keys(self):
        text = (
            REQUIRED_SETTINGS
            + 'seeds = ["127.0.0.2:7101", "[::1]:7101"]\ndrain_seconds = 5\n'
            + 'log_level = "debug"\nservices = ["rounds"]'
            + ADDRESSES
            + 'edge = "127.0.0.1:80"\noperators = "127.0.0.1:81"'
        )
        read = settings.read("s.toml", text.encode())
        self.assertEqual(read.seeds, (("127.0.0.2", 7101), ("::1", 7101)))
        self.assertEqual(read.edge, ("127.0.0.1", 80))
        self.assertEqual((read.drain_seconds, read.log_level), (5.0, "debug"))

    @parameterized.expand(
        [
            ("missing instance", "instance", None, "is missing"),
            ("missing peer", "addresses.peer", None, "is missing"),
            ("bad name", "instance", '"a b"', "letters"),
            ("https", "store_url", '"https://127.0.0.1:1"', "http://IP"),
            ("host name", "store_url", '"http://store:1"', "no IP"),
            ("no URL", "store_url", '"http://[::1"', "no URL"),
            ("no port", "addresses.peer", '"127.0.0.1"', "IP"),
            ("port 0", "addresses.peer", '"127.0.0.1:0"', "1 to 65535"),
            ("port text", "addresses.peer", '"127.0.0.1:x"', "no port"),
            ("big port", "addresses.peer", '"127.0.0.1:70000"', "65535"),
            ("bare IPv6", "addresses.peer", '"::1:7100"', "no port"),
            ("any address", "addresses.gossip", '"0.0.0.0:1"', "machine"),
            ("number", "addresses.edge", "8080", "no string"),
            ("clash", "addresses.edge", '"127.0.0.1:7100"', "another port"),
            ("clash", "addresses.edge", '"0.0.0.0:7100"', "another port"),
            ("seed", "seeds", '["a:1"]', "item 1"),
            ("drain", "drain_seconds", "-1", "0 to 3600"),
            ("level", "log_level", '"loud"', "one of debug"),
            ("services", "services", '"a"', "a list"),
            ("unknown", "drain_second", "1", "drain_seconds?"),
            ("unknown address", "addresses.admin", '"a"', "not known"),
        ]
    )
    def test_refusal_names_key_and_remedy(self, _name, key, value, remedy):
        table, _, name = key.rpartition(".")
        lines = {
            "": REQUIRED_SETTINGS.splitlines(),
            "addresses": ADDRESSES.splitlines(),
        }
        lines[table] = [
            line for line in lines[table] if not line.startswith(f"{name} =")
        ]
        if value is not None:
            lines[table].append(f"{name} = {value}")
        text = "\n".join(lines[""] + lines["addresses"])
        with self.assertRaises(schema.InvalidConfigurationError) as caught:
            settings.read("s.toml", text.encode())
        found = caught.exception.errors
        # A duplicate address is reported for the later listener.
        self.assertEqual(len(found), 1, found)
        expected = "addresses.peer" if _name == "clash" else key
        self.assertEqual(found[0].key, expected)
        self.assertIn(remedy, str(found[0]))

    def test_all_errors_are_reported_at_once(self):
        with self.assertRaises(schema.InvalidConfigurationError) as caught:
            settings.read("s.toml", b"addresses = 1\nx = 2")
        keys = [error.key for error in caught.exception.errors]
        self.assertIn("addresses", keys)
        self.assertIn("x", keys)
        self.assertIn("store_url", keys)
        with self.assertRaises(schema.InvalidConfigurationError):
            settings.read("s.toml", b"=")
