"""Account of what a process holds for its clients; free of I/O.

One account serves all listeners of a process. Each connection has a share, in
which it records the bytes that it holds. When the sum exceeds the bound, the
account closes connections until the sum is well below it.
"""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs

MB = 1_000_000
# Resident memory of a process of a large fleet without callers.
PROCESS_BYTES = 72 * MB
# The allocator and objects that wait for the garbage collector need the rest.
HELD_SHARE = 0.5
MIN_BYTES = 8 * MB
# Memory of an open connection without a request: protocol, parser and timer.
CONNECTION_BYTES = 8 * 1024
# Memory of one header field beside its bytes: a tuple, two byte strings and
# their places in the lists of the parser and of the request.
FIELD_BYTES = 300
# A connection counts as stalled after this time without progress. Ordinary
# callers send a request or read an answer without such a pause.
STALL_SECONDS = 1.0
# Time for which a search for stalled connections that found none is not
# repeated, since it looks at all of them.
FULL_SECONDS = 0.1
# Fraction of the bound to which the sum is brought down, so that not every
# received byte closes another connection.
RELIEVED_SHARE = 0.9
# Descriptors that are not for accepted connections: targets, links to other
# instances, the store, listeners and files.
RESERVED_DESCRIPTORS = 700
# Receive buffer of a caller's socket. The system doubles it; it passes 60 MB a
# second over a round trip of 1 ms.
RECEIVE_BYTES = 64 * 1024
# A single answer may take this fraction of the bound while its caller reads
# slowly.
ANSWER_SHARE = 1 / 16


class Owner(Protocol):
    """A connection that has a share."""

    def turn_away(self, reason: str) -> None:
        """Closes the connection and frees what it holds."""


@attrs.define(eq=False)
class Share:
    """What one connection holds.

    Attributes:
        owner: The connection.
        held: Bytes that it holds.
        progress_at: Time of its last progress, in seconds.
        served: Whether it waits for this instance or a target, rather than
            for the client.
        idle: Whether its requests were served and no other has begun.
    """

    owner: Owner
    held: int
    progress_at: float
    served: bool = False
    idle: bool = False


@attrs.define
class Account:
    """Sum of what all connections of a process hold, and its bounds.

    Attributes:
        limit: Bound of the sum in bytes; 0 for none.
        max_connections: Bound on the number of connections; 0 for none.
        held: The sum in bytes.
        shares: Shares of the open connections, in the order of opening.
        turned_away: Number of clients refused or closed, by reason.
        report: Called with the reason for each of them.
        full_until: Time until which new connections are refused, in seconds.
    """

    limit: int = 0
    max_connections: int = 0
    held: int = 0
    shares: dict[Share, None] = attrs.field(factory=dict)
    turned_away: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    report: Callable[[str], None] = lambda reason: None
    full_until: float = 0.0

    @property
    def bounded(self) -> bool:
        """Whether there is a bound."""
        return bool(self.limit or self.max_connections)

    def admits(self, now: float) -> bool:
        """Returns whether a new connection may be opened.

        If there are too many, some of those that have stalled for longest are
        closed in its favour, then some that have been idle for longest.

        Args:
            now: Time in seconds.
        """
        most = self.max_connections
        if not most or len(self.shares) < most:
            return True
        if now >= self.full_until:
            self._make_room(now)
        if len(self.shares) < most:
            return True
        self.note("connections_refused")
        return False

    def _make_room(self, now: float) -> None:
        closable = sorted(
            (_rank(share, now), index, share)
            for index, share in enumerate(self.shares)
            if now - share.progress_at >= STALL_SECONDS and not share.served
        )
        for _, _, share in closable[: 1 + self.max_connections // 100]:
            self._turn_away(share, "connections")
        if not closable:
            self.full_until = now + FULL_SECONDS

    def open(self, owner: Owner, now: float) -> Share:
        """Adds the share of a new connection."""
        share = Share(owner, 0, now)
        self.shares[share] = None
        self.set_held(share, CONNECTION_BYTES, now)
        return share

    def close(self, share: Share) -> None:
        """Removes the share of a closed connection."""
        if share in self.shares:
            del self.shares[share]
            self.held -= share.held
            share.held = 0

    def set_held(self, share: Share, held: int, now: float) -> None:
        """Records what a connection holds; closes connections if needed.

        Args:
            share: Share of the connection, which may be closed itself.
            held: Bytes that it holds.
            now: Time in seconds.
        """
        if share not in self.shares:
            return
        grown = held > share.held
        self.held += held - share.held
        share.held = held
        if grown and self.limit and self.held > self.limit:
            self._relieve(now)

    def admits_answer(self, held: int) -> bool:
        """Returns whether an answer may be held for a slow caller.

        Args:
            held: Bytes of the answer that the caller has not read.
        """
        return (
            held <= self.limit * ANSWER_SHARE and self.held <= self.limit * 0.5
        )

    def note(self, reason: str) -> None:
        """Counts and reports a client that is turned away."""
        self.turned_away[reason] += 1
        self.report(reason)

    def _relieve(self, now: float) -> None:
        goal = self.limit * RELIEVED_SHARE
        ranked = sorted(self.shares, key=lambda share: _rank(share, now))
        for share in ranked:
            if self.held <= goal:
                return
            self._turn_away(share, "memory")

    def _turn_away(self, share: Share, reason: str) -> None:
        if share in self.shares:
            self.close(share)
            self.note(reason)
            share.owner.turn_away(reason)


_STALLED, _BUSY, _IDLE, _SERVED = range(4)


def _rank(share: Share, now: float) -> tuple[int, float]:
    """Returns the place of a share among those to be closed.

    First come those without progress for longest, then those that hold most.
    Idle ones hold little, and those that wait for this instance come last.
    """
    if share.idle:
        return _IDLE, share.progress_at
    if share.served:
        return _SERVED, -share.held
    if now - share.progress_at >= STALL_SECONDS:
        return _STALLED, share.progress_at
    return _BUSY, -share.held


def held_limit(memory_mb: float | None, machine_bytes: int) -> int:
    """Returns the bound of an account in bytes, or 0 for none.

    Args:
        memory_mb: Memory of the process by its settings, in MB.
        machine_bytes: Memory of the machine in bytes; 0 if unknown.
    """
    if memory_mb is None:
        return 0
    memory = int(memory_mb * MB)
    if machine_bytes:
        memory = min(memory, machine_bytes)
    return max(MIN_BYTES, int((memory - PROCESS_BYTES) * HELD_SHARE))


def connection_limit(descriptors: int | None, allowed: int) -> int:
    """Returns the largest number of accepted connections, or 0 for any.

    Args:
        descriptors: Descriptors of the process by its settings.
        allowed: Descriptors that the system allows it; 0 if unknown.
    """
    if descriptors is None:
        return 0
    if allowed > 0:
        descriptors = min(descriptors, allowed)
    return descriptors - min(descriptors // 2, RESERVED_DESCRIPTORS)
