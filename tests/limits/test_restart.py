"""Tests of rate limits and retry budgets while a fleet restarts.

Instances that have just started know only part of the fleet, so several of
them can act as coordinator of the same account or budget at a time.
"""

import functools
import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors
from cicadafront.config import model as config_model
from cicadafront.limits import retries, shares
from cicadafront.membership import codec, gossip, transfer, view
from cicadafront.peer import failures
from cicadafront.sidecar import assembly
from tests.limits import test_retries, test_shares
from tests.membership import network

GOSSIP_PARAMETERS = gossip.Parameters(
    digest_seconds=1.5, broadcast_all_changes=True
)
TOLERANCE = test_shares.WindowTest.TOLERANCE
ALLOWANCE = test_retries.ALLOWANCE
CALL_SECONDS = 0.001
STEP_SECONDS = 0.01
SIZE = 30


class Instance:
    """One instance, with its view of the fleet and its admission."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.id = f"n{number}"
        self.core = fleet.net.start(
            self.id,
            fleet.incarnation,
            number=number,
            parameters=GOSSIP_PARAMETERS,
        )
        own = self.core.me.gossip_address
        self.core.seeds = sorted(fleet.listed - {own})
        fleet.listed.add(own)
        self.joined = False
        self.started = fleet.net.now
        self.handlers = {}
        self.admission = shares.SharedAdmission(
            self.id,
            fleet.clock,
            self,
            view.GossipDirectory(self.core),
            self.account,
            self.isolated,
            self.limit,
            lambda: len(self.core.seeds) + 1,
            lambda: fleet.net.now - self.started < assembly.SETTLE_SECONDS,
        )
        self.retries = retries.FleetRetryBudget(self.admission, ALLOWANCE)

    def account(self, id):
        """Returns the account or retry budget with an id."""
        return retries.budget_of(id, ALLOWANCE) or self.fleet.account

    def limit(self, account, seen):
        """Returns the limit that a coordinator applies."""
        if retries.is_budget(account.id):
            return ALLOWANCE.limit(seen)
        return TOLERANCE.limit(account)

    def isolated(self):
        """Returns whether the instance does not reach the fleet."""
        return not self.joined or self.core.isolated(self.fleet.net.now)

    def join(self):
        """Fetches the state of the fleet once it knows a peer."""
        peers = [
            self.fleet.running[id]
            for id in self.core.peers()
            if id in self.fleet.running
        ]
        if not self.joined and peers:
            now = self.fleet.net.now
            peer = self.fleet.rng.choice(peers)
            page = transfer.page(peer.core, "", now)
            self.core.load(now, codec.decode_page(page, now)[0])
            self.joined = True

    # Implements `ports.PeerCalls`.

    def register(self, method, handler):
        """Registers the handler of a method."""
        self.handlers[method] = handler

    def call(self, instance, method, body, timeout):
        """Calls another instance; times out if it is not running."""
        done = defer.Deferred()
        clock = self.fleet.clock
        other = self.fleet.running.get(instance)
        if other is None:
            error = failures.call_error("call_timeout", "gone")
            clock.callLater(timeout, done.errback, error)
            return done
        answer = defer.maybeDeferred(other.handlers[method], self.id, body)
        answer.addCallback(
            lambda found: clock.callLater(CALL_SECONDS, done.callback, found)
        )
        return done


class Fleet:
    """Instances on virtual time with load from one account to one service."""

    def __init__(self, seed, rate, burst):
        self.rng = random.Random(seed)
        self.net = network.Network(seed)
        self.clock = task.Clock()
        self.account = config_model.ClientAccount("a", rate, burst)
        # Addresses listed in the store; they outlive the processes.
        self.listed = set()
        self.running = {}
        self.incarnation = 1
        self.admitted = []
        self.sent = []
        self.repeats = []

    def start(self, number):
        """Starts an instance."""
        instance = Instance(self, number)
        self.running[instance.id] = instance

    def end(self, numbers):
        """Kills instances; the store still lists them."""
        for number in numbers:
            del self.running[f"n{number}"]
            self.net.stop(f"n{number}")
        self.incarnation += 1

    def start_within(self, numbers, first, last):
        """Starts instances at random times, `first` to `last` s from now."""
        for number in numbers:
            at = self.net.now + self.rng.uniform(first, last)
            self.net.at(at, functools.partial(self.start, number))

    def run(self, seconds, per_second):
        """Sends requests, each of which attempts a retry."""
        end = self.net.now + seconds
        owed = 0.0
        while self.net.now < end:
            self.net.run(STEP_SECONDS)
            self.clock.advance(self.net.now - self.clock.seconds())
            for instance in self.running.values():
                instance.join()
            owed += per_second * STEP_SECONDS
            while owed >= 1 and self.running:
                owed -= 1
                self.offer(self.rng.choice(list(self.running.values())))

    def offer(self, instance):
        """Sends one request to an instance."""
        now = self.net.now
        self.sent.append(now)
        instance.retries.request("s", now)
        asked = instance.retries.try_retry("s", now)
        asked.addCallback(lambda paid: paid and self.repeats.append(now))
        done = instance.admission.admit(self.account)
        done.addCallback(lambda _: self.admitted.append(now))
        done.addErrback(lambda reason: reason.trap(errors.RateExceededError))

    def excess_of_rate(self):
        """Returns the largest excess over the tolerance in a 5 s window."""
        configured = self.account.rate * TOLERANCE.seconds + self.account.burst
        most = configured * (1 + TOLERANCE.share) + TOLERANCE.extra
        return max(
            sum(t <= other < t + TOLERANCE.seconds for other in self.admitted)
            - most
            for t in self.admitted
        )

    def excess_of_repeats(self):
        """Returns the largest excess over the retry budget in a 10 s window."""
        excess = []
        for t in self.repeats:
            sent = max(
                sum(begin <= s < begin + 10 for s in self.sent)
                for begin in (t, t - 5, t - 10)
            )
            count = sum(t <= r < t + 10 for r in self.repeats)
            most = ALLOWANCE.share * sent + ALLOWANCE.extra
            excess.append(count - most)
        return max(excess)


class RestartTest(unittest.TestCase):
    """Guards against parts of a fleet that each grant the whole limit.

    While instances restart, parts of the fleet have not discovered each other,
    and each part has a coordinator of its own.
    """

    def assert_within_limits(self, fleet):
        """Checks the rate limit and the retry budget in each window."""
        self.assertLessEqual(fleet.excess_of_rate(), 0)
        self.assertLessEqual(fleet.excess_of_repeats(), 0)

    @parameterized.expand([(seed,) for seed in range(1, 6)])
    def test_all_restart_together(self, seed):
        fleet = Fleet(seed, 20.0, 20.0)
        fleet.start_within(range(SIZE), 0.0, 0.5)
        fleet.run(14, 60)
        fleet.end(range(SIZE))
        fleet.start_within(range(SIZE), 1.0, 2.0)
        fleet.run(10, 60)
        self.assert_within_limits(fleet)

    @parameterized.expand([(seed,) for seed in range(1, 6)])
    def test_one_stays_while_the_others_restart(self, seed):
        fleet = Fleet(seed, 10.0, 10.0)
        fleet.start_within(range(4), 0.0, 0.5)
        fleet.run(10, 60)
        fleet.end(range(3))
        fleet.run(5, 60)
        fleet.start_within(range(3), 0.0, 1.0)
        fleet.run(10, 60)
        self.assert_within_limits(fleet)
