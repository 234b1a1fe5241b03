"""Calls to shard owners, and the Twisted helpers shared by this package."""

import json
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.limits import shards

RETRY_SECONDS = (0.05, 0.15)
# Timeout of a call to one instance, after which the next candidate is called.
CALL_SECONDS = 0.5
SUSPECT = "owner.suspect"
SUSPECT_SECONDS = 0.5


class Timer(Protocol):
    """Clock and delayed calls."""

    def seconds(self) -> float:
        """Returns the time; it never steps, and advances during suspend."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Any:
        """Schedules a call.

        Args:
            delay: Seconds until the call.
            callable: Function to call.
            *args: Its arguments.

        Returns:
            The delayed call, with the methods `cancel` and `active`.
        """


class ReactorTimer:
    """Timer over a reactor, with a clock that advances during suspend.

    The reactor's own clock may step with the wall clock, and the monotonic
    clock stops while a virtual machine is suspended. With either of them, an
    owner that was suspended could act on a confirmation that has expired.
    """

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def seconds(self) -> float:
        """Returns the seconds since the machine booted."""
        return time.clock_gettime(self._clock)

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Any:
        """Schedules a call on the reactor."""
        return self._reactor.callLater(delay, callable, *args)


def pack(data: object) -> bytes:
    """Encodes the body of a call as JSON."""
    return json.dumps(data, separators=(",", ":")).encode()


def unpack(body: bytes) -> Any:
    """Decodes the body of a call."""
    return json.loads(body)


def bounded(
    deferred: "defer.Deferred[Any]", timer: Timer, seconds: float
) -> "defer.Deferred[Any]":
    """Fails a Deferred with `defer.TimeoutError` after `seconds`."""
    return deferred.addTimeout(seconds, timer)  # type: ignore[arg-type]


def pause(timer: Timer, seconds: float) -> "defer.Deferred[None]":
    """Returns a Deferred that fires after `seconds`."""
    waiting: defer.Deferred[None] = defer.Deferred()
    timer.callLater(seconds, waiting.callback, None)
    return waiting


def ignore(_reason: failure.Failure) -> None:
    """Discards a failure that other code recovers from."""


class OwnerCalls:
    """Finds the owner of a shard and calls it.

    A reply `{"owner": id}` is a redirect. Instances learn the owners from
    redirects, without calls to the store.

    Attributes:
        me: Id of this instance.
        known: Cached owners, by shard.
    """

    def __init__(
        self,
        me: str,
        directory: ports.Directory,
        peers: ports.PeerCalls,
        timer: Timer,
        rng: random.Random,
    ):
        self.me = me
        self.known: dict[int, str] = {}
        self._directory = directory
        self._peers = peers
        self._timer = timer
        self._rng = rng
        self._candidates: list[ports.InstanceInfo] | None = None
        self._suspect_until: dict[str, float] = {}
        directory.on_change(self._forget_candidates)

    def _forget_candidates(self) -> None:
        self._candidates = None

    def likely_owners(self, shard: int) -> list[str]:
        """Returns the ids of the three most likely owners of a shard."""
        if self._candidates is None:
            self._candidates = shards.candidates(self._directory.instances())
        return [info.id for info in shards.ranked(shard, self._candidates)[:3]]

    @defer.inlineCallbacks
    def call(
        self,
        shard: int,
        method: str,
        body: dict,
        timeout: float,
        attempt_timeout: float = CALL_SECONDS,
    ):
        """Calls the owner, following redirects until it answers.

        Args:
            shard: Number of the shard.
            method: Method of the call.
            body: JSON object to send.
            timeout: Seconds until the call fails, over all attempts.
            attempt_timeout: Seconds to wait for the answer of one instance.

        Returns:
            The reply, and the time in seconds at which the answered attempt
            was sent.

        Raises:
            CallFailedError: No owner answered within `timeout`.
        """
        end = self._timer.seconds() + timeout
        packed = pack(body)
        attempts = 0
        while True:
            sent = self._timer.seconds()
            if sent >= end:
                raise errors.CallFailedError(
                    f"no owner of shard {shard} answered {method}"
                )
            instance = self._next_instance(shard, attempts)
            attempts += 1
            reply = None
            if instance is not None:
                reply = yield self._call_once(
                    shard,
                    instance,
                    method,
                    packed,
                    min(attempt_timeout, end - sent),
                )
            if instance and reply is not None and "owner" not in reply:
                self.known[shard] = instance
                return reply, sent
            if self._follow_redirect(shard, instance, reply):
                continue
            yield pause(self._timer, self._rng.uniform(*RETRY_SECONDS))

    def _next_instance(self, shard: int, attempts: int) -> str | None:
        known = self.known.get(shard)
        if known is not None:
            return known
        likely_owners = self.likely_owners(shard)
        return (
            likely_owners[attempts % len(likely_owners)]
            if likely_owners
            else None
        )

    def _follow_redirect(
        self, shard: int, instance: str | None, reply: dict | None
    ) -> bool:
        self.known.pop(shard, None)
        owner = reply.get("owner") if reply is not None else None
        if owner is None or owner == instance:
            return False
        self.known[shard] = owner
        return True

    @defer.inlineCallbacks
    def _call_once(
        self,
        shard: int,
        instance: str,
        method: str,
        body: bytes,
        timeout: float,
    ):
        try:
            answer = yield bounded(
                self._peers.call(instance, method, body, timeout),
                self._timer,
                timeout,
            )
        except errors.CallFailedError as error:
            if error.code == errors.CallFailedError.code:
                self._report_suspect(shard, instance)
            return None
        except (errors.CicadafrontError, defer.TimeoutError):
            return None
        return unpack(answer)

    def _report_suspect(self, shard: int, instance: str) -> None:
        """Makes the shard's candidates probe an unresponsive instance now."""
        now = self._timer.seconds()
        if now < self._suspect_until.get(instance, now):
            return
        self._suspect_until[instance] = now + SUSPECT_SECONDS
        for id in self.likely_owners(shard):
            if id != instance:
                self._peers.call(
                    id, SUSPECT, pack(instance), SUSPECT_SECONDS
                ).addErrback(ignore)
