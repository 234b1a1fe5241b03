"""Tests of parts, manifests, comparison and the active revision."""

import random
import unittest
import zlib

import attrs
from parameterized import parameterized

from cicadafront.config import compare, current, model, parts
from tests.config.support import large, sample


def publish(configuration, parent=None, write="w"):
    """Returns a manifest and a cache with its parts."""
    divided = parts.divide(configuration)
    digests = {name: digest for name, (digest, _) in divided.items()}
    cache = parts.PartCache()
    for digest, packed in divided.values():
        cache.add(digest, packed)
    return parts.successor(parent, digests, write, "asha", 1.0), cache


class PartTest(unittest.TestCase):
    """Guards against configurations altered by encoding or corruption."""

    def test_configuration_round_trip(self):
        configuration = sample()
        manifest, cache = publish(configuration)
        again = parts.unpack_manifest(manifest.pack(), manifest.digest)
        self.assertEqual(again, manifest)
        built = cache.build(again)
        self.assertEqual(compare.changes(configuration, built), [])
        self.assertEqual(built.revision, 1)
        self.assertEqual(built.digest.hex(), manifest.digest)

    def test_encoding_does_not_depend_on_order(self):
        first = sample()
        other = attrs.evolve(
            first,
            accounts=dict(reversed(first.accounts.items())),
            keys=dict(reversed(first.keys.items())),
        )
        self.assertEqual(parts.divide(first), parts.divide(other))

    def test_target_size_stays_below_the_value_limit(self):
        configuration = large()
        divided = parts.divide(configuration)
        manifest, cache = publish(configuration)
        sizes = [len(packed) for _, packed in divided.values()]
        self.assertLess(max(sizes), 1_000_000)
        self.assertLess(len(manifest.pack()), 1_000_000)
        self.assertEqual(len(cache.build(manifest).routes), 8_000)
        account = configuration.accounts["account-7"]
        changed = attrs.evolve(
            configuration,
            accounts=configuration.accounts
            | {account.id: attrs.evolve(account, rate=3.5)},
        )
        before = {digest for digest, _ in divided.values()}
        fresh = [
            len(packed)
            for digest, packed in parts.divide(changed).values()
            if digest not in before
        ]
        self.assertEqual(len(fresh), 1)
        self.assertLess(fresh[0], 20_000)
        print(
            f"parts {len(sizes)}, largest {max(sizes)}, all {sum(sizes)},"
            f" manifest {len(manifest.pack())}, one change {fresh[0]} bytes"
        )

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(3)])
    def test_damaged_parts_are_refused(self, _name, seed):
        rng = random.Random(seed)
        digest, packed = next(iter(parts.divide(sample()).values()))
        for _ in range(200):
            damaged = bytearray(packed)
            match rng.randrange(3):
                case 0:
                    damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(
                        8
                    )
                case 1:
                    del damaged[rng.randrange(len(damaged)) :]
                case _:
                    damaged = bytearray(rng.randbytes(len(damaged)))
            cache = parts.PartCache()
            try:
                cache.add(digest, bytes(damaged))
            except parts.PartDamagedError:
                self.assertIsNone(cache.packed(digest))
            else:  # the flipped bit did not affect the content
                self.assertEqual(parts.unpack(bytes(damaged))[1], digest)

    @parameterized.expand(
        [
            ("no JSON", zlib.compress(b"{")),
            ("no object", parts.pack([1])[1]),
            ("no parts", parts.pack({"format": 1})[1]),
            ("other format", parts.pack({"format": 9})[1]),
            ("deep", zlib.compress(b"[" * 200_000)),
            ("too large", zlib.compress(b" " * (17 << 20))),
        ]
    )
    def test_damaged_manifests_are_refused(self, _name, packed):
        with self.assertRaises(parts.PartDamagedError):
            parts.unpack_manifest(packed)

    def test_differences(self):
        old, new = sample(rate=1.0), sample(rate=2.0, accounts=2)
        found = [
            (c.section, c.entry, c.key, c.before, c.after)
            for c in compare.changes(old, new)
        ]
        self.assertEqual(found[0][:4], ("accounts", "account-1", "burst", 20.0))
        self.assertIn(("accounts", "amani", "rate", 1.0, 2.0), found)
        self.assertIn(("keys", "k2", "account", "account-1", None), found)
        self.assertEqual(len(found), 6)


class CurrentTest(unittest.TestCase):
    """Guards against an instance that reverts to an older revision."""

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(5)])
    def test_revision_never_goes_back(self, _name, seed):
        rng = random.Random(seed)
        published, parent = [], None
        for number in range(12):
            parent, cache = publish(
                sample(rate=1.0 + number), parent, write=str(number)
            )
            published.append((parent, cache))
        holder = current.CurrentConfiguration()
        seen = []
        holder.on_change(lambda c: seen.append(c.revision))
        for _ in range(60):
            manifest, cache = rng.choice(published)
            before = holder.revision
            accepted = holder.offer(manifest, cache)
            self.assertEqual(accepted, manifest.revision > before)
            self.assertEqual(
                holder.configuration.accounts["amani"].rate, holder.revision
            )
        self.assertEqual(seen, sorted(set(seen)))

    def test_missing_part_leaves_the_old_revision_in_force(self):
        holder = current.CurrentConfiguration()
        manifest, cache = publish(sample())
        holder.offer(manifest, cache)
        newer, _ = publish(sample(rate=2.0), manifest)
        with self.assertRaises(parts.PartDamagedError):
            holder.offer(newer, cache)
        self.assertEqual(holder.revision, 1)

    def test_other_content_of_the_same_revision_is_ignored(self):
        holder = current.CurrentConfiguration()
        holder.offer(*publish(sample(rate=1.0)))
        self.assertFalse(holder.offer(*publish(sample(rate=2.0))))
        self.assertIsInstance(holder.configuration, model.Configuration)
        self.assertEqual(holder.configuration.accounts["amani"].rate, 1.0)
