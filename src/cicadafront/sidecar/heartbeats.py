"""Endpoint for the heartbeats and deregistrations of the local target."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import model
from cicadafront.membership import heartbeat_registry, stored_facts
from cicadafront.platform import heartbeats, wire_names
from cicadafront.sidecar import endpoints
from cicadafront.telemetry import logs

# Time for the store to take a departure. Targets take an acknowledgement that
# comes after 1 s for a lost one, and the other instances need time to confirm.
MAX_WRITE_SECONDS = 0.5

_log = logs.Log("sidecar")


@attrs.frozen
class HeartbeatEndpoint:
    """Passes valid calls of targets to the registry.

    Attributes:
        registry: Registry of the local target.
        facts: Writes the departures to the store.
        send_urgent: Sends the record of a target that leaves to the other
            instances at once.
        tell_peers: Tells the other instances that the target with this id has
            left; returns whether one of them has stored it.
        reactor: Source of timers.
    """

    registry: heartbeat_registry.HeartbeatRegistry
    facts: stored_facts.StoredFacts
    send_urgent: Callable[[], None]
    tell_peers: Callable[[str], Awaitable[bool]]
    reactor: Any

    def respond(
        self, head: model.RequestHead, body: bytes
    ) -> "endpoints.Response | defer.Deferred[endpoints.Response]":
        """Handles a call; an `endpoints.Responder`."""
        call = wire_names.target_call(head)
        if call is None:
            return endpoints.Response(404)
        target, deregisters = call
        now = self.reactor.seconds()
        if deregisters:
            self.registry.leaving(now, target, heartbeats.incarnation(body))
            return defer.ensureDeferred(self._accept_when_known(target))
        try:
            heartbeat = heartbeats.decode(target, body)
        except heartbeats.HeartbeatError as error:
            _log.info("rejected an invalid heartbeat.", reason=error.message)
            return endpoints.Response(400)
        self.registry.heartbeat(now, heartbeat)
        if heartbeat.state is model.TargetState.LEAVING:
            return defer.ensureDeferred(self._accept_when_known(target))
        return _ACCEPTED

    async def _accept_when_known(self, target: str) -> endpoints.Response:
        """Acknowledges that a target leaves, once the store has it.

        The acknowledgement binds all later processes, also if all of them are
        killed. Without it the target calls again. No request is sent to the
        target in any case while this process lives. The other instances hear
        of it first: they tell the next process if the store is away then.
        """
        self.send_urgent()
        try:
            await self.facts.when_written(MAX_WRITE_SECONDS)
        except defer.TimeoutError:
            if not await self.tell_peers(target):
                _log.warning(
                    "the store has not taken that a target leaves, neither "
                    "from this instance nor from another; the target gets no "
                    "acknowledgement and has to call again.",
                    target=target,
                )
                return endpoints.Response(503)
        return _ACCEPTED


_ACCEPTED = endpoints.Response(200, heartbeats.ACCEPTED)
