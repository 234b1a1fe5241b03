"""Values under `owner/` and `lease/` in the store.

`owner/<shard>` is not attached to a lease: it must outlive its owner, because
it names the deputy, the epoch and the journals. `lease/<lease id>` is attached
to the lease, is written before the first claim that names the lease, and
disappears with it. A lapsed lease never comes back, so an absent key is proof.
"""

import json

import attrs

OWNER_PREFIX = "owner/"
LEASE_PREFIX = "lease/"


@attrs.frozen
class Member:
    """One process: an instance between two of its starts."""

    id: str
    incarnation: int
    host: str = ""
    port: int = 0

    @property
    def process(self) -> tuple[str, int]:
        """Identity of the process, without its address."""
        return self.id, self.incarnation


@attrs.frozen
class Claim:
    """Value of `owner/<shard>`.

    Attributes:
        owner: Process that owns the shard.
        lease: Lease that must be live for the owner to act by the store.
        epoch: Grows with each change of owner.
        deputy: The only process that may claim while it lives.
        outage: Highest number of an outage in which the owner may have kept
            begins in memory only.
        settled: Highest outage whose begins are all in the journal.
        unclean_at: Unix time in seconds of the last unclean claim; 0 if none.
        journals: Journal prefixes with the Unix time at which their writer
            lost the shard (0 for the present owner).
        released: Whether an operator vouches that no process acts.
        resigned: Whether the owner has stopped acting for good, with all its
            begins in the journal, and found nobody to hand over to.
    """

    owner: Member
    lease: str
    epoch: int
    deputy: Member | None = None
    outage: int = 0
    settled: int = 0
    unclean_at: float = 0.0
    journals: tuple[tuple[str, float], ...] = ()
    released: bool = False
    resigned: bool = False


def owner_key(shard: int) -> str:
    """Returns the store key of a shard's claim."""
    return f"{OWNER_PREFIX}{shard}"


def lease_key(lease: str) -> str:
    """Returns the store key that shows that a lease is live."""
    return LEASE_PREFIX + lease


def journal_prefix(member: Member) -> str:
    """Returns the prefix of the journal segments of a process."""
    return f"journal/{member.id}/{member.incarnation}/"


def encode(claim: Claim) -> bytes:
    """Returns the stored form of a claim."""
    return json.dumps(attrs.asdict(claim)).encode()


def decode(value: bytes) -> Claim:
    """Reads a stored claim; raises ValueError or KeyError if malformed."""
    data = json.loads(value)
    data["owner"] = Member(**data["owner"])
    if data["deputy"] is not None:
        data["deputy"] = Member(**data["deputy"])
    data["journals"] = tuple(
        (prefix, ended) for prefix, ended in data["journals"]
    )
    return Claim(**data)


def encode_member(member: Member) -> bytes:
    """Returns the value of a lease key."""
    return json.dumps(attrs.asdict(member)).encode()


def decode_member(value: bytes) -> Member:
    """Reads the value of a lease key."""
    return Member(**json.loads(value))
