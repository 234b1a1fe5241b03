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
MOST_PERIOD_SECONDS = 25.0
LEAST_PERIOD_SECONDS = 2.0
# An instance that has just started knows a part of the fleet, and would renew
# its watch as often as in a small one.
SETTLE_SECONDS = 10.0
# A turn that comes sooner than this after the start of a watch is left out.
LEAST_WATCH_SECONDS = 0.5
# A watch, and the read before it.
WATCH_RUN_SECONDS = 35.0
# Pause after an answer that brought nothing new before its time.
IDLE_SECONDS = 0.2
# First pause while nobody has written a configuration yet; it doubles.
EMPTY_SECONDS = 0.4
LAST_RETRY_SECONDS = 2.0
WATCH_PACE = loops.Timing(
    interval=IDLE_SECONDS,
    timeout=WATCH_RUN_SECONDS,
    initial_backoff=0.2,
    max_backoff=LAST_RETRY_SECONDS,
)
# Period at which a peer is asked while the store does not answer.
PEER_SECONDS = 0.5
# While a peer is known to be ahead, another one is asked after this time, since
# the path to the first may be cut in one direction.
NEXT_PEER_SECONDS = 0.25
MOST_CALLS = 6
# A document of 1 MiB takes 1.7 s on the narrowest links (5 Mbit/s).
CALL_SECONDS = 4.0
PEER_PACE = loops.Timing(
    interval=PEER_SECONDS,
    timeout=1.0,
    first=PEER_SECONDS,
    initial_backoff=PEER_SECONDS,
    max_backoff=PEER_SECONDS,
)
# Instances that learn of a revision from the store tell the others after a
# random part of this time, unless one has told before.
TELL_SECONDS = 0.25
# Time in which the own watch should bring a revision that a peer runs; only
# then is the peer asked for the document.
WATCH_LAG_SECONDS = 0.3
# A watch that has not brought a revision this long after a peer did is taken
# for one that hears nothing.
SILENT_SECONDS = 1.0
# Pause before parts that failed to take a revision are called again.
PARTS_SECONDS = 0.5
# While all parts run the revision in force there is nothing to do.
PARTS_PACE = loops.Timing(60.0, timeout=1.0, max_backoff=PARTS_SECONDS)

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
        ahead: The instances that run a newer revision.

    Args:
        here: Id of this instance.
        key: Key of the document in the store.
        decode: Turns a document into a configuration; raises
            `DocumentError`.
        running: Loops of the process.
        on_return: Called when the store answers again after an outage.
        reachable: Whether the path to an instance seems to work.
        wall: Returns the time of day.
    """

    def __init__(
        self,
        here: str,
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
        on_return: Callable[[], None] = lambda: None,
        reachable: catchup.Reachable = lambda instance: True,
        wall: Callable[[], float] = time.time,
    ):
        self.connected = False
        self.answered_at: float | None = None
        self.ahead = catchup.Ahead(rng)
        self._here = here
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
        self._on_return = on_return
        self._reachable = reachable
        self._wall = wall
        self._document = b""
        self._version = 0
        self._told = 0
        # Calls under way, by instance.
        self._asked: dict[str, defer.Deferred[Any]] = {}
        self._started = 0.0
        self._watch_began = 0.0
        self._empty_seconds = EMPTY_SECONDS
        self._telling: Any = None
        self._doubting: Any = None
        self._watch = running.add(
            "configuration watch", self._follow_store, WATCH_PACE
        )
        self._peers = running.add(
            "configuration of peers", self._ask_peer, PEER_PACE
        )
        self._parts = running.add(
            "configuration in all parts", self._complete, PARTS_PACE
        )
        broadcaster.on_broadcast(TOPIC, self._heard)
        revisions.on_told(self._told_by)
        calls.register(METHOD, self._serve)

    def start(self) -> None:
        """Reads the configuration and watches it."""
        self._started = self._clock.seconds()
        for loop in (self._watch, self._peers, self._parts):
            loop.start()

    def stop(self) -> None:
        """Follows no more."""
        for loop in (self._watch, self._peers, self._parts):
            loop.stop()
        for timer in (self._telling, self._doubting):
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
            self._answered()
            self._received(found)
            if found is None and not self._held.revision:
                return self._empty_pause()
        wait = self._watch_seconds()
        self._watch_began = began = self._clock.seconds()
        found = await self._store.watch(self._key, self._version, wait)
        self._answered()
        if self._received(found):
            return 0.0
        early = self._clock.seconds() - began < wait / 2
        return IDLE_SECONDS if early else 0.0

    def _watch_seconds(self) -> float:
        """Returns the time until the turn of this instance to renew.

        Turns follow the time of day, since a change of the configuration
        ends the watches of all instances at once.
        """
        ids = sorted({self._here, *self._alive()})
        period = MOST_PERIOD_SECONDS
        if self._clock.seconds() - self._started >= SETTLE_SECONDS:
            period = max(LEAST_PERIOD_SECONDS, len(ids) * RENEWAL_SECONDS)
            period = min(MOST_PERIOD_SECONDS, period)
        turn = period * ids.index(self._here) / len(ids)
        wait = (turn - self._wall()) % period
        return wait if wait >= LEAST_WATCH_SECONDS else wait + period

    def _alive(self) -> list[str]:
        return [info.id for info in self._directory.instances() if info.alive]

    def _empty_pause(self) -> float:
        pause = self._empty_seconds
        self._empty_seconds = min(LAST_RETRY_SECONDS, 2 * pause)
        return pause * self._rng.uniform(0.5, 1.0)

    def _received(self, found: ports.Versioned | None) -> bool:
        """Takes what the store sent; returns whether it was new."""
        if found is None:
            return False
        self._version = found.version
        return self._take(found.value, "store")

    def _answered(self) -> None:
        now = self._clock.seconds()
        before, self.answered_at = self.answered_at, now
        if self.connected:
            return
        self.connected = True
        silent = 0.0 if before is None else now - before
        _log.info("the store answers.", silent_seconds=round(silent, 3))
        self._on_return()

    # Peers.

    def _ask_peer(self) -> float | None:
        """Asks an instance that is ahead, or any one without the store."""
        self.ahead.holds(self._held.revision)
        if self.ahead.since is None:
            if not self.connected and not self._asked:
                self._ask(self._any_peer(), 0)
            return None
        lag = self._clock.seconds() - self.ahead.since
        if self.connected and lag < WATCH_LAG_SECONDS:
            return WATCH_LAG_SECONDS - lag
        if len(self._asked) < MOST_CALLS:
            self._ask(*self.ahead.take(self._reachable))
        return NEXT_PEER_SECONDS

    def _ask(self, peer: str | None, told: int) -> None:
        if peer is None or peer in self._asked:
            return
        known = _REVISION.pack(self._held.revision)
        asked = self._calls.call(peer, METHOD, known, CALL_SECONDS)
        self._asked[peer] = asked
        began = self._clock.seconds()
        asked.addCallback(self._answered_by, peer, told, began)
        asked.addErrback(self._not_told, peer)

    def _answered_by(
        self, document: bytes, peer: str, told: int, began: float
    ) -> None:
        self._asked.pop(peer, None)
        if self._take(document, peer):
            self._doubt_watch(began)
        elif document and told > self._held.revision:
            self.ahead.refused(told)

    def _not_told(self, reason: failure.Failure, peer: str) -> None:
        self._asked.pop(peer, None)
        _log.info(
            "a peer did not tell its configuration.",
            peer=peer,
            reason=reason.getErrorMessage(),
        )

    def _any_peer(self) -> str | None:
        peers = [id for id in self._alive() if id != self._here]
        return self._rng.choice(peers) if peers else None

    def _doubt_watch(self, now: float) -> None:
        """Renews the watch unless it brings the revision as well soon."""
        if self.connected and self._watch_began <= now:
            _cancel(self._doubting)
            self._doubting = self._clock.callLater(
                SILENT_SECONDS, self._renew_watch, self._watch_began
            )

    def _renew_watch(self, began: float) -> None:
        if self._watch_began == began and self.connected:
            self.connected = False
            _log.warning(
                "the watch of the store hears nothing and is renewed.",
                watch_seconds=round(self._clock.seconds() - began, 3),
            )
            self._watch.give_up("A peer had a newer revision before it.")

    def _serve(self, caller: str, body: bytes) -> bytes:
        (known,) = _REVISION.unpack(body)
        return self._document if self._held.revision > known else b""

    def _heard(self, payload: bytes) -> None:
        if len(payload) < _REVISION.size:
            _log.warning("a broadcast without a revision was dropped.")
            return
        (revision,) = _REVISION.unpack_from(payload)
        self._told = max(self._told, revision)
        peer = payload[_REVISION.size :].decode("utf-8", "replace")
        # The sender has waited before it told.
        self._note(peer, revision, self._clock.seconds() - WATCH_LAG_SECONDS)

    def _told_by(self, peer: str, revision: int) -> None:
        self._note(peer, revision, self._clock.seconds())

    def _note(self, peer: str, revision: int, since: float) -> None:
        if revision <= self._held.revision:
            return
        if self.ahead.told(since, peer, revision):
            self._peers.wake()

    def _tell(self) -> None:
        revision = self._held.revision
        if revision > self._told:
            self._told = revision
            payload = _REVISION.pack(revision) + self._here.encode()
            self._broadcaster.broadcast(TOPIC, payload)

    # Both.

    def _take(self, document: bytes, source: str) -> bool:
        """Puts a document in force; returns whether it was newer."""
        if not document:
            return False
        new = self._read(document, source)
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
        self._in_force(new, source)
        return True

    def _read(
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

    def _in_force(self, new: config_model.Configuration, source: str) -> None:
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
            behind_parts=self._held.behind,
        )
        self.ahead.holds(new.revision)
        self._revisions.tell(new.revision)
        if self._held.behind:
            self._parts.wake(PARTS_SECONDS)
        _cancel(self._telling)
        self._telling = self._clock.callLater(
            self._rng.uniform(0, TELL_SECONDS), self._tell
        )

    def _complete(self) -> float | None:
        """Calls the parts again that failed to take the revision in force."""
        self._held.complete()
        return PARTS_SECONDS if self._held.behind else None


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
