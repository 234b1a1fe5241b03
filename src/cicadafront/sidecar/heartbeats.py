"""Endpoint for the heartbeats and deregistrations of the local target."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import model
from cicadafront.membership import heartbeat_registry, registration
from cicadafront.platform import heartbeats, wire_names
from cicadafront.sidecar import endpoints
from cicadafront.telemetry import logs

# Targets take an acknowledgement that comes after 1 s for a lost one.
MAX_ACKNOWLEDGEMENT_SECONDS = 0.5

_log = logs.Log("sidecar")


@attrs.frozen
class HeartbeatEndpoint:
    """Passes valid calls of targets to the registry.

    Attributes:
        registry: Registry of the local target.
        registration: Writes what the registry knows to the store.
        tell_peers: Broadcasts that the target with this id has left.
        reactor: Source of timers.
    """

    registry: heartbeat_registry.HeartbeatRegistry
    registration: registration.Registration
    tell_peers: Callable[[str], None]
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
            return self._accept_when_known(target)
        try:
            heartbeat = heartbeats.decode(target, body)
        except heartbeats.HeartbeatError as error:
            _log.info("rejected an invalid heartbeat.", reason=error.message)
            return endpoints.Response(400)
        self.registry.heartbeat(now, heartbeat)
        if heartbeat.state is model.TargetState.LEAVING:
            return self._accept_when_known(target)
        return _ACCEPTED

    def _accept_when_known(
        self, target: str
    ) -> "defer.Deferred[endpoints.Response]":
        """Acknowledges that a target leaves, once the next process can know.

        It learns it from the store, or from the other instances if the store
        does not answer now.
        """
        written = self.registration.when_written()
        written.addTimeout(
            MAX_ACKNOWLEDGEMENT_SECONDS,
            self.reactor,
            lambda *_: self.tell_peers(target),
        )
        return written.addCallback(lambda _: _ACCEPTED)


_ACCEPTED = endpoints.Response(200, heartbeats.ACCEPTED)
