"""Records of instances and targets, and the order of their versions.

Only the instance itself increments the version of its own record and of the
records of its targets. Other instances may mark it as suspect or dead at the
version that they know; it refutes this with a higher version.
"""

import enum
import hashlib
import zlib

import attrs

from cicadafront import model

Address = tuple[str, int]


class Liveness(enum.IntEnum):
    """Liveness of an instance as judged by others.

    Between records of the same version, the higher value takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class InstanceState(enum.Enum):
    """State of an instance, combined from its liveness and leaving flag."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class InstanceRecord:
    """State that an instance publishes, and its liveness as seen by others.

    Attributes:
        id: Name from its settings.
        incarnation: Number that increases with each start of its process.
        version: Incremented by the instance itself with each change; 0 marks
            a placeholder for an owner of which only targets are known.
        data_centre: Data centre from its settings.
        peer_address: Host and TCP port of its peer listener.
        gossip_address: Host and UDP port of its gossip socket.
        liveness: Liveness as judged by other instances.
        leaving: Whether a planned stop is in progress.
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
        """Liveness and leaving flag combined into one state."""
        if self.liveness is Liveness.DEAD:
            return InstanceState.DEAD
        if self.liveness is Liveness.SUSPECT:
            return InstanceState.SUSPECT
        if self.leaving:
            return InstanceState.LEAVING
        return InstanceState.ALIVE

    @property
    def departed(self) -> bool:
        """Whether it stopped as planned and need not be probed."""
        return self.leaving and self.liveness is Liveness.DEAD

    def content(self) -> int:
        """Returns a hash of the state that the instance publishes.

        Version, liveness and operators' address are left out.
        """
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
        """Returns the sort key; the higher record takes precedence."""
        return self.incarnation, self.version, self.liveness

    def digest(self) -> int:
        """Returns a hash of id, incarnation and version.

        Liveness is left out, since each instance judges it locally.
        """
        return _digest(f"{self.id}/{self.incarnation}/{self.version}")


@attrs.frozen
class TargetRecord:
    """A target as announced by its owner, the instance it is local to.

    Attributes:
        id: Name of the target, unique among the targets of its owner.
        service: Service that it belongs to.
        address: Host and port on which it listens; an empty host stands for
            the peer host of the owner.
        slots: Number of requests that it processes concurrently.
        owner: Id of the instance that it is local to.
        incarnation: Incarnation of the owner.
        version: Incremented by the owner with each change.
        state: Whether it takes requests.
        weight: Share of the usual load that it should get, from 0 to 1.
        gone: Whether the record is a tombstone of a target that no longer
            exists, which prevents stale records from restoring it.
        leaving_incarnation: Incarnation of the target itself, so that the
            other instances can tell a later process of the owner which of its
            targets has left; 0 unless the target is leaving.
        warm_since: Time in seconds at which it started to serve, on the
            clock of the local instance.
        cold_starts: Number of times that it has become cold again while the
            owner ran. A record with another number restarts its slow start.
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
    leaving_incarnation: int = 0
    warm_since: float = attrs.field(default=0.0, eq=False)
    cold_starts: int = 0

    def order(self) -> tuple[int, int]:
        """Returns the sort key; the higher record takes precedence."""
        return self.incarnation, self.version

    def digest(self) -> int:
        """Returns a hash of owner, incarnation, id and version."""
        return _digest(
            f"{self.owner}/{self.incarnation}/{self.id}/{self.version}"
        )


Record = InstanceRecord | TargetRecord


def _digest(text: str) -> int:
    """Returns a 32-bit hash whose values may be combined by XOR.

    A CRC is linear: the same change of two texts would cancel out.
    """
    digest = hashlib.blake2s(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "little")


def id_hash(id: str) -> int:
    """Returns the 32-bit hash that identifies an instance in digests."""
    return zlib.crc32(id.encode())
