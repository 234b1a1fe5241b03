"""Tests of the encoding of frames."""

import unittest

import attrs
from parameterized import parameterized

from cicadafront import model
from cicadafront.peer import codec, exchange

HEAD = model.RequestHead("GET", "/x", ((b"Host", b"h"),))
PLAIN = exchange.OpenRequest(HEAD, "amani", "s", "t", 5.0)


class OpenTest(unittest.TestCase):
    """Guards against request fields that are lost in encoding.

    This happens when a field is added to only one of the encoder and the
    decoder.
    """

    @parameterized.expand(
        [
            ("repeatable", True),
            ("attempt", 3),
            ("arrivals", 2),
            ("insist", exchange.ALLOW_SUSPENDED_TARGET),
            ("priority", 7),
            ("objective", 1.5),
            ("confirm", True),
            ("relay_to", "n2"),
            ("fingerprint", b"\x00\x01"),
        ]
    )
    def test_field_survives(self, field, value):
        frame = codec.Open(5, attrs.evolve(PLAIN, **{field: value}))
        self.assertEqual(codec.decode(codec.encode(frame)), frame)


if __name__ == "__main__":
    unittest.main()
