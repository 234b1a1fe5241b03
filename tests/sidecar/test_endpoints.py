"""Tests of the small endpoints and of settings that change."""

import pathlib
import random
import tempfile
import unittest

from twisted.internet import task

from cicadafront import loops, model
from cicadafront.sidecar import endpoints, reload, settings
from tests.sidecar.test_settings import GOOD
from tests.support import memory


class EndpointTest(unittest.TestCase):
    """Guards against calls that are answered before they are whole."""

    def setUp(self):
        self.calls = []
        self.caller = memory.Response()
        handler = endpoints.EndpointHandler(self.answer)
        head = model.RequestHead("POST", "/x", ())
        self.sink = handler.begin(head, "", self.caller)

    def answer(self, head, body):
        """Notes the call."""
        self.calls.append((head.path, body))
        return endpoints.Response(200, b"{}")

    def test_whole_request(self):
        self.sink.body(b"a")
        self.sink.body(b"b")
        self.assertEqual(self.calls, [])
        self.sink.end()
        self.assertEqual(self.calls, [("/x", b"ab")])
        self.assertEqual(self.caller.events, [200, b"{}", "end"])

    def test_too_large(self):
        self.sink.body(b"x" * (endpoints.MAX_BODY_BYTES + 1))
        self.sink.end()
        self.assertEqual((self.calls, self.caller.events), ([], [413, "end"]))

    def test_cancelled(self):
        self.sink.cancel()
        self.sink.end()
        self.assertEqual(self.calls, [])


class ReloadTest(unittest.TestCase):
    """Guards against changed settings that are not taken, or taken badly."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.toml"
        self.path.write_text(GOOD)
        self.taken = []
        clock = task.Clock()
        self.file = reload.SettingsFile(
            self.path,
            clock,
            loops.Loops(clock, random.Random(1)),
            settings.load(self.path),
            self.taken.append,
        )

    def test_unchanged(self):
        self.file.check()
        self.file.read()
        self.assertEqual(self.taken, [])

    def test_changed(self):
        self.path.write_text(GOOD.replace("reads", "writes"))
        self.file.check()
        self.file.check()
        self.assertEqual([new.service for new in self.taken], ["writes"])

    def test_invalid(self):
        self.path.write_text("instance = ")
        self.file.check()
        self.assertEqual(self.taken, [])
        self.path.write_text(GOOD.replace("reads", "writes"))
        self.file.read()
        self.assertEqual(len(self.taken), 1)

    def test_gone(self):
        self.path.unlink()
        self.file.check()
        self.assertEqual(self.taken, [])
