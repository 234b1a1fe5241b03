"""Tests of the HTTP endpoints and of the reload of settings."""

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
    """Guards against a response before the request is complete."""

    def setUp(self):
        self.calls = []
        self.caller = memory.Response()
        handler = endpoints.EndpointHandler(self.answer)
        head = model.RequestHead("POST", "/x", ())
        self.sink = handler.begin(head, "", self.caller)

    def answer(self, head, body):
        """Records the request."""
        self.calls.append((head.path, body))
        return endpoints.Response(200, b"{}")

    def test_complete_request(self):
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
    """Guards against changed settings that are lost or applied wrongly.

    The file may be invalid or absent while it is replaced; the settings in
    force then stay, and a later valid file still takes effect.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.toml"
        self.path.write_text(GOOD)
        self.applied = []
        clock = task.Clock()
        self.file = reload.SettingsFile(
            self.path,
            clock,
            loops.Loops(clock, random.Random(1)),
            settings.load(self.path),
            self.applied.append,
        )

    def test_unchanged(self):
        self.file.check()
        self.file.read()
        self.assertEqual(self.applied, [])

    def test_changed(self):
        self.path.write_text(GOOD.replace("reads", "writes"))
        self.file.check()
        self.file.check()
        self.assertEqual([new.service for new in self.applied], ["writes"])

    def test_invalid(self):
        self.path.write_text("instance = ")
        self.file.check()
        self.assertEqual(self.applied, [])
        self.path.write_text(GOOD.replace("reads", "writes"))
        self.file.read()
        self.assertEqual(len(self.applied), 1)

    def test_missing_file(self):
        self.path.unlink()
        self.file.check()
        self.assertEqual(self.applied, [])
