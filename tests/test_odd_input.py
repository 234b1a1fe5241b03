"""Property tests of the decoders of input from other processes.

The decoders read JSON documents, datagrams, frames, events and the settings
file.
"""

import json
import math
import unittest

import hypothesis
from hypothesis import strategies
from parameterized import parameterized

from cicadafront import errors, fields, model
from cicadafront.config import follow, schema
from cicadafront.health import suspects
from cicadafront.membership import (
    codec,
    heartbeat_registry,
    messages,
    records,
    stored_target,
)
from cicadafront.peer import codec as frames
from cicadafront.peer import exchange
from cicadafront.platform import documents, heartbeats
from cicadafront.sidecar import settings
from tests.platform import test_documents, test_heartbeats
from tests.sidecar.test_settings import GOOD

EXAMPLES = hypothesis.settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
# Values that Python converts, compares or prints in surprising ways.
ODD = strategies.one_of(
    strategies.sampled_from(
        [
            math.inf,
            -math.inf,
            math.nan,
            10**400,
            2**64,
            -1,
            0,
            True,
            None,
            "",
            "\ud800",
            [],
            {},
            [[]] * 3,
            1e308,
        ]
    ),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
)
NESTED = b"[" * 100_000
ENTRY = {
    "gossip": ["10.0.0.1", 7000],
    "target": {
        "id": "t1",
        "service": "s",
        "address": ["10.0.0.2", 80],
        "slots": 3,
        "incarnation": 1,
    },
}


def _places(value, path=()):
    """Yields the path of each value in a document."""
    yield path
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from _places(child, (*path, key))


def _changed(value, path, odd):
    """Returns a copy of a document with the value at a path replaced."""
    if not path:
        return odd
    copy = value.copy()
    copy[path[0]] = _changed(value[path[0]], path[1:], odd)
    return copy


def _entry(value):
    """Decodes an entry of the store as `registration` does."""
    content = fields.parse(value)
    fields.host_and_port(content, "gossip")
    kept = dict(fields.item(content, "target"))
    heartbeat = stored_target.restore(kept)
    if heartbeat is not None:
        stored_target.keep(heartbeat)


JSON_CASES = [
    (
        "document",
        documents.decode,
        test_documents.DOCUMENT,
        follow.DocumentError,
    ),
    (
        "heartbeat",
        lambda body: heartbeats.decode("t1", body),
        test_heartbeats.HEARTBEAT,
        heartbeats.HeartbeatError,
    ),
    ("deregistration", heartbeats.incarnation, {"born": 5}, ()),
    ("entry", _entry, ENTRY, fields.FieldError),
]


def _datagram():
    instance = records.InstanceRecord(
        "i1", 1, 1, "a", ("10.0.0.1", 1), ("10.0.0.1", 2)
    )
    target = records.TargetRecord("t1", "s", ("", 80), 3, "i1", 1, 1)
    message = messages.Message(
        "i1", 1, 1, messages.Ping(), [instance, target], (1,), ((1, 2, True),)
    )
    return codec.encode(message, 0.0)


def _frame():
    head = model.RequestHead("GET", "/", ((b"Host", b"a"),))
    request = exchange.OpenRequest(
        head=head,
        account="a",
        service="s",
        target="t1",
        timeout=1.0,
        repeatable=True,
    )
    return frames.encode(frames.Open(1, request))


def _event():
    return suspects.encode(suspects.Cleared(b"f" * 8, "a"))


def _settings(content):
    settings.read("settings.toml", content)


BINARY_CASES = [
    (
        "datagram",
        lambda data: codec.decode(data, 0.0),
        _datagram(),
        codec.DatagramError,
    ),
    (
        "records",
        lambda data: codec.decode_records(data, 0.0),
        codec.encode_records([], 0.0),
        codec.DatagramError,
    ),
    (
        "page",
        lambda data: codec.decode_page(data, 0.0),
        codec.encode_page([], "i2", 0.0),
        codec.DatagramError,
    ),
    (
        "page_request",
        codec.decode_request,
        codec.encode_request("i2"),
        codec.DatagramError,
    ),
    ("frame", frames.decode, _frame(), frames.FrameError),
    ("crash_event", suspects.decode, _event(), ValueError),
    (
        "settings",
        _settings,
        GOOD.encode(),
        schema.InvalidConfigurationError,
    ),
]


class OddInputTest(unittest.TestCase):
    """Guards against malformed input that stops the task that reads it.

    A decoder may reject input only with its own error types. Any other
    exception, such as `OverflowError`, could end the loop or the connection
    that called the decoder.
    """

    def assert_only(self, decode, data, allowed):
        """Decodes the data; exceptions other than the allowed ones fail."""
        try:
            return decode(data)
        except allowed as error:
            if isinstance(error, errors.CicadafrontError):
                self.assertLess(len(error.message), 2000)
            return None

    @parameterized.expand(JSON_CASES)
    def test_changed_value(self, _name, decode, good, allowed):
        places = list(_places(good))

        @EXAMPLES
        @hypothesis.given(strategies.sampled_from(places), ODD)
        def check(path, odd):
            document = json.dumps(_changed(good, path, odd)).encode()
            self.assert_only(decode, document, allowed)

        self.assert_only(decode, json.dumps(good).encode(), ())
        check()

    @parameterized.expand(JSON_CASES)
    def test_missing_value(self, _name, decode, good, allowed):
        for key in good:
            less = {name: value for name, value in good.items() if name != key}
            self.assert_only(decode, json.dumps(less).encode(), allowed)

    @parameterized.expand(JSON_CASES)
    def test_nested(self, _name, decode, good, allowed):
        document = json.dumps(good).encode()
        odd = document[:-1] + b', "odd": ' + NESTED + b"}"
        for data in (NESTED, odd, b'{"a":' * 100_000):
            self.assert_only(decode, data, allowed)

    @parameterized.expand(JSON_CASES + BINARY_CASES)
    def test_bytes(self, _name, decode, _good, allowed):
        @EXAMPLES
        @hypothesis.given(strategies.binary(max_size=200))
        def check(data):
            self.assert_only(decode, data, allowed)

        check()

    @parameterized.expand(BINARY_CASES)
    def test_changed_bytes(self, _name, decode, good, allowed):
        @EXAMPLES
        @hypothesis.given(
            strategies.lists(
                strategies.tuples(
                    strategies.integers(0, max(0, len(good) - 1)),
                    strategies.integers(0, 255),
                ),
                min_size=1,
                max_size=4,
            ),
            strategies.integers(0, len(good)),
        )
        def check(changes, length):
            data = bytearray(good)
            for place, value in changes:
                data[place] = value
            self.assert_only(decode, bytes(data), allowed)
            self.assert_only(decode, bytes(data[:length]), allowed)

        self.assert_only(decode, good, ())
        check()

    def test_accepted_integers_fit_into_a_frame(self):
        for number in (1, fields.MAX_INTEGER):
            found = test_documents.decode(version=number)
            self.assertEqual(
                int.from_bytes(found.revision.to_bytes(8, "big"), "big"),
                number,
            )
        self.assertLess(heartbeat_registry.MAX_SLOTS, 2**16)
