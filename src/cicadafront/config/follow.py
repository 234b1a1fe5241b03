"""Follows a configuration that the store holds as one document.

A new revision comes from a watch of the store or from another instance.
Instances tell one another with every datagram which revision they run; one
that is behind fetches the document from one that is ahead, whatever its own
watch does. `config.catchup` keeps who is ahead.
"""

import random
import struct
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, loops, ports
from cicadafront.config import catchup, current
from cicadafront.config import model as config_model
from cicadafront.telemetry import logs

METHOD = "configuration"
TOPIC = "configuration"
# Only a new watch finds out that the old ones hear nothing, so one instance or
# another renews its own this often, in turn.
RENEWAL_SECONDS = 0.8
# Longest and shortest period at which one instance renews its watch, below the
# store's longest wait of 30 s.
MAX_PERIOD_SECONDS = 25.0
MIN_PERIOD_SECONDS = 2.0
# An instance that has just started knows a part of the fleet, and would renew
# its watch as often as in a small one.
SETTLE_SECONDS = 10.0
# A turn that comes sooner than this after the start of a watch is left out.
MIN_WATCH_SECONDS = 0.5
# A watch, and the read before it.
WATCH_TIMEOUT_SECONDS = 35.0
# Pause after an answer that brought nothing new before its time.
EARLY_ANSWER_PAUSE_SECONDS = 0.2
# First pause while nobody has written a configuration yet; it doubles.
EMPTY_STORE_PAUSE_SECONDS = 0.4
MAX_RETRY_SECONDS = 2.0
WATCH_PACE = loops.Pace(
    interval=EARLY_ANSWER_PAUSE_SECONDS,
    bound=WATCH_TIMEOUT_SECONDS,
    first_retry=0.2,
    most_retry=MAX_RETRY_SECONDS,
)
# Period at which a peer is asked while the store does not answer.
PEER_POLL_SECONDS = 0.5
# While a peer is known to be ahead, another one is asked after this time, since
# the path to the first may be cut in one direction.
NEXT_PEER_SECONDS = 0.25
MAX_CALLS = 6
# A document of 1 MiB takes 1.7 s on the narrowest links (5 Mbit/s).
CALL_TIMEOUT_SECONDS = 4.0
PEER_PACE = loops.Pace(
    interval=PEER_POLL_SECONDS,
    bound=1.0,
    first=PEER_POLL_SECONDS,
    first_retry=PEER_POLL_SECONDS,
    most_retry=PEER_POLL_SECONDS,
)
# Instances that learn of a revision from the store tell the others after a
# random part of this time, unless one has told before.
BROADCAST_SPREAD_SECONDS = 0.25
# Time in which the own watch should bring a revision that a peer runs; only
# then is the peer asked for the document.
WATCH_LAG_SECONDS = 0.3
# A watch that has not brought a revision this long after a peer did is taken
# for one that hears nothing.
STALLED_WATCH_SECONDS = 1.0
# Pause before parts that failed to take a revision are called again.
HANDLER_RETRY_SECONDS = 0.5
# While all parts run the revision in force there is nothing to do.
HANDLER_PACE = loops.Pace(60.0, bound=1.0, most_retry=HANDLER_RETRY_SECONDS)

_REVISION = struct.Struct("!Q")

Decode = Callable[[bytes], config_model.Configuration]

_log = logs.Log("config")


class DocumentError(errors.CicadafrontError):
    """The store holds a document that is no valid configuration."""

    code = "configuration_invalid"


class Follower:
    """Keeps the configuration of this instance up to date.

    Attributes:
        connected: Whether the store answered the last call that has ended.
        answered_at: Time of the store's last answer, None before the first.
        newer_peers: The instances that run a newer revision.

    Args:
        instance: Id of this instance.
        key: Key of the document in the store.
        decode: Turns a document into a configuration; raises
            `DocumentError`.
        running: Loops of the process.
        on_store_recovered: Called when the store answers again after an outage.
        reachable: Whether the path to an instance seems to work.
        wall: Returns the time of day.
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
        on_store_recovered: Callable[[], None] = lambda: None,
        reachable: catchup.Reachable = lambda instance: True,
        wall: Callable[[], float] = time.time,
    ):
        self.connected = False
        self.answered_at: float | None = None
        self.newer_peers = catchup.NewerPeers(rng)
        self._instance = instance
        self._key = key
        self._decode = decode
        self._clock = clock
        self._rng = rng
        self._store = store
        self._directory = directory
        self._broadcaster = broadcaster
        self._revisions = revisions
        self._calls = calls
        self._held = held
        self._on_store_recovered = on_store_recovered
        self._reachable = reachable
        self._wall = wall
        self._document = b""
        self._version = 0
        self._announced_revision = 0
        # Calls under way, by instance.
        self._calls_in_flight: dict[str, defer.Deferred[Any]] = {}
        self._started_at = 0.0
        self._watch_started_at = 0.0
        self._empty_store_pause = EMPTY_STORE_PAUSE_SECONDS
        self._broadcast_timer: Any = None
        self._watch_check_timer: Any = None
        self._watch_loop = running.add(
            "configuration watch", self._follow_store, WATCH_PACE
        )
        self._peer_loop = running.add(
            "configuration of peers", self._poll_peers, PEER_PACE
        )
        self._handler_loop = running.add(
            "configuration in all parts",
            self._call_pending_handlers,
            HANDLER_PACE,
        )
        broadcaster.on_broadcast(TOPIC, self._on_broadcast)
        revisions.on_told(self._on_peer_revision)
        calls.register(METHOD, self._serve)

    def start(self) -> None:
        """Reads the configuration and watches it."""
        self._started_at = self._clock.seconds()
        for loop in (self._watch_loop, self._peer_loop, self._handler_loop):
            loop.start()

    def stop(self) -> None:
        """Follows no more."""
        for loop in (self._watch_loop, self._peer_loop, self._handler_loop):
            loop.stop()
        for timer in (self._broadcast_timer, self._watch_check_timer):
            _cancel(timer)

    # Store.

    async def _follow_store(self) -> float:
        """Waits for one change; returns the pause until the next watch."""
        try:
            return await self._read_and_watch()
        except errors.StoreUnavailableError:
            # The loop logs the reason.
            self.connected = False
            raise

    async def _read_and_watch(self) -> float:
        if not self.connected or not self._held.revision:
            found = await self._store.get(self._key)
            self._on_store_answer()
            self._apply_stored(found)
            if found is None and not self._held.revision:
                return self._next_empty_store_pause()
        wait = self._watch_seconds()
        self._watch_started_at = started_at = self._clock.seconds()
        found = await self._store.watch(self._key, self._version, wait)
        self._on_store_answer()
        if self._apply_stored(found):
            return 0.0
        early = self._clock.seconds() - started_at < wait / 2
        return EARLY_ANSWER_PAUSE_SECONDS if early else 0.0

    def _watch_seconds(self) -> float:
        """Returns the time until the turn of this instance to renew.

        Turns follow the time of day, since a change of the configuration
        ends the watches of all instances at once.
        """
        ids = sorted({self._instance, *self._live_instances()})
        period = MAX_PERIOD_SECONDS
        if self._clock.seconds() - self._started_at >= SETTLE_SECONDS:
            period = max(MIN_PERIOD_SECONDS, len(ids) * RENEWAL_SECONDS)
            period = min(MAX_PERIOD_SECONDS, period)
        turn = period * ids.index(self._instance) / len(ids)
        wait = (turn - self._wall()) % period
        return wait if wait >= MIN_WATCH_SECONDS else wait + period

    def _live_instances(self) -> list[str]:
        return [info.id for info in self._directory.instances() if info.alive]

    def _next_empty_store_pause(self) -> float:
        pause = self._empty_store_pause
        self._empty_store_pause = min(MAX_RETRY_SECONDS, 2 * pause)
        return pause * self._rng.uniform(0.5, 1.0)

    def _apply_stored(self, found: ports.Versioned | None) -> bool:
        """Takes what the store sent; returns whether it was new."""
        if found is None:
            return False
        self._version = found.version
        return self._apply(found.value, "store")

    def _on_store_answer(self) -> None:
        now = self._clock.seconds()
        before, self.answered_at = self.answered_at, now
        if self.connected:
            return
        self.connected = True
        silent = 0.0 if before is None else now - before
        _log.info("the store answers.", silent_seconds=round(silent, 3))
        self._on_store_recovered()

    # Peers.

    def _poll_peers(self) -> float | None:
        """Asks an instance that is ahead, or any one without the store."""
        self.newer_peers.discard_until(self._held.revision)
        if self.newer_peers.since is None:
            if not self.connected and not self._calls_in_flight:
                self._call_peer(self._random_peer(), 0)
            return None
        lag = self._clock.seconds() - self.newer_peers.since
        if self.connected and lag < WATCH_LAG_SECONDS:
            return WATCH_LAG_SECONDS - lag
        if len(self._calls_in_flight) < MAX_CALLS:
            self._call_peer(*self.newer_peers.pop(self._reachable))
        return NEXT_PEER_SECONDS

    def _call_peer(self, peer: str | None, peer_revision: int) -> None:
        if peer is None or peer in self._calls_in_flight:
            return
        known = _REVISION.pack(self._held.revision)
        call = self._calls.call(peer, METHOD, known, CALL_TIMEOUT_SECONDS)
        self._calls_in_flight[peer] = call
        started_at = self._clock.seconds()
        call.addCallback(self._on_document, peer, peer_revision, started_at)
        call.addErrback(self._on_call_failed, peer)

    def _on_document(
        self, document: bytes, peer: str, peer_revision: int, started_at: float
    ) -> None:
        self._calls_in_flight.pop(peer, None)
        if self._apply(document, peer):
            self._schedule_watch_check(started_at)
        elif document and peer_revision > self._held.revision:
            self.newer_peers.reject(peer_revision)

    def _on_call_failed(self, reason: failure.Failure, peer: str) -> None:
        self._calls_in_flight.pop(peer, None)
        _log.info(
            "a peer did not tell its configuration.",
            peer=peer,
            reason=reason.getErrorMessage(),
        )

    def _random_peer(self) -> str | None:
        peers = [id for id in self._live_instances() if id != self._instance]
        return self._rng.choice(peers) if peers else None

    def _schedule_watch_check(self, now: float) -> None:
        """Renews the watch unless it brings the revision as well soon."""
        if self.connected and self._watch_started_at <= now:
            _cancel(self._watch_check_timer)
            self._watch_check_timer = self._clock.callLater(
                STALLED_WATCH_SECONDS,
                self._renew_stalled_watch,
                self._watch_started_at,
            )

    def _renew_stalled_watch(self, started_at: float) -> None:
        if self._watch_started_at == started_at and self.connected:
            self.connected = False
            _log.warning(
                "the watch of the store hears nothing and is renewed.",
                watch_seconds=round(self._clock.seconds() - started_at, 3),
            )
            self._watch_loop.give_up("A peer had a newer revision before it.")

    def _serve(self, caller: str, body: bytes) -> bytes:
        (known,) = _REVISION.unpack(body)
        return self._document if self._held.revision > known else b""

    def _on_broadcast(self, payload: bytes) -> None:
        if len(payload) < _REVISION.size:
            _log.warning("a broadcast without a revision was dropped.")
            return
        (revision,) = _REVISION.unpack_from(payload)
        self._announced_revision = max(self._announced_revision, revision)
        peer = payload[_REVISION.size :].decode("utf-8", "replace")
        # The sender has waited before it told.
        self._note_newer_peer(
            peer, revision, self._clock.seconds() - WATCH_LAG_SECONDS
        )

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

    # Both.

    def _apply(self, document: bytes, source: str) -> bool:
        """Puts a document in force; returns whether it was newer."""
        if not document:
            return False
        new = self._decode_document(document, source)
        if new is None:
            return False
        if new.revision == self._held.revision and document != self._document:
            _log.warning(
                "a revision with other content was ignored.",
                source=source,
                revision=new.revision,
            )
        if not self._held.replace(new):
            return False
        self._document = document
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
            # Whatever a document does to the decoder, the one in force stays.
            reason = failure.Failure().getTraceback()
        _log.error("a configuration was refused.", source=source, reason=reason)
        return None

    def _on_applied(self, new: config_model.Configuration, source: str) -> None:
        answered = self.answered_at
        now = self._clock.seconds()
        _log.info(
            "a configuration is in force.",
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
        self._revisions.tell(new.revision)
        if self._held.pending_handlers:
            self._handler_loop.wake(HANDLER_RETRY_SECONDS)
        _cancel(self._broadcast_timer)
        self._broadcast_timer = self._clock.callLater(
            self._rng.uniform(0, BROADCAST_SPREAD_SECONDS),
            self._broadcast_revision,
        )

    def _call_pending_handlers(self) -> float | None:
        """Calls the parts again that failed to take the revision in force."""
        self._held.call_pending_handlers()
        return HANDLER_RETRY_SECONDS if self._held.pending_handlers else None


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
