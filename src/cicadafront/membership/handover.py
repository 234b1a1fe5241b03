"""Hands what a process knows in memory only to the processes that follow it.

Some promises rest on events that no later process can observe, such as a target
that has left, or a request that has crashed the targets that ran it. Each event
is kept as a fact. A new process learns the facts before it is ready: from the
store, in which each process writes its own ones, and from the peer that sends
it the state of the fleet.

A process is informed once it has read the store, or has asked a peer that had.
A peer that has started after the event, and could not read the store since,
may know nothing of it. As long as a process has not read the store, it also
keeps what concerns others, so that restarts in an outage lose nothing that one
process still knows.
"""

import base64
import binascii
import collections
import json
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from cicadafront import fields
from cicadafront.telemetry import logs

METHOD = "membership.handover"
# As long as the refusal of a request that crashes targets. Heartbeats arrive
# some seconds late at most.
LIFETIME_SECONDS = 600.0
# Facts of one topic that a process keeps: those it observed itself, which it
# also writes to the store, and those of others.
MAX_OWN_FACTS = 16
MAX_OTHER_FACTS = 512
# Encoded size of the facts in an entry of the store, and in a reply to a peer.
MAX_STORED_BYTES = 8 * 1024
MAX_REPLY_BYTES = 48 * 1024

_log = logs.Log("membership")


@attrs.frozen
class Fact:
    """An event that a process has observed.

    Attributes:
        topic: Kind of the event.
        subject: What the event is about; several facts may share it.
        payload: The encoded event.
        observed: Unix time in whole seconds.
        own: Whether this process, or one before it on the same machine,
            observed the event.
        concerns: Id of the only instance that needs to know; empty if all do.
    """

    topic: str
    subject: bytes
    payload: bytes
    observed: int
    own: bool
    concerns: str = ""

    def to_json(self) -> dict[str, Any]:
        """Returns the fact as JSON values."""
        values = {
            "topic": self.topic,
            "subject": base64.b64encode(self.subject).decode(),
            "payload": base64.b64encode(self.payload).decode(),
            "observed": self.observed,
        }
        if self.concerns:
            values["concerns"] = self.concerns
        return values


def _from_json(item: fields.Item, own: bool) -> Fact:
    return Fact(
        fields.identifier(item, "topic"),
        _bytes(item, "subject"),
        _bytes(item, "payload"),
        fields.integer(item, "observed"),
        own,
        fields.identifier(item, "concerns") if item.get("concerns") else "",
    )


def _bytes(item: fields.Item, name: str) -> bytes:
    try:
        return base64.b64decode(fields.string(item, name), validate=True)
    except (binascii.Error, ValueError) as error:
        raise fields.FieldError(
            f"The field {name!r} is not base64 text; correct it."
        ) from error


# Called with a payload and the seconds since the event was observed. Raises
# `ValueError` if the payload is malformed.
Handler = Callable[[bytes, float], None]


class Handover:
    """The facts of one process.

    Args:
        instance: Id of this instance.
        unix_time: Source of the time of day in seconds. Other processes read
            it, whose steady clocks differ.

    Attributes:
        complete: Whether this process has read the facts of all instances from
            the store.
        informed: Whether it knows the facts about its own instance, from the
            store or from a peer that is complete.
    """

    def __init__(
        self, instance: str, unix_time: Callable[[], float] = time.time
    ):
        self._instance = instance
        self.complete = False
        self.informed = False
        self._unix_time = unix_time
        self._facts: collections.OrderedDict[tuple[str, bytes], Fact] = (
            collections.OrderedDict()
        )
        self._handlers: dict[str, Handler] = {}
        self._change_handlers: list[Callable[[], None]] = []
        self._informed_handlers: list[Callable[[], None]] = []

    @property
    def awaits_peer(self) -> bool:
        """Whether something waits for this process to be informed."""
        return bool(self._informed_handlers) and not self.informed

    def on_informed(self, handler: Callable[[], None]) -> None:
        """Calls the handler once this process is informed."""
        self._informed_handlers.append(handler)

    def store_read(self) -> None:
        """Records that the facts of all instances were read from the store."""
        self.complete = True
        self._inform("store")

    def _inform(self, source: str) -> None:
        if self.informed:
            return
        self.informed = True
        _log.info("the facts about this instance are known.", source=source)
        for handler in self._informed_handlers:
            handler()

    def on_fact(self, topic: str, handler: Handler) -> None:
        """Calls the handler with each fact that another process hands over."""
        self._handlers[topic] = handler

    def on_own_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler when the facts for the store change."""
        self._change_handlers.append(handler)

    def add(
        self,
        topic: str,
        subject: bytes,
        payload: bytes,
        *,
        own: bool,
        concerns: str = "",
    ) -> bool:
        """Keeps an event that happened now; returns whether it is new."""
        now = int(self._unix_time())
        return self._keep(Fact(topic, subject, payload, now, own, concerns))

    def discard(self, topic: str, subject: bytes) -> None:
        """Drops the facts about a subject, which no longer hold."""
        found = [
            key
            for key, fact in self._facts.items()
            if (fact.topic, fact.subject) == (topic, subject)
        ]
        dropped = [self._facts.pop(key) for key in found]
        if any(fact.own for fact in dropped):
            self._notify()

    def own_payloads(self, topic: str, subject: bytes) -> list[bytes]:
        """Returns what this process observed about a subject."""
        return [
            fact.payload
            for fact in self._current()
            if fact.own and (fact.topic, fact.subject) == (topic, subject)
        ]

    def for_store(self) -> list[dict[str, Any]]:
        """Returns the newest facts that this process observed."""
        own = [fact for fact in self._current() if fact.own]
        return _newest(own, MAX_STORED_BYTES)

    def request(self) -> bytes:
        """Returns the body of a call that asks a peer for facts."""
        return json.dumps({"complete": self.complete}).encode()

    def for_peer(self, instance: str, request: bytes) -> bytes:
        """Returns the newest facts that an instance needs, encoded.

        Args:
            instance: Id of the instance.
            request: Body of its call; empty in earlier versions.

        Raises:
            FieldError: The body is malformed.
        """
        complete = not request or fields.parse(request).get("complete", True)
        needed = [
            fact
            for fact in self._current()
            if fact.concerns in ("", instance) or not complete
        ]
        found = _newest(needed, MAX_REPLY_BYTES)
        document = {"facts": found, "complete": self.complete}
        return json.dumps(document).encode()

    def learn_reply(self, reply: bytes) -> None:
        """Learns the facts that a peer knows.

        Raises:
            FieldError: The reply is malformed.
        """
        document = fields.parse(reply)
        self.learn(document, own=False)
        self._adopt()
        # Peers of an earlier version do not say whether they are complete.
        if document.get("complete", True):
            self._inform("peer")

    def _adopt(self) -> None:
        """Stores what concerns this instance and only peers had kept."""
        for fact in list(self._facts.values()):
            if fact.concerns == self._instance and not fact.own:
                self._keep(attrs.evolve(fact, own=True))

    def peer_has_none(self) -> None:
        """Records that a peer of an earlier version hands over no facts."""
        self._inform("peer without facts")

    def expired(self, holder: fields.Item) -> bool:
        """Returns whether all facts in a document have expired."""
        oldest = self._unix_time() - LIFETIME_SECONDS
        return all(
            isinstance(item.get("observed"), int) and item["observed"] <= oldest
            for item in fields.items(holder, "facts", required=False)
        )

    def learn(self, holder: fields.Item, *, own: bool) -> None:
        """Learns the facts in the field `facts` of a document.

        Invalid ones are logged and skipped.

        Args:
            holder: The document.
            own: Whether an earlier process on this machine observed them.

        Raises:
            FieldError: The field is not a list of objects.
        """
        learned: collections.Counter[str] = collections.Counter()
        for item in fields.items(holder, "facts", required=False):
            try:
                fact = _from_json(item, own)
                learned[fact.topic] += self._learn(fact)
            except (fields.FieldError, ValueError) as error:
                _log.warning(
                    "a fact that was handed over is invalid.", reason=str(error)
                )
        if learned.total():
            _log.info("facts were handed over.", own=own, topics=dict(learned))

    def _learn(self, fact: Fact) -> bool:
        """Returns whether the fact is new and still holds."""
        age = max(0.0, self._unix_time() - fact.observed)
        handler = self._handlers.get(fact.topic)
        if age >= LIFETIME_SECONDS or handler is None:
            return False
        is_new = self._keep(fact)
        try:
            handler(fact.payload, age)
        except ValueError:
            self.discard(fact.topic, fact.subject)
            raise
        return is_new

    def _keep(self, fact: Fact) -> bool:
        key = fact.topic, fact.payload
        known = self._facts.get(key)
        if known is not None and (known.own or not fact.own):
            return False
        self._facts[key] = fact
        limit = MAX_OWN_FACTS if fact.own else MAX_OTHER_FACTS
        alike = [
            key
            for key, each in self._facts.items()
            if (each.topic, each.own) == (fact.topic, fact.own)
        ]
        for old in alike[:-limit]:
            del self._facts[old]
        if fact.own:
            self._notify()
        return known is None

    def _current(self) -> list[Fact]:
        """Drops expired facts; returns the others, the oldest first."""
        oldest = self._unix_time() - LIFETIME_SECONDS
        for key, fact in list(self._facts.items()):
            if fact.observed <= oldest:
                del self._facts[key]
        return sorted(self._facts.values(), key=lambda fact: fact.observed)

    def _notify(self) -> None:
        for handler in self._change_handlers:
            handler()


def _newest(facts: Iterable[Fact], room: int) -> list[dict[str, Any]]:
    """Returns the newest facts whose encoded size fits, the oldest first."""
    found: list[dict[str, Any]] = []
    for fact in reversed(list(facts)):
        item = fact.to_json()
        room -= len(json.dumps(item))
        if room < 0:
            break
        found.append(item)
    return found[::-1]
