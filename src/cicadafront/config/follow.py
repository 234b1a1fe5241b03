"""Follows a configuration that is stored as a single document.

A new revision arrives through a watch of the store or from another instance; in
a large fleet only some instances watch (`config.watchers`). Every gossip
datagram carries the revision that its sender runs. An instance with an older
revision fetches the document from one with a newer revision (`config.fetch`),
independently of its own watch. `config.catchup` tracks the newer instances.

Instances tell each other the version of the document in the store, so that a
document from a peer is not read again (`config.stored`).
"""

import random
import struct
import time
from collections.abc import Callable
from typing import Any

from twisted.python import failure

from cicadafront import errors, loops, ports
from cicadafront.config import catchup, current, fetch, stored, watchers
from cicadafront.config import model as config_model
from cicadafront.telemetry import logs

TOPIC = "configuration"
# An instance that has just started knows only a part of the fleet, and would
# renew its watch as often as in a small fleet. It uses the longest period for
# this time.
SETTLE_SECONDS = 10.0
# Covers a watch and the read before it, each with a response that takes long.
WATCH_TIMEOUT_SECONDS = 60.0
# Pause after a watch that returned early without a new revision.
EARLY_ANSWER_PAUSE_SECONDS = 0.2
# Initial pause while the store has no configuration yet and ends watches early;
# it doubles each time.
EMPTY_STORE_PAUSE_SECONDS = 0.4
MAX_RETRY_SECONDS = 2.0
WATCH_TIMING = loops.Timing(
    interval=EARLY_ANSWER_PAUSE_SECONDS,
    timeout=WATCH_TIMEOUT_SECONDS,
    initial_backoff=0.2,
    max_backoff=MAX_RETRY_SECONDS,
)
# Interval at which peers are polled while the store does not answer.
PEER_POLL_SECONDS = 0.5
# While a newer revision is known, another peer is called if the last call
# brings nothing in this time, since the path may have failed in one direction.
NEXT_PEER_SECONDS = 0.25
PEER_TIMING = loops.Timing(
    interval=PEER_POLL_SECONDS,
    timeout=1.0,
    first=PEER_POLL_SECONDS,
    initial_backoff=PEER_POLL_SECONDS,
    max_backoff=PEER_POLL_SECONDS,
)
# Instances broadcast a revision that they get from the store after a random
# part of this time, unless another instance has broadcast it before.
BROADCAST_SPREAD_SECONDS = 0.25
# Time within which this instance's watch should deliver a revision that a peer
# runs; the peer is called for the document only after it.
WATCH_LAG_SECONDS = 0.3
# A watch that has not delivered a revision this long after a peer did is
# considered stalled.
STALLED_WATCH_SECONDS = 1.0
# Interval at which an instance that does not watch checks whether it should.
WATCHER_CHECK_SECONDS = 1.0
# Interval at which such an instance reads the store nevertheless, in case it
# answers no watcher. The result may be seconds old.
STALE_READ_SECONDS = 10.0
# Watchers that a broadcast is taken to stand for. Each instance calls one of
# them, so that the calls are spread over all watchers.
ASKED_WATCHERS = 8
# Pause before handlers that failed to apply a revision are called again.
HANDLER_RETRY_SECONDS = 0.5
# While all handlers have applied the active revision there is nothing to do.
HANDLER_TIMING = loops.Timing(
    60.0, timeout=1.0, max_backoff=HANDLER_RETRY_SECONDS
)

_REVISION = struct.Struct("!Q")

Decode = Callable[[bytes], config_model.Configuration]

_log = logs.Log("config")


class DocumentError(errors.CicadafrontError):
    """The store has a document that is not a valid configuration."""

    code = "configuration_invalid"


class Follower:
    """Keeps the configuration of this instance up to date.

    Attributes:
        stored: The document in the store.
        newer_peers: The instances that run a newer revision.
        peer_documents: Exchanges documents with other instances.

    Args:
        instance: Id of this instance.
        key: Key of the document in the store.
        decode: Turns a document into a configuration; raises
            `DocumentError`.
        running: Loops of the process, to which those of this object are
            added.
        clock: Twisted reactor or `task.Clock`.
        rng: Random source for jitter and the selection of peers.
        store: The store.
        directory: Known instances.
        broadcaster: Sends and receives broadcasts of new revisions.
        revisions: Exchanges the revisions that instances run.
        calls: Calls to peers.
        held: Holds the active configuration; receives newer ones.
        read_stale: Reads a key of the store, possibly a version that is seconds
            old; by default the newest.
        on_store_recovered: Called when the store answers again after an outage.
        reachable: Returns whether an instance seems reachable.
        isolated: Returns whether this instance appears to be cut off from the
            others, so that it must watch the store itself.
        wall: Returns the wall-clock time in seconds.
        era: Returns the era of the store.
    """

    def __init__(
        self,
        instance: str,
        key: str,
        decode: Decode,
        *,
        running: loops.Loops,
        clock: Any,
        rng: random.Random,
        store: ports.Store,
        directory: ports.Directory,
        broadcaster: ports.Broadcaster,
        revisions: ports.Revisions,
        calls: ports.PeerCalls,
        held: current.CurrentConfiguration,
        read_stale: stored.ReadStale | None = None,
        on_store_recovered: Callable[[], None] = lambda: None,
        reachable: catchup.Reachable = lambda instance: True,
        isolated: Callable[[], bool] = lambda: False,
        wall: Callable[[], float] = time.time,
        era: Callable[[], int] = lambda: 0,
    ):
        self.stored = stored.StoredDocument(
            key,
            clock=clock,
            store=store,
            read_stale=read_stale or store.get,
            on_recovered=on_store_recovered,
        )
        self.newer_peers = catchup.NewerPeers(rng)
        self._instance = instance
        self._decode = decode
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._broadcaster = broadcaster
        self._revisions = revisions
        self.peer_documents = fetch.PeerDocuments(
            calls,
            clock,
            lambda: (era(), self._document_version),
            self._on_document,
        )
        self._held = held
        self._reachable = reachable
        self._isolated = isolated
        self._watches = True
        self._wall = wall
        self._era = era
        self._document = b""
        # Version of the document in the store; 0 if it is not known.
        self._document_version = 0
        self._announced_revision = 0
        self._started_at = 0.0
        self._watch_started_at = 0.0
        self._empty_store_pause = EMPTY_STORE_PAUSE_SECONDS
        self._broadcast_timer: Any = None
        self._watch_check_timer: Any = None
        self._watch_loop = running.add(
            "configuration watch", self._follow_store, WATCH_TIMING
        )
        self._peer_loop = running.add(
            "configuration of peers", self._poll_peers, PEER_TIMING
        )
        self._handler_loop = running.add(
            "configuration in all parts",
            self._call_pending_handlers,
            HANDLER_TIMING,
        )
        broadcaster.on_broadcast(TOPIC, self._on_broadcast)
        revisions.on_revision(self._on_peer_revision)

    def start(self) -> None:
        """Starts reading and watching the configuration."""
        self._started_at = self._clock.seconds()
        for loop in (self._watch_loop, self._peer_loop, self._handler_loop):
            loop.start()

    def stop(self) -> None:
        """Stops the loops and timers."""
        for loop in (self._watch_loop, self._peer_loop, self._handler_loop):
            loop.stop()
        for timer in (self._broadcast_timer, self._watch_check_timer):
            _cancel(timer)

    def store_reverted(self) -> None:
        """Handles that the store has reverted to an older copy.

        The active configuration stays, since it may be newer than the copy.
        """
        self.stored.version = self._document_version = 0

    # Updates from the store.

    async def _follow_store(self) -> float:
        """Waits for one change, if this instance watches.

        Returns:
            Seconds until the next watch.
        """
        self._watches = self._should_watch()
        try:
            if not self._watches:
                await self._read_sometimes()
                return WATCHER_CHECK_SECONDS
            return await self._read_and_watch()
        except errors.StoreUnavailableError:
            # The loop logs the reason.
            self.stored.connected = False
            raise

    async def _read_sometimes(self) -> None:
        answered = self.stored.answered_at
        now = self._clock.seconds()
        if answered is not None and now - answered >= STALE_READ_SECONDS:
            self._apply_stored(await self.stored.check(len(self._document)))

    async def _read_and_watch(self) -> float:
        self._apply_stored(await self.stored.connect())
        wait = self._watch_seconds()
        self._watch_started_at = started_at = self._clock.seconds()
        if self._apply_stored(await self.stored.watch(wait)):
            return 0.0
        if self._clock.seconds() - started_at >= wait / 2:
            return 0.0
        if not self._held.revision:
            return self._next_empty_store_pause()
        return EARLY_ANSWER_PAUSE_SECONDS

    def _should_watch(self) -> bool:
        if (
            not (self.stored.connected and self._held.revision)
            or self._isolated()
        ):
            return True
        return self._instance in self._watchers()

    def _watchers(self) -> set[str]:
        return watchers.select({self._instance, *self._live_instances()})

    def _watch_seconds(self) -> float:
        """Returns the seconds until this instance's turn to renew its watch."""
        age = self._clock.seconds() - self._started_at
        return watchers.seconds_to_turn(
            self._instance,
            self._watchers(),
            age >= SETTLE_SECONDS,
            self._wall(),
        )

    def _live_instances(self) -> list[str]:
        return [info.id for info in self._directory.instances() if info.alive]

    def _next_empty_store_pause(self) -> float:
        pause = self._empty_store_pause
        self._empty_store_pause = min(MAX_RETRY_SECONDS, 2 * pause)
        return pause * self._rng.uniform(0.5, 1.0)

    def _apply_stored(self, found: ports.Versioned | None) -> bool:
        """Applies the store's document; returns whether it was newer."""
        if found is None:
            return False
        applied = self._apply(found.value, "store")
        if found.value == self._document:
            self._document_version = found.version
        return applied

    # Updates from peers.

    def _poll_peers(self) -> float | None:
        """Calls a peer with a newer revision, or any peer in a store outage.

        Returns:
            Seconds until the next run, or None for the default.
        """
        self.newer_peers.discard_until(self._held.revision)
        documents = self.peer_documents
        if self.newer_peers.since is None:
            if not self.stored.connected and not documents.calls_in_flight:
                documents.fetch(self._random_peer(), 0)
            return None
        now = self._clock.seconds()
        lag = now - self.newer_peers.since
        watching = self.stored.connected and self._watches
        if watching and lag < WATCH_LAG_SECONDS:
            return WATCH_LAG_SECONDS - lag
        waited = now - documents.called_at
        if documents.calls_in_flight and waited < NEXT_PEER_SECONDS:
            return NEXT_PEER_SECONDS - waited
        if documents.calls_in_flight < fetch.MAX_CALLS:
            documents.fetch(*self.newer_peers.pop(self._reachable))
        return NEXT_PEER_SECONDS

    def _on_document(self, fetched: fetch.Fetched) -> None:
        new = self._decode_document(fetched.document, fetched.source)
        if new is None:
            self.newer_peers.reject(fetched.revision)
            return
        if not self._activate(new, fetched.document, fetched.source):
            return
        version = fetched.version
        if fetched.era == self._era() and version > self.stored.version:
            self.stored.version = self._document_version = version
        self._schedule_watch_check()

    def _random_peer(self) -> str | None:
        peers = [id for id in self._live_instances() if id != self._instance]
        return self._rng.choice(peers) if peers else None

    def _schedule_watch_check(self) -> None:
        """Renews the watch unless it soon delivers the revision as well."""
        if self.stored.connected and self._watches:
            _cancel(self._watch_check_timer)
            self._watch_check_timer = self._clock.callLater(
                STALLED_WATCH_SECONDS,
                self._renew_stalled_watch,
                self._watch_started_at,
            )

    def _renew_stalled_watch(self, started_at: float) -> None:
        if self._watch_started_at == started_at and self.stored.connected:
            self.stored.connected = False
            _log.warning(
                "store watch has stalled; renewing it.",
                watch_seconds=round(self._clock.seconds() - started_at, 3),
            )
            self._watch_loop.give_up(
                "A peer delivered a newer revision before the watch did."
            )

    def _on_broadcast(self, payload: bytes) -> None:
        if len(payload) < _REVISION.size:
            _log.warning("ignored a broadcast without a revision.")
            return
        (revision,) = _REVISION.unpack_from(payload)
        self._announced_revision = max(self._announced_revision, revision)
        peer = payload[_REVISION.size :].decode("utf-8", "replace")
        # The sender waited before its broadcast, so the lag has passed already.
        since = self._clock.seconds() - WATCH_LAG_SECONDS
        for newer in self._holders(peer):
            self._note_newer_peer(newer, revision, since)

    def _holders(self, sender: str) -> list[str]:
        """Returns instances that have the revision of a broadcast."""
        if self._watches:
            return [sender]
        others = sorted(self._watchers() - {self._instance, sender})
        number = min(len(others), ASKED_WATCHERS - 1)
        return [sender, *self._rng.sample(others, number)]

    def _on_peer_revision(self, peer: str, revision: int) -> None:
        self._note_newer_peer(peer, revision, self._clock.seconds())

    def _note_newer_peer(self, peer: str, revision: int, since: float) -> None:
        if revision <= self._held.revision:
            return
        if self.newer_peers.add(since, peer, revision):
            self._peer_loop.wake()

    def _broadcast_revision(self) -> None:
        revision = self._held.revision
        if revision > self._announced_revision:
            self._announced_revision = revision
            payload = _REVISION.pack(revision) + self._instance.encode()
            self._broadcaster.broadcast(TOPIC, payload)

    # Updates from any source.

    def _apply(self, document: bytes, source: str) -> bool:
        """Activates a document if it is newer; returns whether it was."""
        if not document:
            return False
        new = self._decode_document(document, source)
        return new is not None and self._activate(new, document, source)

    def _activate(
        self, new: config_model.Configuration, document: bytes, source: str
    ) -> bool:
        """Activates a configuration if it is newer; returns whether it was."""
        if new.revision == self._held.revision and document != self._document:
            _log.warning(
                "ignored different content for the active revision.",
                source=source,
                revision=new.revision,
            )
        if not self._held.replace(new):
            return False
        self._document = document
        self._document_version = 0
        self.peer_documents.replace(new.revision, document)
        self._on_applied(new, source)
        return True

    def _decode_document(
        self, document: bytes, source: str
    ) -> config_model.Configuration | None:
        try:
            return self._decode(document)
        except DocumentError as error:
            reason = error.message
        except Exception:
            # The active configuration stays, whatever error a document causes
            # in the decoder.
            reason = failure.Failure().getTraceback()
        _log.error(
            "rejected an invalid configuration.", source=source, reason=reason
        )
        return None

    def _on_applied(self, new: config_model.Configuration, source: str) -> None:
        answered = self.stored.answered_at
        now = self._clock.seconds()
        _log.info(
            "a new configuration is active.",
            source=source,
            revision=new.revision,
            routes=len(new.routes),
            accounts=len(new.accounts),
            store_silent_seconds=None
            if answered is None
            else round(now - answered, 3),
            behind_parts=self._held.pending_handlers,
        )
        self.newer_peers.discard_until(new.revision)
        self._revisions.publish(new.revision)
        if self._held.pending_handlers:
            self._handler_loop.wake(HANDLER_RETRY_SECONDS)
        _cancel(self._broadcast_timer)
        self._broadcast_timer = self._clock.callLater(
            self._rng.uniform(0, BROADCAST_SPREAD_SECONDS),
            self._broadcast_revision,
        )

    def _call_pending_handlers(self) -> float | None:
        """Retries the handlers that failed to apply the active revision.

        Returns:
            Seconds until the next run, or None for the default.
        """
        self._held.call_pending_handlers()
        return HANDLER_RETRY_SECONDS if self._held.pending_handlers else None


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
