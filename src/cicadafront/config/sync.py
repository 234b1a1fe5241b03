"""Synchronises an instance's configuration with the store and its peers."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import eliot
from twisted.internet import defer, task

from cicadafront import errors, ports
from cicadafront.config import apply, current, exchange, parts, trust
from cicadafront.config import peers as config_peers
from cicadafront.store import outage

MANIFEST_METHOD = "config.manifest"
PART_METHOD = "config.part"
TOPIC = "config"

TICK_SECONDS = 0.25
# Evidence from a watch dates from the moment the watch was sent, so the wait
# adds to its age. With this timeout, 18 watchers make 36 calls a second.
WATCH_SECONDS = 0.5
CONFIRM_SECONDS = 1.0
OBSERVE_SECONDS = 0.5
COMPARE_SECONDS = 5.0
# From this age on, an instance queries many peers: for evidence, and to learn
# how many are reachable. At one query of 16 bytes to each of 16 peers a second,
# all instances of a fleet of up to 65 are queried within 4 s.
AGING_EVIDENCE_SECONDS = 2.8
AGING_EVIDENCE_PEERS = 16
CALL_TIMEOUT_SECONDS = 0.5
PART_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_PARTS = 8
# Instances fetch a new revision after a random part of this time from its
# announcement, so that most find another peer that has it and the announcing
# instance is not overloaded.
FETCH_SPREAD_SECONDS = 1.0
ANNOUNCE_SPREAD_SECONDS = 0.2
INITIAL_PEERS = 3
RETRY_SECONDS = 1.0
# No key can be revoked during an outage of the store. After it, a revocation
# must be noticed within 5 s, which the default backoff of 30 s does not allow.
MAX_BACKOFF_SECONDS = 3.0
MAX_MANIFESTS = 8


@attrs.define
class _Schedule:
    """Times of the next periodic steps, and the names of those running."""

    observe: float = 0.0
    confirm: float = 0.0
    compare: float = 0.0
    watch: float = 0.0
    start: float = 0.0
    evidence_aging: bool = False
    running: set[str] = attrs.field(factory=set)


class ConfigSync:
    """Watches the store, exchanges revisions with peers and tracks evidence.

    Args:
        instance: Id of this instance.
        data_centre: Its data centre.
        clock: Twisted reactor or `task.Clock`.
        rng: Random source for jitter and the selection of peers.
        store: The store; calls back off here during outages.
        directory: Known instances.
        broadcaster: Sends and receives announcements of new revisions.
        calls: Calls to peers.
        held: Holds the active configuration; receives newer ones.
    """

    def __init__(
        self,
        instance: str,
        data_centre: str,
        *,
        clock: Any,
        rng: random.Random,
        store: ports.Store,
        directory: ports.Directory,
        broadcaster: ports.Broadcaster,
        calls: ports.PeerCalls,
        held: current.CurrentConfiguration,
    ):
        self._id = instance
        self._clock = clock
        self._random = rng
        self._store = outage.CircuitBreakerStore(
            store, clock, rng, MAX_BACKOFF_SECONDS
        )
        self._peers = config_peers.Peers(directory, instance, data_centre, rng)
        self._broadcaster = broadcaster
        self._calls = calls
        self._held = held
        self._cache = parts.PartCache()
        self._manifests: list[parts.Manifest] = []
        self._trust = trust.Trust()
        self._store_version = 0
        self._announced_revision = 0
        # Revision and start of the latest fetch from a peer.
        self._last_fetch = (0, 0.0)
        self._schedule = _Schedule()
        self._ticking = task.LoopingCall(self._tick)
        self._ticking.clock = clock
        broadcaster.on_broadcast(TOPIC, self._on_announcement)
        calls.register(MANIFEST_METHOD, self._serve_manifest)
        calls.register(PART_METHOD, self._serve_part)

    def start(self) -> None:
        """Starts fetching and watching the configuration."""
        self._ticking.start(TICK_SECONDS).addErrback(self._restart)

    def _restart(self, failure: Any) -> None:
        """Restarts after an error; without ticks all keys would be rejected."""
        _log_unexpected(failure)
        self._clock.callLater(RETRY_SECONDS, self.start)

    def stop(self) -> None:
        """Stops the periodic steps; calls in flight complete."""
        if self._ticking.running:
            self._ticking.stop()

    def confirmed(self, now: float) -> bool:
        """Returns whether keys may be accepted at this time."""
        return self._trust.confirmed(now, self._held.revision)

    @property
    def store_away_since(self) -> float | None:
        """Time of the first failed store call of the outage, or None."""
        return self._store.unavailable_since

    def evidence_age(self, now: float) -> float:
        """Returns the age of the evidence in seconds, for status reports."""
        return self._trust.age(now)

    def _tick(self) -> None:
        now = self._clock.seconds()
        schedule = self._schedule
        if now >= schedule.observe:
            schedule.observe = now + OBSERVE_SECONDS
            known = self._peers.known()
            self._trust.observe_instances(now, self._held.revision, known)
        if not self._held.revision:
            if now >= schedule.start:
                self._run("start", self._load_initial)
            return
        if self._peers.is_watcher() and now >= schedule.watch:
            self._run("watch", self._watch)
        evidence_aging = self._trust.age(now) >= AGING_EVIDENCE_SECONDS
        if now >= schedule.confirm or (
            evidence_aging and not schedule.evidence_aging
        ):
            schedule.confirm = now + self._jittered(CONFIRM_SECONDS, 0.1)
            schedule.evidence_aging = evidence_aging
            self._run("confirm", self._confirm)
        if now >= schedule.compare:
            schedule.compare = now + self._jittered(COMPARE_SECONDS, 0.2)
            self._run("compare", self._compare)

    def _jittered(self, seconds: float, part: float) -> float:
        return seconds * self._random.uniform(1 - part, 1 + part)

    def _run(self, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Runs a step unless it is already running."""
        if name in self._schedule.running:
            return
        self._schedule.running.add(name)

        async def run() -> None:
            try:
                await step()
            finally:
                self._schedule.running.discard(name)

        defer.ensureDeferred(run()).addErrback(_log_unexpected)

    # Updates from the store.

    async def _watch(self) -> None:
        sent = self._clock.seconds()
        try:
            value = await self._store.watch(
                apply.MANIFEST_KEY, self._store_version, WATCH_SECONDS
            )
            if value is not None:
                await self._apply_stored(value)
            self._trust.add_evidence(sent)
        except errors.CicadafrontError as error:
            _log_failure("cannot get the manifest from the store", error)
            wait = self._jittered(RETRY_SECONDS, 0.5)
            self._schedule.watch = self._clock.seconds() + wait

    async def _apply_stored(self, value: ports.Versioned) -> None:
        """Activates the store's manifest if it is newer.

        Raises:
            PartDamagedError: The manifest or a part is invalid, or a part is
                missing.
        """
        manifest = parts.unpack_manifest(value.value)
        self._trust.observe_revision(manifest.revision)
        if self._held.is_newer(manifest.revision):
            for digest in self._cache.missing(manifest):
                part = await self._store.get(apply.PART_PREFIX + digest)
                if part is None:
                    raise parts.PartDamagedError(
                        f"part {digest} is not in the store; apply the"
                        " folder again"
                    )
                self._cache.add(digest, part.value)
            self._activate(manifest)
            wait = self._random.uniform(0, ANNOUNCE_SPREAD_SECONDS)
            self._clock.callLater(wait, self._announce)
        elif manifest.revision < self._held.revision:
            eliot.log_message(
                message_type="config:store_older",
                message=(
                    f"config: the store has revision {manifest.revision};"
                    f" the newer revision {self._held.revision} stays active"
                ),
            )
        self._store_version = value.version

    def _announce(self) -> None:
        # All watchers see a change at the same time; one of them announces it.
        if self._announced_revision < self._held.revision:
            self._announced_revision = self._held.revision
            self._broadcaster.broadcast(
                TOPIC,
                exchange.encode_announcement(
                    self._held.revision, self._held.digest, self._id
                ),
            )

    def _activate(self, manifest: parts.Manifest) -> None:
        if self._held.offer(manifest, self._cache):
            self._manifests = [*self._manifests, manifest][-MAX_MANIFESTS:]
            self._cache.keep(self._manifests)
            eliot.log_message(
                message_type="config:in_force",
                message=f"config: revision {manifest.revision} is active",
            )

    # Updates from peers.

    async def _load_initial(self) -> None:
        """Gets the first revision from some peers, or else from the store."""
        for peer in self._peers.sample_nearby(INITIAL_PEERS):
            await self._query_peer(peer)
        if not self._held.revision:
            sent = self._clock.seconds()
            try:
                value = await self._store.get(apply.MANIFEST_KEY)
                if value is not None:
                    await self._apply_stored(value)
                    self._trust.add_evidence(sent)
            except errors.CicadafrontError as error:
                _log_failure(
                    "cannot get a configuration from peers or the store", error
                )
        wait = self._jittered(RETRY_SECONDS, 0.5)
        self._schedule.start = self._clock.seconds() + wait

    async def _confirm(self) -> None:
        """Queries peers for evidence; more of them if it is getting old."""
        now = self._clock.seconds()
        source = self._peers.evidence_source()
        if source is None and self._trust.age(now) <= CONFIRM_SECONDS:
            return
        others: list[str] = []
        if self._trust.age(now) >= AGING_EVIDENCE_SECONDS:
            others = self._peers_for_aging_evidence()
        elif source is None or not await self._query_peer(source):
            others = self._peers.sample_nearby(2) + self._peers.remote_watcher()
        await defer.gatherResults(
            [defer.ensureDeferred(self._query_peer(peer)) for peer in others]
        )

    def _peers_for_aging_evidence(self) -> list[str]:
        """Returns the peers to query when the evidence may soon be too old."""
        others = self._peers.sample(AGING_EVIDENCE_PEERS * 4)
        chosen = self._trust.least_recently_asked(others, AGING_EVIDENCE_PEERS)
        source = self._peers.evidence_source()
        if source is not None and source not in chosen:
            chosen.append(source)
        return chosen

    async def _compare(self) -> None:
        for peer in self._peers.sample(1):
            await self._query_peer(peer)

    async def _query_peer(self, peer: str) -> bool:
        """Queries a peer for its revision and evidence.

        Returns:
            Whether it answered.
        """
        base = self._held.manifest
        query = exchange.encode_query(self._held.revision, self._held.digest)
        sent = self._clock.seconds()
        try:
            body = await self._calls.call(
                peer, MANIFEST_METHOD, query, CALL_TIMEOUT_SECONDS
            )
            reply = exchange.decode_reply(body, base)
            self._trust.record_query(self._clock.seconds(), peer, True)
            self._trust.observe_revision(reply.revision)
            if reply.manifest is not None:
                await self._fetch(peer, reply.manifest)
            if reply.revision <= self._held.revision:
                self._trust.add_evidence(sent - reply.age)
            if reply.trusted and reply.revision == self._held.revision:
                known = [info.id for info in self._peers.known()]
                self._trust.adopt_known_instances(self._clock.seconds(), known)
        except errors.CicadafrontError as error:
            _log_failure(f"{peer} did not return its configuration", error)
            self._trust.record_query(self._clock.seconds(), peer, False)
            return False
        return True

    async def _fetch(self, peer: str, manifest: parts.Manifest) -> None:
        now = self._clock.seconds()
        revision, started = self._last_fetch
        in_progress = (
            revision >= manifest.revision and now - started < RETRY_SECONDS
        )
        if in_progress or not self._held.is_newer(manifest.revision):
            return
        self._last_fetch = manifest.revision, now
        missing = self._cache.missing(manifest)
        for start in range(0, len(missing), MAX_CONCURRENT_PARTS):
            batch = missing[start : start + MAX_CONCURRENT_PARTS]
            await self._fetch_parts(peer, batch)
        self._activate(manifest)

    async def _fetch_parts(self, peer: str, digests: list[str]) -> None:
        calls = [
            self._calls.call(
                peer, PART_METHOD, bytes.fromhex(digest), PART_TIMEOUT_SECONDS
            )
            for digest in digests
        ]
        results: Any = await defer.DeferredList(calls, consumeErrors=True)
        for digest, (succeeded, result) in zip(digests, results, strict=True):
            if not succeeded:
                result.raiseException()
            self._cache.add(digest, result)

    def _on_announcement(self, payload: bytes) -> None:
        try:
            revision, instance = exchange.decode_announcement(payload)
        except exchange.MessageError as error:
            _log_failure("an invalid announcement was ignored", error)
            return
        self._announced_revision = max(self._announced_revision, revision)
        self._trust.observe_revision(revision)
        if self._held.is_newer(revision):
            wait = self._random.uniform(0, FETCH_SPREAD_SECONDS)
            self._clock.callLater(
                wait, self._fetch_announced, revision, instance
            )

    def _fetch_announced(self, revision: int, instance: str) -> None:
        async def fetch() -> None:
            for peer in [*self._peers.sample_nearby(2), instance]:
                if not self._held.is_newer(revision):
                    return
                if peer != self._id:
                    await self._query_peer(peer)

        defer.ensureDeferred(fetch()).addErrback(_log_unexpected)

    # Calls served for peers.

    def _serve_manifest(self, _caller: str, body: bytes) -> bytes:
        now = self._clock.seconds()
        return exchange.encode_reply(
            exchange.decode_query(body),
            self._held.manifest,
            self._trust.age(now),
            self.confirmed(now),
            {exchange.digest_prefix(m.digest): m for m in self._manifests},
        )

    def _serve_part(self, _caller: str, body: bytes) -> bytes:
        packed = self._cache.packed(body.hex())
        if packed is None:
            raise parts.PartDamagedError(
                f"part {body.hex()[:64]} is not cached here; query another peer"
            )
        return packed


def _log_failure(what: str, error: errors.CicadafrontError) -> None:
    eliot.log_message(
        message_type="config:sync_failed",
        message=f"config: {what}",
        code=error.code,
        reason=error.message,
    )


def _log_unexpected(failure: Any) -> None:
    eliot.log_message(
        message_type="config:sync_error",
        message="config: unexpected error while synchronising",
        reason=failure.getTraceback(),
    )
