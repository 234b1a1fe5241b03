"""Simulation of agents, permit owners and a lossy network for one service."""

import random

from cicadafront import model
from cicadafront.health import detector, ejection, permits

TARGETS = 6
SLOTS = 3
FLOOR = 0.5
TICK_SECONDS = 0.1
# Age of the records and of the reachability that an owner uses.
VIEW_SECONDS = 1.0
CONFIRM_SECONDS = 4.0
# Time within which ejections must adapt to a loss of capacity that they did
# not cause: the owner detects the loss, and permits that it no longer renews
# expire.
GRACE_SECONDS = VIEW_SECONDS + permits.PERMIT_SECONDS + 3 * TICK_SECONDS


class Agent:
    """One target and its agent."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.id = f"target-{number}"
        self.ejection = ejection.Ejection(world.rng)
        self.gray = False
        self.dead = False
        self.paused_until = 0.0
        self.warm_since = -100.0
        self.state = "serving"

    def record(self) -> model.Target:
        """Returns the record that the agent announces."""
        state = model.TargetState.SERVING
        if self.ejection.ejected:
            state = model.TargetState.EJECTED
        return model.Target(
            self.id,
            "service",
            self.id,
            SLOTS,
            state,
            self.warm_since,
            self.ejection.weight(self.world.now),
        )

    def reachable(self) -> bool:
        """Returns whether the agent and its target are running."""
        return not self.dead and self.world.now >= self.paused_until

    def tick(self) -> None:
        """Evaluates the target, unless the process is dead or paused."""
        if not self.reachable():
            return
        now = self.world.now
        if now - self.paused_until > TICK_SECONDS:
            found = detector.Gray("test") if self.gray else detector.Healthy()
            self.act(self.ejection.verdict(now, found))
        self.act(self.ejection.tick(now))

    def act(self, actions: list[ejection.Action]) -> None:
        """Carries out the actions."""
        for action in actions:
            match action:
                case ejection.RequestPermit(serial, running):
                    self.world.send(
                        lambda s=serial, r=running: self.world.requested(
                            self, s, r
                        )
                    )
                case ejection.ReleasePermit(serial):
                    self.world.send(
                        lambda s=serial: self.world.released(self, s)
                    )
                case ejection.Probe():
                    self.act(
                        self.ejection.probed(self.world.now, not self.gray)
                    )
        if self.state == "probing" and self.ejection.state == "slow_start":
            self.warm_since = self.world.now
        self.state = self.ejection.state


class World:
    """Runs the simulation in steps and checks the floor after each step.

    Attributes:
        delay: Longest delay of a message, in seconds.
        loss: Share of messages that are lost.
    """

    permits_class = permits.Permits
    agent_class = Agent

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.delay = 0.05
        self.loss = 0.0
        self.agents = [self.agent_class(self, n) for n in range(TARGETS)]
        self.messages: list[tuple[float, object]] = []
        self.views: list[tuple[float, list[model.Target], set[str]]] = []
        self.shares: list[tuple[float, dict[str, float]]] = []
        self.epoch = 0
        self.authority_end = -100.0
        self.owner: permits.Permits = self._claim()
        self.claim_at: float | None = None
        self.crashed = False
        self.shortfalls: list[str] = []
        self.ejections = 0

    def _claim(self) -> permits.Permits:
        self.epoch += 1
        owner = self.permits_class(FLOOR, self.epoch, self.authority_end)
        self.authority_end = self.now + CONFIRM_SECONDS
        owner.confirm(self.authority_end)
        return owner

    def send(self, deliver) -> None:
        """Delivers a message after a random delay, or drops it."""
        if self.rng.random() >= self.loss:
            due = self.now + self.rng.uniform(0.0, self.delay)
            self.messages.append((due, deliver))

    def change_owner(self, crash: bool) -> None:
        """Lets a new owner claim the shard 1 s after the authority ends.

        An owner that does not crash is partitioned from the store and from its
        deputy, and continues to issue permits until its authority ends.
        """
        if self.claim_at is None:
            self.claim_at = self.authority_end + 1.0
            self.crashed = crash

    def requested(self, agent: Agent, serial: int, running: bool) -> None:
        """Handles a permit request at the owner."""
        if self.crashed:
            return
        answer = self.owner.request(self.now, agent.id, SLOTS, serial, running)
        self.send(lambda: self._answered(agent, serial, answer))

    def _answered(self, agent: Agent, serial: int, answer) -> None:
        if agent.reachable():
            before = agent.ejection.ejected
            agent.act(agent.ejection.answered(self.now, serial, answer))
            self.ejections += agent.ejection.ejected and not before

    def released(self, agent: Agent, serial: int) -> None:
        """Handles a release at the owner."""
        if not self.crashed:
            self.owner.release(self.now, agent.id, serial)

    def _recalled(self, agent: Agent) -> None:
        if agent.reachable():
            agent.act(agent.ejection.recalled(self.now))

    def run(self, seconds: float) -> None:
        """Advances the time by some seconds."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.step()

    def step(self) -> None:
        """Advances by one tick."""
        self.now += TICK_SECONDS
        for agent in self.agents:
            agent.tick()
        due = [item for item in self.messages if item[0] <= self.now]
        self.messages = [item for item in self.messages if item[0] > self.now]
        for _, deliver in sorted(due, key=lambda item: item[0]):
            deliver()
        self._view()
        self._own()
        self._check()

    def _view(self) -> None:
        reachable = {a.id for a in self.agents if a.reachable()}
        records = [agent.record() for agent in self.agents]
        self.views.append((self.now, records, reachable))
        while self.now - self.views[0][0] > VIEW_SECONDS:
            self.views.pop(0)

    def _own(self) -> None:
        if self.claim_at is not None and self.now >= self.claim_at:
            self.owner = self._claim()
            self.claim_at = None
            self.crashed = False
        if self.claim_at is None:
            self.authority_end = self.now + CONFIRM_SECONDS
            self.owner.confirm(self.authority_end)
        if self.crashed:
            return
        _, records, reachable = self.views[0]
        self.owner.update(self.now, records, reachable.__contains__)
        by_id = {agent.id: agent for agent in self.agents}
        for target in self.owner.recalls(self.now):
            self.send(lambda a=by_id[target]: self._recalled(a))

    def _check(self) -> None:
        reachable = {a.id for a in self.agents if a.reachable()}
        ejected = {a.id for a in self.agents if a.ejection.ejected}
        self.shares.append(
            (
                self.now,
                {
                    agent.id: permits.healthy_slots(
                        self.now, agent.record(), reachable.__contains__
                    )
                    for agent in self.agents
                },
            )
        )
        while self.now - self.shares[0][0] > GRACE_SECONDS:
            self.shares.pop(0)
        left = sum(
            max(shares[agent.id] for _, shares in self.shares)
            for agent in self.agents
            if agent.id not in ejected
        )
        if ejected & reachable and left < FLOOR * TARGETS * SLOTS - 1e-6:
            self.shortfalls.append(
                f"at {self.now:.1f} s {left:.1f} slots, out: {sorted(ejected)}"
            )
