"""Operators release shards of lost processes and clear unclean ones."""

import unittest
from unittest import mock

import attrs

from cicadafront.limits import claims, release, shards
from tests.limits.scenes import Scene
from tests.limits.stops import claim_of


class ReleaseTest(unittest.TestCase):
    """Guards against two owners and against shards that stay unusable."""

    def setUp(self):
        self.enterContext(mock.patch.object(shards, "SHARDS", 1))
        self.scene = Scene(1)

    def lose_pair(self):
        """Loses the hosts of owner and deputy, which proves nothing."""
        self.scene.owner.process.crash(True)
        self.scene.deputy.process.crash(True)
        self.scene.watched.advance(60)
        self.assertEqual(self.scene.fleet.acting(0), [])

    def ask(self, name, node=None, shard=0):
        """Returns the answers to an operator's request."""
        node = node or self.scene.others[0]
        answers = []

        def send():
            asked = getattr(node.limits.releases, name)(shard)
            asked.addBoth(answers.append)

        node.process.run(send)
        self.scene.watched.advance(3)
        return answers

    def refusal(self, name, node=None, shard=0):
        """Returns the message with which a request is refused."""
        (answer,) = self.ask(name, node, shard)
        answer.trap(release.ReleaseRefusedError)
        return answer.value.message

    def begin(self, key):
        self.scene.watched.begin(self.scene.others[0], "amani", key)
        self.scene.watched.advance(6)

    def test_release_of_a_lost_pair(self):
        self.lose_pair()
        self.assertEqual(
            self.ask("release"),
            [{"epoch": 1, "owner": self.scene.owner.process.info.id}],
        )
        self.scene.watched.advance(1)
        self.assertEqual(len(self.scene.fleet.acting(0)), 1)
        self.begin("k")
        self.assertEqual(self.scene.watched.errors, [("k", "outcome_unknown")])

    def test_clear_lets_new_keys_run(self):
        self.lose_pair()
        self.ask("release")
        self.begin("k")
        self.assertFalse(self.scene.watched.runs)
        for node in self.scene.others:
            if not node.acts(0):
                self.ask("clear", node)
                break
        self.begin("new")
        self.assertEqual(len(self.scene.watched.runs), 1)
        self.assertEqual(claim_of(self.scene).unclean_at, 0.0)

    def test_refused_while_the_owner_lives(self):
        owner = self.scene.owner.process.info.id
        message = self.refusal("release")
        self.assertIn(f"the owner of shard 0, instance {owner}, is", message)
        self.assertIn("stop its process", message)
        self.assertFalse(claim_of(self.scene).released)

    def test_refused_while_the_deputy_lives(self):
        self.scene.owner.process.crash(True)
        self.scene.cut_from_store(self.scene.deputy)
        self.scene.watched.advance(10)
        deputy = self.scene.deputy.process.info.id
        self.assertIn(
            f"the deputy of shard 0, instance {deputy}, is alive",
            self.refusal("release"),
        )
        self.assertFalse(claim_of(self.scene).released)

    def test_refused_while_a_lease_lives(self):
        """A process that gossip believes dead may still act."""
        owner = self.scene.owner.process.info.id
        rest = set(self.scene.fleet.nodes) - {owner}
        self.scene.fleet.split({owner}, rest)
        self.scene.fleet.split(rest, {owner})
        self.scene.watched.advance(10)
        self.assertIn(f"instance {owner}, is alive", self.refusal("release"))

    def test_refused_without_store(self):
        self.scene.fleet.store.up = False
        self.assertIn("once it does", self.refusal("clear"))

    def test_refused_for_unknown_shard(self):
        self.assertIn("from 0 to 0", self.refusal("release", None, 7))

    def test_live_owner_withdraws_a_release(self):
        """A wrong release must not allow an unproved claim much later."""
        store = self.scene.fleet.store
        claim = attrs.evolve(claim_of(self.scene), released=True)
        version = store.items["owner/0"].version
        store.put("owner/0", claims.encode(claim), version, "")
        self.scene.watched.advance(65)
        self.assertFalse(claim_of(self.scene).released)
        self.assertTrue(self.scene.owner.acts(0))


if __name__ == "__main__":
    unittest.main()
