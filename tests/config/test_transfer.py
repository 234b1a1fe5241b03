"""Tests of deltas between documents and of their transfer in pages."""

import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies
from parameterized import parameterized

from cicadafront.config import delta, transfer
from tests.config import narrow

PIECES = strategies.lists(
    strategies.sampled_from([b"a}", b"bb}", b"", b"}", b"c"])
).map(b"".join)


def _document(routes, seed=1):
    return narrow.Document(random.Random(seed)).add_routes(routes)


class DeltaTest(unittest.TestCase):
    """Guards against documents that differ from those of the operators."""

    @hypothesis.given(PIECES, PIECES)
    def test_changed_document(self, document, base):
        made = delta.encode(document, base)
        self.assertEqual(delta.apply(made, base), document)

    @hypothesis.given(strategies.binary(), strategies.binary())
    def test_arbitrary_delta(self, message, base):
        with self.assertRaises(delta.DeltaError):
            delta.apply(message, base)

    @parameterized.expand(
        [
            # Name, change of the delta, base to which it is applied.
            ("other base", lambda made: made, b"x}y}"),
            ("no base", lambda made: made, b""),
            ("ends early", lambda made: made[:-5], b"a}b}"),
            ("empty", lambda made: b"", b"a}b}"),
        ]
    )
    def test_wrong_delta(self, _name, change, base):
        made = change(delta.encode(b"a}c}b}", b"a}b}"))
        with self.assertRaises(delta.DeltaError):
            delta.apply(made, base)

    def test_too_large_document(self):
        # Each run repeats the whole base.
        base = bytes(1024 * 1024) + b"}"
        made = delta.encode(6 * base, base)
        with self.assertRaises(delta.DeltaError):
            delta.apply(made, base)

    @parameterized.expand(
        [
            # Name, number of new routes, most bytes for a byte of the document.
            ("one route changes", 0, 0.001),
            ("routes are added", 1400, 0.1),
        ]
    )
    def test_size_of_a_delta(self, _name, added, share):
        changed = _document(2800)
        base = changed.encode()
        changed.change_route()
        document = changed.add_routes(added).encode()
        size = len(delta.encode(document, base))
        self.assertLess(size, share * len(document))


@attrs.define
class Peer:
    """An instance that serves documents."""

    sender: transfer.Sender = attrs.field(factory=transfer.Sender)

    def page(self, receiver, revision, document):
        """Returns its page for a receiver, or None."""
        message = receiver.request(revision, document).encode()
        request = transfer.Request.decode(message)
        reply = self.sender.page(request, 3, 70)
        return transfer.Page.decode(reply) if reply else None


class TransferTest(unittest.TestCase):
    """Guards against transfers that never end or yield a wrong document."""

    def setUp(self):
        made = _document(2800)
        self.old = made.encode()
        self.new = made.add_routes(1400).encode()
        self.newer = made.change_route().encode()
        self.peers = [Peer(), Peer()]
        for peer in self.peers:
            peer.sender.replace(1, self.old)
            peer.sender.replace(2, self.new)
        self.receiver = transfer.Receiver()

    def _receive(self, peer, pages, now=0.0, document=None):
        """Receives some pages; returns how many were missing."""
        document = self.old if document is None else document
        missing = 0
        for _ in range(pages):
            page = peer.page(self.receiver, 1, document)
            missing += self.receiver.add(now, page, document)
        return missing

    def test_pages_of_two_instances(self):
        self.assertEqual(self._receive(self.peers[0], 1), 1)
        self.assertFalse(self.receiver.complete)
        self._receive(self.peers[1], 1)
        self.assertTrue(self.receiver.complete)
        self.assertEqual(self.receiver.take(), self.new)

    def test_instance_goes_on_to_another_revision_during_a_transfer(self):
        self._receive(self.peers[0], 1)
        self.peers[0].sender.replace(3, self.newer)
        self._receive(self.peers[0], 1)
        self.assertEqual(self.receiver.take(), self.new)

    def test_newer_revision_replaces_a_transfer(self):
        self._receive(self.peers[0], 1)
        other = Peer()
        other.sender.replace(3, self.newer)
        self._receive(other, 4)
        self.assertEqual(self.receiver.take(), self.newer)

    @parameterized.expand([("goes on", 0.5, 0), ("stalls", 2.0, 1)])
    def test_other_delta_of_the_revision(self, _name, seconds, missing):
        self._receive(self.peers[0], 1)
        # It does not know the document of the receiver.
        other = Peer()
        other.sender.replace(2, self.new)
        self.assertEqual(self._receive(other, 1, seconds), missing)

    def test_whole_document_after_a_wrong_delta(self):
        page = self.peers[0].page(self.receiver, 1, self.old)
        wrong = attrs.evolve(page, data=b"x", size=1)
        self.receiver.add(0.0, wrong, self.old)
        with self.assertRaises(delta.DeltaError):
            self.receiver.take()
        self._receive(self.peers[0], 4)
        self.assertEqual(self.receiver.take(), self.new)

    def test_repeated_page(self):
        page = self.peers[0].page(self.receiver, 1, self.old)
        added = [self.receiver.add(0.0, page, self.old) for _ in range(2)]
        self.assertEqual(added, [True, False])

    def test_nothing_newer(self):
        request = transfer.Request(2, delta.digest(self.new))
        self.assertEqual(self.peers[0].sender.page(request, 0, 0), b"")

    def test_version_of_the_sent_revision_only(self):
        self._receive(self.peers[0], 1)
        self.peers[0].sender.replace(3, self.newer)
        page = self.peers[0].page(self.receiver, 1, self.old)
        self.assertEqual((page.revision, page.version), (2, 0))

    @hypothesis.given(strategies.binary(max_size=80))
    def test_arbitrary_messages(self, message):
        for decode in (transfer.Request.decode, transfer.Page.decode):
            try:
                decode(message)
            except delta.DeltaError:
                continue
