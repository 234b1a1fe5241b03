"""Announces a stand-in target to the instance beside it."""

from typing import Any

import attrs
import treq
from twisted.internet import defer, task
from twisted.python import failure

from cicadafront.emulator import target_state

ANNOUNCE_SECONDS = 1.0


@attrs.define
class Announcer:
    """Announces a target to the instance beside it every second."""

    state: target_state.TargetState
    url: str
    address: str
    failures: int = 0

    def start(self, reactor: Any) -> "defer.Deferred[task.LoopingCall]":
        """Starts to announce."""
        loop = task.LoopingCall(self.announce)
        loop.clock = reactor
        return loop.start(ANNOUNCE_SECONDS)

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
        answer = await treq.put(self.url, json=body, timeout=1)
        await treq.content(answer)
        if answer.code >= 300:
            self.failures += 1

    def announce(self) -> "defer.Deferred[None]":
        """Sends one announcement and counts a failure."""
        sent = defer.ensureDeferred(self.send())
        return sent.addErrback(self.count_failure)

    def count_failure(self, _reason: failure.Failure) -> None:
        """Counts an announcement that got no answer."""
        self.failures += 1
