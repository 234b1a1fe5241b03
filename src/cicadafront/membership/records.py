"""Records of instances and targets, and the order between their versions.

Only the instance itself raises the version of its own record and of the
records of its targets. Others may accuse it (suspect, dead) at the version
that they know; it refutes with a higher version.
"""

import enum
import zlib

import attrs

from cicadafront import model

Address = tuple[str, int]


class Liveness(enum.IntEnum):
    """What the fleet believes of an instance; a higher value wins a tie."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class InstanceState(enum.Enum):
    """State of an instance as the design page names it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class InstanceRecord:
    """What one instance states of itself, and how others judge it.

    Attributes:
        id: Name from its settings.
        incarnation: Number that grows with each start of its process.
        version: Raised by the instance itself with each change; 0 marks a
            placeholder for an owner of which only targets are known.
        data_centre: Data centre from its settings.
        peer_address: Host and TCP port of its peer listener.
        gossip_address: Host and UDP port of its gossip socket.
        liveness: Judgement of others.
        leaving: Whether it is in a planned stop.
        operators_address: Host and TCP port of its operators' endpoints.
    """

    id: str
    incarnation: int
    version: int
    data_centre: str
    peer_address: Address
    gossip_address: Address
    liveness: Liveness = Liveness.ALIVE
    leaving: bool = False
    operators_address: Address = ("", 0)

    @property
    def state(self) -> InstanceState:
        """The liveness and the leaving flag as one state."""
        if self.liveness is Liveness.DEAD:
            return InstanceState.DEAD
        if self.liveness is Liveness.SUSPECT:
            return InstanceState.SUSPECT
        if self.leaving:
            return InstanceState.LEAVING
        return InstanceState.ALIVE

    @property
    def departed(self) -> bool:
        """Whether it stopped as planned, so that it need not be probed."""
        return self.leaving and self.liveness is Liveness.DEAD

    def content(self) -> int:
        """Hash of all but the version and the judgement of others."""
        fields = (
            self.id,
            self.incarnation,
            self.data_centre,
            self.peer_address,
            self.gossip_address,
            self.leaving,
        )
        return zlib.crc32(repr(fields).encode())

    def order(self) -> tuple[int, int, int]:
        """Sort key; the record with the higher key replaces the other."""
        return self.incarnation, self.version, self.liveness

    def digest(self) -> int:
        """Hash of identity and version; liveness is judged locally."""
        return zlib.crc32(
            f"{self.id}/{self.incarnation}/{self.version}".encode()
        )


@attrs.frozen
class TargetRecord:
    """A target as the instance beside it announces it.

    Attributes:
        id: Name of the target, unique beside its owner.
        service: Service that it belongs to.
        address: Host and port on which it listens; an empty host stands for
            the peer host of the owner.
        slots: Number of requests that it runs at the same time.
        owner: Id of the instance beside it.
        incarnation: Incarnation of the owner.
        version: Raised by the owner with each change.
        state: Whether it takes work.
        weight: Share of the usual load that it should get, from 0 to 1.
        gone: Whether it no longer exists; kept so that stale records of it
            do not return.
        warm_since: Time at which it started to serve, by the reader's clock.
    """

    id: str
    service: str
    address: Address
    slots: int
    owner: str = ""
    incarnation: int = 0
    version: int = 0
    state: model.TargetState = model.TargetState.SERVING
    weight: float = 1.0
    gone: bool = False
    warm_since: float = attrs.field(default=0.0, eq=False)

    def order(self) -> tuple[int, int]:
        """Sort key; the record with the higher key replaces the other."""
        return self.incarnation, self.version

    def digest(self) -> int:
        """Hash of identity and version."""
        text = f"{self.owner}/{self.incarnation}/{self.id}/{self.version}"
        return zlib.crc32(text.encode())


Record = InstanceRecord | TargetRecord


def id_hash(id: str) -> int:
    """Returns the 32-bit hash by which digests name an instance."""
    return zlib.crc32(id.encode())
