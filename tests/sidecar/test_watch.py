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
        self.changes = {"n2"}
        self.asked = []
        self.changed = None

    def instance(self, id):
        self.asked.append(id)
        return next((info for info in self.known if info.id == id), None)

    def take_changed_instances(self):
        taken, self.changes = self.changes, set()
        return taken

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
        directory.changes = {"n2"}
        directory.changed()
        line = json.loads(stream.getvalue().splitlines()[-1])
        self.assertEqual(line["text"], "membership: an instance is lost.")
        self.assertEqual((line["other"], line["before"]), ("n2", "alive"))
        self.assertNotIn("instance", line)

    def test_change_costs_the_changed_instances_only(self):
        directory = Directory()
        watch.FleetWatch(directory)
        directory.changed()
        directory.known += [
            ports.InstanceInfo(f"n{number}", 1, "dc", ("", 0))
            for number in range(3, 300)
        ]
        directory.asked.clear()
        directory.changes = {"n7"}
        directory.changed()
        self.assertEqual(directory.asked, ["n7"])
