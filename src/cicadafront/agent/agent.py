"""The agent: runs requests at the targets beside this instance."""

from typing import Any

from cicadafront import errors, model
from cicadafront.agent import idle, observer, queue, run, targets
from cicadafront.peer import exchange


class Agent:
    """Runs exchanges at local targets; an `exchange.Opener`.

    Attributes:
        accepting: Whether new exchanges are taken; False late in a planned
            stop.
    """

    def __init__(
        self,
        local: targets.LocalTargets,
        slots: queue.Queue,
        watcher: observer.Observer,
        connector: targets.Connector,
        clock: Any,
    ):
        self._local = local
        self.slots = slots
        self.watcher = watcher
        self.connector = connector
        self.clock = clock
        self.idle = idle.IdleConnections(clock, watcher)
        self.accepting = True
        self.running: set[object] = set()

    def open(
        self, request: exchange.OpenRequest, response: exchange.ResponseSink
    ) -> exchange.RequestSink:
        """Starts an exchange."""
        started = run.Run(self, request, response)
        self.running.add(started)
        started.start()
        return started

    def place(self, id: str) -> targets.LocalTarget:
        """Returns a target that takes work.

        Raises:
            NoTargetError: The target is not beside this instance.
            TargetLeavingError: The target takes no new work.
        """
        found = self._local.local(id)
        if found is None:
            raise errors.NoTargetError(
                f"Target {id} is not beside this instance; try again.",
                retry_after=1.0,
            )
        state = found.target.state
        if state is not model.TargetState.SERVING or not self.accepting:
            raise errors.TargetLeavingError(
                f"Target {id} takes no new work; try again.", retry_after=1.0
            )
        return found
