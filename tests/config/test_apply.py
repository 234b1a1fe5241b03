"""Tests of applying configurations to a store with intermittent faults."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront.config import apply, compare
from cicadafront.emulator import store as emulator
from tests.config.support import sample
from tests.store.support import code, result


class SwapHookStore(emulator.EmulatedStore):
    """Calls a hook before each write of the manifest."""

    def __init__(self, clock, values, hook):
        super().__init__(clock, values)
        self.hook = hook

    def put(self, key, value, expected=None, lease=""):
        if key == apply.MANIFEST_KEY:
            self.hook(self)
        return super().put(key, value, expected, lease)


class ApplyTest(unittest.TestCase):
    """Guards against lost, duplicated or wrongly reported changes.

    They arise if operators apply at the same time, or if a request to the
    store or its answer is lost.
    """

    def setUp(self):
        self.clock = task.Clock()
        self.store = emulator.EmulatedStore(self.clock)
        self.serial = 0

    def start(self, rate, author="asha", store=None, base=None):
        self.serial += 1
        return defer.ensureDeferred(
            apply.Applier(store or self.store, self.clock).apply(
                sample(rate=rate),
                author=author,
                write=f"w{self.serial}",
                time=1.0,
                base=base,
            )
        )

    def stored_manifest(self):
        return result(
            defer.ensureDeferred(apply.read_manifest(self.store))
        ).manifest

    def test_apply_and_read_back(self):
        first = result(self.start(1.0))
        second = result(self.start(2.0))
        same = result(self.start(2.0))
        self.assertEqual((first.revision, second.revision), (1, 2))
        self.assertEqual((second.parts_written, same.changed), (1, False))
        manifest = self.stored_manifest()
        self.assertEqual(manifest.parent, first.digest)
        built = result(
            defer.ensureDeferred(apply.read_configuration(self.store, manifest))
        )
        self.assertEqual(compare.changes(built, sample(rate=2.0)), [])
        records = result(defer.ensureDeferred(apply.history(self.store)))
        self.assertEqual([r["revision"] for r in records], [1, 2])

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(10)])
    def test_racing_operators(self, _name, seed):
        rng = random.Random(seed)
        result(self.start(1.0))
        outcomes = {}
        for number in range(4):
            store = self.store.with_shared_data()
            store.faults.slow = rng.uniform(0.01, 0.5)
            author = f"operator {number}"
            applying = self.start(2.0 + number, author, store)
            applying.addBoth(
                lambda value, author=author: outcomes.update({author: value})
            )
        self.clock.pump([0.01] * 1000)
        won = [
            name
            for name, value in outcomes.items()
            if isinstance(value, apply.Applied)
        ]
        # Those that read the manifest after a swap get a later revision.
        self.assertEqual(len(outcomes), 4)
        self.assertEqual(self.stored_manifest().revision, 1 + len(won))
        written = {w.revision: w.author for w in self.stored_manifest().recent}
        self.assertEqual(sorted(written.values()), sorted(["asha", *won]))
        for name in outcomes.keys() - set(won):
            error = outcomes[name].value
            self.assertEqual(error.code, "apply_lost")
            self.assertEqual(
                written[error.winner.revision], error.winner.author
            )
            self.assertIn(error.winner.author, error.message)

    @parameterized.expand(
        [
            ("answer lost", "answer", 0, "ok", "w1"),
            ("request lost", "request", 0, "ok", "w1"),
            ("answer lost, others follow", "answer", 3, "ok", "w4"),
            ("request lost, other wins", "request", 1, "apply_lost", "w2"),
            ("answer lost, many follow", "answer", 9, "apply_unknown", "w10"),
        ]
    )
    def test_lost_swap(self, _name, kind, others, wanted, newest):
        pending = [True]

        def hook(store):
            if pending:
                pending.pop()
                setattr(store.faults, f"lose_{kind}s", 1)

        store = SwapHookStore(self.clock, self.store._values, hook)
        real_get = store.get

        def get(key):
            # Others write between the lost call and the read that follows it.
            if key == apply.MANIFEST_KEY and not pending:
                store.get = real_get
                for number in range(others):
                    result(self.start(10.0 + number, f"other {number}"))
            return real_get(key)

        store.get = get
        applying = self.start(5.0, store=store)
        self.clock.pump([0.5] * 10)
        self.assertEqual(code(applying), wanted)
        self.assertEqual(self.stored_manifest().write, newest)
        ours = kind == "answer" or wanted == "ok"
        self.assertEqual(self.stored_manifest().revision, others + ours)

    @parameterized.expand([("before", "request"), ("after", "answer")])
    def test_outage_during_the_swap_is_reported_as_unknown(self, _name, kind):
        def hook(store):
            setattr(store.faults, f"lose_{kind}s", 1)
            self.clock.callLater(0, setattr, store.faults, "outage", True)
            store.faults.slow = 0.1

        store = SwapHookStore(self.clock, self.store._values, hook)
        applying = self.start(5.0, store=store)
        outcomes = []
        applying.addBoth(outcomes.append)
        self.clock.pump([0.1] * 100)
        self.assertEqual(outcomes, [], "reported before it was resolved")
        self.clock.pump([0.1] * 150)
        error = outcomes[0].value
        self.assertEqual(error.code, "apply_unknown")
        self.assertIn("write w1", error.message)
        self.assertEqual(self.stored_manifest() is not None, kind == "answer")

    def test_outage_before_the_swap_changes_nothing(self):
        self.store.set_outage(True)
        self.assertEqual(code(self.start(1.0)), "store_unavailable")
        self.store.set_outage(False)
        self.assertIsNone(self.stored_manifest())

    @parameterized.expand([("right", 1, "ok"), ("stale", 0, "apply_lost")])
    def test_base_revision(self, _name, base, wanted):
        result(self.start(1.0))
        self.assertEqual(code(self.start(2.0, base=base)), wanted)

    def test_old_parts_and_records_are_deleted(self):
        for number in range(apply.KEEP_PARTS + 30):
            result(self.start(1.0 + number % 7))
        found = result(self.store.list(apply.PART_PREFIX))
        self.assertLessEqual(len(found), 7 + 3)
        for digest in self.stored_manifest().parts.values():
            self.assertIn(apply.PART_PREFIX + digest, found)

    def test_missing_history_record_is_written_later(self):
        result(self.start(1.0))
        result(self.store.delete(apply.HISTORY_PREFIX + "1"))
        records = result(defer.ensureDeferred(apply.history(self.store)))
        self.assertEqual([r["write"] for r in records], ["w1"])
        result(self.start(2.0))
        records = result(defer.ensureDeferred(apply.history(self.store)))
        self.assertEqual([r["write"] for r in records], ["w1", "w2"])
