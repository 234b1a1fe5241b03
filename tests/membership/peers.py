"""Fake peer calls, and free ports on the loopback interface."""

import socket

from twisted.internet import defer

from cicadafront import errors


class Calls:
    """Fake of the peer calls of one instance."""

    def __init__(self, id, fleet):
        self.id = id
        self.fleet = fleet
        self.handlers = {}
        self.broken = set()
        self.sizes = []
        fleet[id] = self

    def register(self, method, handler):
        self.handlers[method] = handler

    def call(self, instance, method, body, timeout):
        if instance in self.broken:
            return defer.fail(errors.CallFailedError("The link is broken."))
        peer = self.fleet[instance]
        answer = defer.maybeDeferred(peer.handlers[method], self.id, body)
        return answer.addCallback(self._note)

    def _note(self, body):
        self.sizes.append(len(body))
        return body


def free_port() -> int:
    """Returns a UDP port that no process uses."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
