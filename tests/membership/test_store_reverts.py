"""Tests of a fleet whose store reverts to an older copy."""

import base64
import hashlib
import itertools
import json
import unittest

from parameterized import parameterized

from cicadafront.config import follow
from cicadafront.membership import (
    departures,
    registration,
    rewriting,
    stored_facts,
)
from tests.membership.store_world import World

INSTANCES = 6
# Time in which an instance that just started hears of a newer configuration.
HEAR_SECONDS = 1.2
# When an event happens: before the copy, between the copy and the outage, so
# that its writes are lost, in the outage, or before anything is written again.
TIMES = ("before", "lost", "during", "after")
EVENTS = ("departure", "crash report", "withdrawn key", "change")
RESTARTS = {"stop": [0], "kill of a third": [0, 1], "others": [4, 5]}
CASES = [
    ("_".join(case).replace(" ", "_"), *case)
    for case in itertools.product(EVENTS, TIMES, ["none", *RESTARTS], TIMES)
    if case[2] != "none" or case[3] == "after"
]


class Drill:
    """Events around one revert of the store."""

    def __init__(self, world):
        self.world = world
        self.acknowledged = False
        self.revision = 1
        self.withdrawn = False
        self.watched = []

    def happen(self, event):
        world = self.world
        match event:
            case "departure":
                self.leave()
            case "withdrawn key":
                self.withdrawn = True
                self.configure("k1")
            case "crash report":
                self.world.report_crash()
            case "change":
                self.configure("k1", "k2")
            case "none":
                pass
            case _:
                for number in RESTARTS[event]:
                    world.restart(number)

    def configure(self, *keys):
        self.revision += 1
        self.world.configure(self.revision, *keys)

    def leave(self):
        statuses = self.world.first.say("deregister")
        self.world.run(1.0)
        self.acknowledged |= statuses == [200]


class StoreRevertsTest(unittest.TestCase):
    """Guards against effects of lost writes and of reused revisions."""

    def drill(self, events, world=None):
        """Reverts the store; runs the events of each time in between.

        A change of the operators is possible while the instances do not reach
        the store: they do not depend on the links of the instances.
        """
        world = world or World(INSTANCES, era=1)
        drill = Drill(world)

        def happen(time):
            for event, when in events:
                if when == time:
                    drill.happen(event)

        world.run(2)
        happen("before")
        world.run(1)
        copy = world.store.copy()
        world.run(1)
        happen("lost")
        world.run(2)
        world.set_store("refuses")
        happen("during")
        world.run(0.5)
        world.store.revert(copy)
        world.set_store("answers")
        world.run(0.3)
        happen("after")
        return drill

    def entries(self, world):
        """Returns the entries in the store by instance."""
        found = {}
        for key, item in world.store._items.items():
            if key.startswith(registration.PREFIX) and not key.endswith(
                stored_facts.KEY_SUFFIX
            ):
                found[key.removeprefix(registration.PREFIX)] = item
        return found

    @parameterized.expand(CASES)
    def test_drill(self, _name, event, when, restart, restarted):
        drill = self.drill([(event, when), (restart, restarted)])
        world = drill.world
        known = max(each.held.revision for each in world.processes)
        world.run(HEAR_SECONDS)
        for each in world.processes:
            # Nobody serves what is older than the fleet knows.
            self.assertGreaterEqual(each.held.revision, known)
            self.assertEqual(each.revisions, sorted(each.revisions))
        self.check_target(drill)
        world.run(rewriting.SPREAD_SECONDS + 1.5)
        entries = self.entries(world)
        self.assertEqual(len(entries), INSTANCES)
        leases = {item["lease"] for item in entries.values()}
        self.assertEqual(len(leases), INSTANCES, "a lease has two owners")
        self.check_target(drill)
        # The operators write again what the store has lost.
        drill.configure(*(["k1"] if drill.withdrawn else ["k1", "k2"]))
        world.run(2)
        for each in world.processes:
            self.assertEqual(each.held.revision, drill.revision)
            self.assertEqual(b"k2" not in each.accepts, drill.withdrawn)
        for number in RESTARTS["kill of a third"]:
            world.restart(number)
        self.check_target(drill)
        if event == "crash report":
            for each in world.processes:
                payloads = [fact.payload for fact in each.facts._current()]
                self.assertIn(b"report", payloads)

    def check_target(self, drill):
        """Checks that a departure that was acknowledged is not forgotten."""
        drill.world.first.say("heartbeat", number=9)
        if drill.acknowledged:
            self.assertFalse(drill.world.first.uses_target)

    @parameterized.expand(["others_tell", "cut_off"])
    def test_process_that_ended_before_it_wrote_its_facts_again(self, links):
        # Guards against a process that takes the facts in a copy for complete.
        drill = self.drill([("departure", "lost")])
        self.assertTrue(drill.acknowledged)
        world = drill.world
        world.restart(0, linked=links == "others_tell")
        for _ in range(3):
            world.first.say("heartbeat", number=9)
            world.run(1)
            self.assertFalse(world.first.uses_target)
        world.first.linked = True
        world.run(4)
        world.first.say("heartbeat", number=10)
        self.assertFalse(world.first.uses_target)

    def test_wait_for_the_facts_ends(self):
        # Guards against an instance alone whose target gets no requests.
        drill = self.drill([("others", "lost")])
        drill.world.restart(0, linked=False)
        drill.world.first.say("heartbeat", number=9)
        drill.world.run(1)
        self.assertFalse(drill.world.first.facts.complete)
        drill.world.run(stored_facts.RESTORE_SECONDS)
        drill.world.first.say("heartbeat", number=10)
        self.assertTrue(drill.world.first.uses_target)

    def test_all_instances_learn_at_once_that_the_store_reverted(self):
        world = World(40, era=1)
        self.drill([], world)
        world.run(1)
        self.assertEqual({each.client.era for each in world.processes}, {2})

    def test_writes_are_spread(self):
        world = World(100, era=1)
        for view in world.views.values():
            view.calls.clear()
        drill = self.drill([], world)
        world.run(rewriting.SPREAD_SECONDS + 2)
        calls = [call for view in world.views.values() for call in view.calls]
        writes = [time for method, _, time in calls if method == "POST"]
        busiest = max(
            sum(start <= time < start + 1 for time in writes)
            for start in writes
        )
        # A lease and an entry for each in 1.5 s are 133 a second.
        self.assertLessEqual(busiest, 170)
        self.assertEqual(len(self.entries(drill.world)), 100)

    def test_calls_stay_few_while_the_store_shows_an_older_copy(self):
        # Guards against watches that end at once, and are repeated at once.
        drill = self.drill([("change", "lost")])
        drill.world.run(8)
        view = drill.world.views["n1"]
        view.calls.clear()
        drill.world.run(60)
        watches = [path for _, path, _ in view.calls if "kv-watch" in path]
        self.assertLessEqual(len(watches), 60 / 2 + 3)
        self.assertLessEqual(len(view.calls) - len(watches), 6)

    def test_configuration_of_a_lower_revision_of_the_store(self):
        # Guards against an instance that only reads the store sometimes, and
        # takes what was written after the revert for older.
        world = World(40, era=1)
        watchers = world.first.follower._watchers()
        alone = next(p for p in world.processes if p.name not in watchers)
        copy = world.store.copy()
        for _ in range(200):
            world.configure(1, "k1", "k2")
        world.run(3 * follow.STALE_READ_SECONDS)
        world.store.revert(copy)
        world.run(5)
        alone.linked = False
        world.configure(2, "k1")
        world.run(follow.STALE_READ_SECONDS + 1)
        self.assertEqual(alone.held.revision, 2)

    @parameterized.expand(
        [("one_after_the_other", 6.0), ("before_anything_is_written", 0.2)]
    )
    def test_two_reverts(self, _name, seconds):
        drill = self.drill([("departure", "lost")])
        world = drill.world
        world.run(seconds)
        world.store.revert(world.store.copy())
        world.run(20 + rewriting.SPREAD_SECONDS + 2)
        self.assertEqual({each.client.era for each in world.processes}, {3})
        values = [item["value"] for item in self.entries(world).values()]
        eras = {json.loads(base64.b64decode(each))["era"] for each in values}
        self.assertEqual(eras, {3})
        self.check_target(drill)

    def test_fact_that_was_withdrawn_does_not_come_back(self):
        # A copy shows what its owner has removed since.
        world = World(3, era=1)
        facts = world.first.facts
        payload = departures.encode("n1", "t9", 5)
        facts.add(departures.TOPIC, b"t9", payload, own=True)
        world.run(1)
        copy = world.store.copy()
        facts.discard(departures.TOPIC, b"t9")
        world.run(1)
        world.store.revert(copy)
        world.run(30)
        self.assertEqual(facts.for_store(), [])
        key = registration.entry_key("n1") + stored_facts.KEY_SUFFIX
        self.assertNotIn(key, world.store._items)

    def test_store_without_eras_gets_no_further_calls(self):
        calls = []
        for era in (None, 1):
            world = World(3, era=era)
            world.first.say("deregister")
            world.run(60)
            calls.append({name: v.calls for name, v in world.views.items()})
        self.assertEqual(calls[0], calls[1])

    def test_calls_are_those_before_eras_were_known(self):
        # The digest covers method, path and time of each call. It is that of
        # the code that knew no eras, but for the calls for the configuration:
        # after an outage a short watch replaces the read.
        world = World(12)
        world.run(5)
        world.first.say("deregister")
        world.run(5)
        world.configure(2, "k1")
        world.run(5)
        world.set_store("late")
        world.report_crash()
        world.run(8)
        world.set_store("silent")
        world.run(6)
        world.set_store("answers")
        world.run(5)
        world.store.lapse()
        for number in (0, 3):
            world.restart(number)
        world.run(30)
        world.set_store("refuses")
        world.run(4)
        world.restart(5)
        world.set_store("answers")
        world.configure(3, "k2")
        world.run(60)
        calls = {name: view.calls for name, view in world.views.items()}
        self.assertEqual(sum(map(len, calls.values())), 421)
        digest = hashlib.sha256(json.dumps(calls).encode()).hexdigest()
        self.assertEqual(digest[:16], "23676ac7c7c3b349")


if __name__ == "__main__":
    unittest.main()
