"""Tests of starting, restarting and stopping the components of a daemon."""

import random
import unittest

from twisted.internet import defer, error, protocol, task

from cicadafront import loops
from cicadafront.daemon import supervisor

SEED = 20261204


class Component:
    """A component that records its calls."""

    def __init__(self, name, log, problem=None):
        self.name = name
        self._log = log
        self._problem = problem

    def start(self):
        self._log.append(f"start {self.name}")
        if self._problem is not None:
            raise self._problem

    def stop(self):
        self._log.append(f"stop {self.name}")


class TreeTest(unittest.TestCase):
    """Guards against a daemon that runs without one of its components."""

    def _tree(self, *components):
        tree = supervisor.Supervisor()
        for component in components:
            tree.add(component)
        return tree

    def test_order(self):
        log = []
        tree = self._tree(Component("a", log), Component("b", log))
        tree.start()
        tree.stop()
        self.assertEqual(log, ["start a", "start b", "stop b", "stop a"])

    def test_failed_start(self):
        log = []
        broken = Component("b", log, OSError("no room"))
        tree = self._tree(Component("a", log), broken, Component("c", log))
        seen = []
        tree.start().addErrback(lambda reason: seen.append(reason.value))
        self.assertEqual(log, ["start a", "start b", "stop a"])
        self.assertEqual(seen[0].message, "daemon: b did not start: no room")


class Reactor(task.Clock):
    """A reactor whose ports the test can close or block."""

    def __init__(self):
        super().__init__()
        self.factories = []
        self.taken = False

    def listenTCP(self, port, factory, backlog, interface):  # noqa: N802
        if self.taken:
            raise error.CannotListenError(interface, port, OSError("taken"))
        self.factories.append(factory)
        factory.doStart()
        return self

    def getHost(self):  # noqa: N802
        return self

    @property
    def port(self):
        return 7

    def doRead(self):  # noqa: N802
        self.accepted = True

    def stopListening(self):  # noqa: N802
        self.factories[-1].doStop()


class ListenerTest(unittest.TestCase):
    """Guards against a listener that stays closed after a failure."""

    def setUp(self):
        self.reactor = Reactor()
        self.listener = supervisor.Listener(
            "listener",
            self.reactor,
            ("127.0.0.1", 0),
            protocol.Factory(),
            random.Random(SEED),
        )
        self.listener.start()

    def test_lost_listener_is_opened_again(self):
        self.reactor.taken = True
        self.reactor.factories[-1].doStop()
        self.reactor.advance(supervisor.Backoff.INITIAL_SECONDS)
        self.assertEqual(len(self.reactor.factories), 1)
        self.assertFalse(self.listener.open)
        self.reactor.taken = False
        self.reactor.advance(2 * supervisor.Backoff.INITIAL_SECONDS)
        self.assertEqual(len(self.reactor.factories), 2)
        self.assertEqual(self.listener.port, 7)
        self.assertTrue(self.listener.open)

    def test_stopped_listener_stays_closed(self):
        self.listener.stop()
        self.assertTrue(self.reactor.accepted)
        self.reactor.advance(60)
        self.assertEqual(len(self.reactor.factories), 1)


class PeriodicTest(unittest.TestCase):
    """Guards against a periodic task that ends at its first failure."""

    def _periodic(self, action):
        clock = task.Clock()
        rng = random.Random(SEED)
        timing = loops.periodic(1.0)
        periodic = loops.Loop("task", action, timing, clock, rng)
        periodic.start()
        return clock, periodic

    def test_failures_delay_the_next_run(self):
        runs = []

        def action():
            runs.append(clock.seconds())
            if len(runs) < 10:
                return defer.fail(OSError("x"))
            return None

        clock, periodic = self._periodic(action)
        for _ in range(2000):
            clock.advance(0.1)
        gaps = [b - a for a, b in zip(runs, runs[1:], strict=False)]
        self.assertGreater(len(runs), 20)
        self.assertGreater(max(gaps), 10)
        self.assertLessEqual(max(gaps), loops.periodic(1.0).max_backoff)
        self.assertAlmostEqual(gaps[-1], 1.0, delta=0.15)

    def test_stop(self):
        runs = []
        clock, periodic = self._periodic(lambda: runs.append(1))
        clock.advance(1)
        periodic.stop()
        clock.advance(10)
        self.assertEqual(runs, [1])
