"""Tests of decoding packed messages."""

import unittest

from parameterized import parameterized

from cicadafront.membership import codec, packing, records

SCHEMA = codec._SCHEMA.StatePage
MOST_WORDS = 1 << 10


def page(words, count=20):
    """Returns a page whose first segment has the given number of words."""
    builder = SCHEMA.new_message(num_first_segment_words=words)
    builder.next = "x" * 300
    for number, member in enumerate(builder.init("members", count)):
        member.id = f"i{number}"
    return builder


class PackingTest(unittest.TestCase):
    """Guards against malformed messages that terminate the process.

    The library terminates the process if a packed message with several
    segments is truncated.
    """

    @parameterized.expand([("one", 1 << 10), ("several", 4)])
    def test_segments_are_read(self, name, words):
        data = page(words).to_bytes_packed()
        self.assertEqual(packing.segments(data) == 1, name == "one")
        with packing.read(SCHEMA, data, MOST_WORDS) as found:
            self.assertEqual(found.next, "x" * 300)
            self.assertEqual([m.id for m in found.members][-1], "i19")

    def test_truncated_page_raises(self):
        for words in (1 << 10, 4):
            data = page(words).to_bytes_packed()
            for length in range(len(data)):
                with (
                    self.subTest(words=words, length=length),
                    self.assertRaises(codec.DatagramError),
                ):
                    codec.decode_page(data[:length], 0.0)

    @parameterized.expand(
        [
            # Tag 0 followed by 255 expands to 256 words of zeros.
            ("zeros", b"\x01\x01" + b"\x00\xff" * 40_000),
            ("table", b"\xff" * 9 + b"\x00"),
            ("segment", b"\x10\xff" + b"\x00\xff"),
            ("nothing", b""),
        ]
    )
    def test_wrong_sizes_raise(self, _name, data):
        with self.assertRaises(codec.DatagramError):
            codec.decode_page(data, 0.0)

    def test_large_page_has_one_segment(self):
        items = []
        for number in range(150):
            address = f"10.0.0.{number}", 7000
            items.append(
                records.InstanceRecord(
                    f"sidecar-{number}", 1, 1, "dar-a", address, address
                )
            )
        data = codec.encode_page(items, "", 0.0)
        self.assertEqual(packing.segments(data), 1)
        self.assertEqual(codec.decode_page(data, 0.0)[0], items)
