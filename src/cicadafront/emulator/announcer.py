"""Announces an emulated target to its local instance."""

from typing import Any

import attrs
import treq
from twisted.internet import defer, task
from twisted.python import failure

from cicadafront.emulator import target_state

ANNOUNCE_INTERVAL_SECONDS = 1.0


@attrs.define
class Announcer:
    """Announces a target to its local instance every second.

    Attributes:
        state: State of the target.
        url: URL of the target at the operators' address of the instance.
        address: Host and port at which the target listens.
        failures: Announcements without a response or with a status from 300.
    """

    state: target_state.TargetState
    url: str
    address: str
    failures: int = 0

    def start(self, reactor: Any) -> "defer.Deferred[task.LoopingCall]":
        """Starts the periodic announcements."""
        loop = task.LoopingCall(self.announce)
        loop.clock = reactor
        return loop.start(ANNOUNCE_INTERVAL_SECONDS)

    async def send(self) -> None:
        """Sends one announcement."""
        state = self.state
        body = {
            "service": state.service,
            "address": self.address,
            "slots": state.slots,
            "load": state.running,
            "state": "leaving" if state.leaving else "serving",
        }
        response = await treq.put(self.url, json=body, timeout=1)
        await treq.content(response)
        if response.code >= 300:
            self.failures += 1

    def announce(self) -> "defer.Deferred[None]":
        """Sends one announcement and counts it if it fails."""
        sent = defer.ensureDeferred(self.send())
        return sent.addErrback(self.count_failure)

    def count_failure(self, _reason: failure.Failure) -> None:
        """Counts an announcement that got no response."""
        self.failures += 1
