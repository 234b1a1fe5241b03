"""Follows the evacuations of data centres that operators write to the store.

A change arrives like a configuration (`config.follow`): through a watch of the
store on some instances, by a broadcast with the whole state, or by a call to a
peer whose gossip datagrams carry a higher token. `config.evacuations` decides
which of two states is newer.
"""

import random
import time
from collections.abc import Callable
from typing import Any

from twisted.python import failure

from cicadafront import errors, loops, ports
from cicadafront.config import catchup, evacuations, follow, watchers
from cicadafront.telemetry import logs

METHOD = "evacuations"
TOPIC = "evacuations"
# Longest payload of a broadcast. A longer state is fetched by a peer call.
MAX_BROADCAST_BYTES = 1000
# The state is a few hundred bytes long.
CALL_TIMEOUT_SECONDS = 1.0
MAX_CALLS = 6
# A broadcast reaches the others before their requests to the data centre time
# out. Instances that get the same change at the same time spread theirs, so
# that most of them learn from another one that theirs is not needed.
BROADCAST_SPREAD_SECONDS = 0.1

# Instances that have to read the keys again at the same time spread their reads
# over this time.
READ_SPREAD_SECONDS = 0.5
# After the store was restored, its content does not suffice: peers may keep
# evacuations that it lost. A new process waits this long for a peer.
PEER_WAIT_SECONDS = 3.0
# Source of a change that each instance finds by its own clock.
_KEEP_END = "end of the time to keep"

ChangeHandler = Callable[[frozenset[str], frozenset[str]], None]

_log = logs.Log("evacuation")


class EvacuationFollower:
    """Keeps track of the evacuated data centres.

    Attributes:
        held: The newest known state, None before the first.
        known: Whether it is known which data centres are evacuated.
        newer_peers: The instances that hold a newer state.

    Args:
        instance: Id of this instance.
        prefix: Prefix of the keys in the store; the rest is a data centre.
        running: Loops of the process, to which those of this object are added.
        clock: Source of time and timers.
        rng: Random source.
        store: Client of the store.
        directory: Known instances.
        broadcaster: Broadcasts to all instances.
        tokens: Exchange of `Evacuations.token` with the other instances.
        calls: Calls to other instances.
        era: Returns the era of the store.
        reachable: Returns whether an instance can probably be called.
        isolated: Returns whether this instance appears to be cut off.
        wall: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        instance: str,
        prefix: str,
        *,
        running: loops.Loops,
        clock: Any,
        rng: random.Random,
        store: ports.PrefixStore,
        directory: ports.Directory,
        broadcaster: ports.Broadcaster,
        tokens: ports.Revisions,
        calls: ports.PeerCalls,
        era: Callable[[], int] = lambda: 0,
        reachable: catchup.Reachable = lambda instance: True,
        isolated: Callable[[], bool] = lambda: False,
        wall: Callable[[], float] = time.time,
    ):
        self.held: evacuations.Evacuations | None = None
        self.known = False
        self.newer_peers = catchup.NewerPeers(rng)
        self._instance = instance
        self._prefix = prefix
        self._clock = clock
        self._rng = rng
        self._store = store
        self._directory = directory
        self._broadcaster = broadcaster
        self._tokens = tokens
        self._calls = calls
        self._era = era
        self._reachable = reachable
        self._isolated = isolated
        self._wall = wall
        self._handlers: list[ChangeHandler] = []
        self._in_force: frozenset[str] = frozenset()
        # What was read from the store, None if the keys must be read again.
        self._view: evacuations.StoreView | None = None
        # Whether the state was compared with that of a peer. Until then this
        # instance may have missed what only its peers know.
        self._compared = False
        self._announced = 0
        self._calls_in_flight: set[str] = set()
        self._started_at = 0.0
        self._watch_started_at = 0.0
        self._timers: list[Any] = []
        self._watch_loop = running.add(
            "evacuation watch", self._follow_store, follow.WATCH_TIMING
        )
        self._peer_loop = running.add(
            "evacuations of peers", self._poll_peers, follow.PEER_TIMING
        )
        broadcaster.on_broadcast(TOPIC, self._on_broadcast)
        tokens.on_revision(self._on_peer_token)
        calls.register(METHOD, self._serve)

    def start(self) -> None:
        """Starts reading and watching the keys."""
        self._started_at = self._clock.seconds()
        for loop in (self._watch_loop, self._peer_loop):
            loop.start()

    def stop(self) -> None:
        """Stops the loops and timers."""
        for loop in (self._watch_loop, self._peer_loop):
            loop.stop()
        for timer in self._timers:
            if timer.active():
                timer.cancel()

    def on_change(self, handler: ChangeHandler) -> None:
        """Registers a handler of changes.

        It is called with the data centres that became and that are no longer
        evacuated, first when the state becomes known.
        """
        self._handlers.append(handler)

    def evacuated(self) -> frozenset[str]:
        """Returns the evacuated data centres."""
        if self.held is None:
            return frozenset()
        return self.held.in_force(self._clock.seconds())

    def era_changed(self) -> None:
        """Handles a store that was restored from an older copy.

        The evacuations stay in force until the store was read again, and those
        that it lacks for at most `evacuations.KEEP_SECONDS`.
        """
        if self.held is not None:
            now = self._clock.seconds()
            entered = evacuations.enter_era(self.held, self._era(), now)
            self._replace(entered, "store")
        self._read_again("The store was restored from an older copy.")

    # Store.

    async def _follow_store(self) -> float:
        """Waits for one change, if this instance watches.

        Returns:
            Seconds until the next watch.
        """
        if not self._should_watch():
            return follow.WATCHER_CHECK_SECONDS
        try:
            if self._view is None:
                await self._read()
            return await self._watch()
        except errors.StoreUnavailableError:
            # The loop logs the reason.
            self._view = None
            raise

    def _should_watch(self) -> bool:
        if self._view is None or self._isolated():
            return True
        return self._instance in self._watchers()

    def _watchers(self) -> set[str]:
        return watchers.select({self._instance, *self._live_instances()})

    def _live_instances(self) -> list[str]:
        return [info.id for info in self._directory.instances() if info.alive]

    async def _read(self) -> None:
        items, revision = await self._store.read_prefix(self._prefix)
        found = evacuations.view(self._era(), self._prefix, items, revision)
        self._view = found
        self._compared = False
        self._merge(found.value(), "store")

    async def _watch(self) -> float:
        view = self._view
        if view is None:
            return 0.0
        now = self._watch_started_at = self._clock.seconds()
        wait = watchers.seconds_to_turn(
            self._instance,
            self._watchers(),
            now - self._started_at >= follow.SETTLE_SECONDS,
            self._wall(),
        )
        changes = await self._store.watch_prefix(
            self._prefix, view.revision, wait
        )
        if changes is None or view.era != self._era():
            # Without a pause, a store whose watches accept no revision that it
            # has stated would be read all the time.
            self._view = None
            return follow.EARLY_ANSWER_PAUSE_SECONDS
        self._view = view.apply(self._prefix, changes)
        self._merge(self._view.value(), "store")
        early = self._clock.seconds() - now < wait / 2
        if early and not changes.events:
            return follow.EARLY_ANSWER_PAUSE_SECONDS
        return 0.0

    def _read_again(self, reason: str) -> None:
        """Ends the watch and reads all keys."""
        self._view = None
        self._watch_loop.give_up(reason)
        self._watch_loop.wake(self._rng.uniform(0, READ_SPREAD_SECONDS))

    # Peers.

    def _poll_peers(self) -> float | None:
        """Calls a peer with a newer state, or any peer at the start.

        Returns:
            Seconds until the next run, or None for the default.
        """
        self._notify(_KEEP_END)
        self._check_known("store")
        self.newer_peers.discard_until(self._token())
        peer: str | None = None
        if self.newer_peers.since is not None:
            peer, _ = self.newer_peers.pop(self._reachable)
        elif not self._compared and not self._calls_in_flight:
            peer = self._random_peer()
        if peer is None:
            return None
        self._call_peer(peer)
        return follow.NEXT_PEER_SECONDS

    def _random_peer(self) -> str | None:
        peers = [id for id in self._live_instances() if id != self._instance]
        return self._rng.choice(peers) if peers else None

    def _call_peer(self, peer: str) -> None:
        full = len(self._calls_in_flight) >= MAX_CALLS
        if full or peer in self._calls_in_flight:
            return
        self._calls_in_flight.add(peer)
        call = self._calls.call(peer, METHOD, b"", CALL_TIMEOUT_SECONDS)
        call.addCallback(self._on_reply, peer, self._clock.seconds())
        call.addErrback(self._on_call_failed, peer)

    def _on_reply(self, reply: bytes, peer: str, called_at: float) -> None:
        self._calls_in_flight.discard(peer)
        if not reply:
            # The peer does not know the state either.
            return
        found, _ = evacuations.decode(reply, self._clock.seconds())
        self._compared = True
        if self._merge(found, peer):
            self._schedule_watch_check(called_at)
        self._check_known(peer)

    def _on_call_failed(self, reason: failure.Failure, peer: str) -> None:
        self._calls_in_flight.discard(peer)
        error = reason.value
        if (
            isinstance(error, errors.CallFailedError)
            and error.code == "method_unknown"
        ):
            # The peer runs an earlier version or does not follow evacuations.
            self._compared = True
        _log.info(
            "failed to fetch the evacuations from a peer.",
            peer=peer,
            reason=reason.getErrorMessage(),
        )

    def _schedule_watch_check(self, now: float) -> None:
        """Reads the store again unless the watch soon delivers the change."""
        if self._view is None or self._watch_started_at > now:
            return
        self._call_later(
            follow.STALLED_WATCH_SECONDS,
            self._renew_stalled_watch,
            self._watch_started_at,
        )

    def _renew_stalled_watch(self, started_at: float) -> None:
        watching = self._view is not None and self._should_watch()
        if watching and self._watch_started_at == started_at:
            _log.warning("store watch has stalled; renewing it.")
            self._read_again("A peer delivered a change before the watch did.")

    def _serve(self, caller: str, body: bytes) -> bytes:
        if self.held is None or not self.known:
            return b""
        return evacuations.encode(self.held, self._clock.seconds())

    def _on_broadcast(self, payload: bytes) -> None:
        now = self._clock.seconds()
        try:
            found, sender = evacuations.decode(payload, now)
        except evacuations.MalformedEvacuationsError as error:
            _log.warning("ignored a broadcast.", reason=error.message)
            return
        self._announced = max(self._announced, found.token)
        if sender:
            # The state was too long for the broadcast.
            self._on_peer_token(sender, found.token)
        else:
            self._merge(found, "broadcast")

    def _on_peer_token(self, peer: str, token: int) -> None:
        if token <= self._token():
            return
        if self.newer_peers.add(self._clock.seconds(), peer, token):
            self._peer_loop.wake()

    def _token(self) -> int:
        return self.held.token if self.held is not None else 0

    def _broadcast(self) -> None:
        if self.held is None or self._token() <= self._announced:
            return
        self._announced = self._token()
        now = self._clock.seconds()
        payload = evacuations.encode(self.held, now)
        if len(payload) > MAX_BROADCAST_BYTES:
            stub = evacuations.Evacuations(self.held.era, self.held.changed)
            payload = evacuations.encode(stub, now, self._instance)
        self._broadcaster.broadcast(TOPIC, payload)

    # State from any source.

    def _merge(self, found: evacuations.Evacuations, source: str) -> bool:
        """Merges a state; returns whether other data centres are evacuated."""
        now = self._clock.seconds()
        held = self.held
        merged = (
            evacuations.merge(held, found, now) if held is not None else found
        )
        return self._replace(merged, source)

    def _replace(self, new: evacuations.Evacuations, source: str) -> bool:
        before = self.held
        self.held = new
        self.newer_peers.discard_until(new.token)
        if before is None or new.token != before.token:
            self._tokens.publish(new.token)
        self._check_known(source)
        return self._notify(source)

    def _check_known(self, source: str) -> None:
        """Notifies the handlers when the state becomes known."""
        if self.known or self.held is None:
            return
        age = self._clock.seconds() - self._started_at
        if self.held.era and not self._compared and age < PEER_WAIT_SECONDS:
            return
        self.known = True
        self._in_force = self.evacuated()
        _log.info(
            "it is known which data centres are evacuated.",
            source=source,
            data_centres=sorted(self._in_force),
        )
        self._call_handlers(self._in_force, frozenset())

    def _notify(self, source: str) -> bool:
        """Notifies the handlers if other data centres are evacuated."""
        current = self.evacuated()
        added, removed = current - self._in_force, self._in_force - current
        if self.held is None or not (self.known and (added or removed)):
            return False
        self._in_force = current
        for data_centres, text in (
            (added, "a data centre is evacuated."),
            (removed, "a data centre is no longer evacuated."),
        ):
            for data_centre in sorted(data_centres):
                _log.info(
                    text,
                    data_centre=data_centre,
                    source=source,
                    era=self.held.era,
                    revision=self.held.changed,
                    kept=data_centre in self.held.kept,
                )
        self._call_handlers(added, removed)
        if source != _KEEP_END:
            spread = self._rng.uniform(0, BROADCAST_SPREAD_SECONDS)
            self._call_later(spread, self._broadcast)
        return True

    def _call_handlers(
        self, added: frozenset[str], removed: frozenset[str]
    ) -> None:
        for handler in self._handlers:
            try:
                handler(added, removed)
            except Exception:
                # The others must still apply the change.
                _log.error(
                    "a handler failed to apply a change.",
                    traceback=failure.Failure().getTraceback(),
                )

    def _call_later(self, seconds: float, run: Callable, *args: Any) -> None:
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._clock.callLater(seconds, run, *args))
