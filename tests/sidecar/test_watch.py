"""Tests of the log lines about state changes of other instances."""

import io
import json
import unittest

import attrs
import eliot

from cicadafront import ports
from cicadafront.sidecar import watch


class Directory:
    """A directory whose instances a test can change."""

    def __init__(self):
        self.known = [ports.InstanceInfo("n2", 7, "dc", ("", 0))]
        self.changed = None

    def instances(self):
        return self.known

    def on_change(self, handler):
        self.changed = handler


class WatchTest(unittest.TestCase):
    """Guards against lines that name the logging instance, not the other."""

    def test_lost_instance_is_named(self):
        stream = io.StringIO()
        destination = eliot.FileDestination(file=stream)
        eliot.add_destinations(destination)
        self.addCleanup(eliot.remove_destination, destination)
        directory = Directory()
        watch.FleetWatch(directory)
        directory.changed()
        directory.known = [attrs.evolve(directory.known[0], alive=False)]
        directory.changed()
        line = json.loads(stream.getvalue().splitlines()[-1])
        self.assertEqual(line["text"], "membership: an instance is lost.")
        self.assertEqual((line["other"], line["before"]), ("n2", "alive"))
        self.assertNotIn("instance", line)
