"""Release of shards of lost processes and clearing of unclean claims."""

import unittest
from unittest import mock

import attrs

from cicadafront.limits import claims, release, shards
from tests.limits.fixtures import FleetFixture
from tests.limits.stops import stored_claim


class ReleaseTest(unittest.TestCase):
    """Guards against two owners and against shards that stay unusable.

    A wrong release can lead to two owners. A shard stays unusable if its owner
    and deputy are lost, or if its claim is unclean and is never cleared.
    """

    def setUp(self):
        self.enterContext(mock.patch.object(shards, "SHARDS", 1))
        self.fixture = FleetFixture(1)

    def lose_owner_and_deputy(self):
        """Crashes the hosts of owner and deputy.

        Connections to them time out, which does not prove that they ended.
        """
        self.fixture.owner.process.crash(True)
        self.fixture.deputy.process.crash(True)
        self.fixture.watched.advance(60)
        self.assertEqual(self.fixture.fleet.acting(0), [])

    def ask(self, name, node=None, shard=0):
        """Returns the results of an operator's request."""
        node = node or self.fixture.others[0]
        answers = []

        def send():
            asked = getattr(node.limits.releases, name)(shard)
            asked.addBoth(answers.append)

        node.process.run(send)
        self.fixture.watched.advance(3)
        return answers

    def refusal(self, name, node=None, shard=0):
        """Returns the error message of a refused request."""
        (answer,) = self.ask(name, node, shard)
        answer.trap(release.ReleaseRefusedError)
        return answer.value.message

    def begin(self, key):
        self.fixture.watched.begin(self.fixture.others[0], "amani", key)
        self.fixture.watched.advance(6)

    def test_release_after_loss_of_owner_and_deputy(self):
        self.lose_owner_and_deputy()
        self.assertEqual(
            self.ask("release"),
            [{"epoch": 1, "owner": self.fixture.owner.process.info.id}],
        )
        self.fixture.watched.advance(1)
        self.assertEqual(len(self.fixture.fleet.acting(0)), 1)
        self.begin("k")
        self.assertEqual(
            self.fixture.watched.errors, [("k", "outcome_unknown")]
        )

    def test_clear_allows_new_keys(self):
        self.lose_owner_and_deputy()
        self.ask("release")
        self.begin("k")
        self.assertFalse(self.fixture.watched.runs)
        for node in self.fixture.others:
            if not node.acts(0):
                self.ask("clear", node)
                break
        self.begin("new")
        self.assertEqual(len(self.fixture.watched.runs), 1)
        self.assertEqual(stored_claim(self.fixture).unclean_at, 0.0)

    def test_refused_while_the_owner_is_alive(self):
        owner = self.fixture.owner.process.info.id
        message = self.refusal("release")
        self.assertIn(f"the owner of shard 0, instance {owner}, is", message)
        self.assertIn("stop its process", message)
        self.assertFalse(stored_claim(self.fixture).released)

    def test_refused_while_the_deputy_is_alive(self):
        self.fixture.owner.process.crash(True)
        self.fixture.cut_from_store(self.fixture.deputy)
        self.fixture.watched.advance(10)
        deputy = self.fixture.deputy.process.info.id
        self.assertIn(
            f"the deputy of shard 0, instance {deputy}, is alive",
            self.refusal("release"),
        )
        self.assertFalse(stored_claim(self.fixture).released)

    def test_refused_while_a_lease_is_live(self):
        """A process that gossip reports as dead may still act."""
        owner = self.fixture.owner.process.info.id
        rest = set(self.fixture.fleet.nodes) - {owner}
        self.fixture.fleet.split({owner}, rest)
        self.fixture.fleet.split(rest, {owner})
        self.fixture.watched.advance(10)
        self.assertIn(f"instance {owner}, is alive", self.refusal("release"))

    def test_refused_without_store(self):
        self.fixture.fleet.store.up = False
        self.assertIn("once it does", self.refusal("clear"))

    def test_refused_for_unknown_shard(self):
        self.assertIn("from 0 to 0", self.refusal("release", None, 7))

    def test_live_owner_clears_a_release(self):
        """A wrong release must not allow a claim without proof much later."""
        store = self.fixture.fleet.store
        claim = attrs.evolve(stored_claim(self.fixture), released=True)
        version = store.items["owner/0"].version
        store.put("owner/0", claims.encode(claim), version, "")
        self.fixture.watched.advance(65)
        self.assertFalse(stored_claim(self.fixture).released)
        self.assertTrue(self.fixture.owner.acts(0))


if __name__ == "__main__":
    unittest.main()
