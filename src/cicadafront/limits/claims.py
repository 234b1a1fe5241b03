"""Values under `owner/` and `lease/` in the store.

`owner/<shard>` is not attached to a lease: it must outlive its owner, because
it names the deputy, the epoch and the journals. `lease/<lease id>` is attached
to the lease, is written before the first claim that names the lease, and is
deleted when the lease expires. An expired lease is never renewed, so an absent
key proves that the lease has expired.
"""

import json

import attrs

OWNER_PREFIX = "owner/"
LEASE_PREFIX = "lease/"


@attrs.frozen
class Member:
    """One process: a single incarnation of an instance."""

    id: str
    incarnation: int
    host: str = ""
    port: int = 0

    @property
    def process(self) -> tuple[str, int]:
        """Instance id and incarnation, without the address."""
        return self.id, self.incarnation


@attrs.frozen
class Claim:
    """Value of `owner/<shard>`.

    Attributes:
        owner: Process that owns the shard.
        lease: Lease that must be live for the owner to act on the store's
            confirmation.
        epoch: Number that increases with each change of owner.
        deputy: The only process that may claim the shard while the deputy is
            alive.
        outage: Highest number of a store outage in which the owner may have
            kept begun requests in memory only.
        settled: Highest number of an outage whose begun requests are all in
            the journal.
        unclean_at: Unix time in seconds of the last unclean claim, a claim
            made while the journals may lack begun requests; 0 if none.
        journals: Journal prefixes with the Unix time in seconds at which
            their writer lost the shard (0 for the current owner).
        released: Whether an operator has confirmed that neither the owner
            nor the deputy is running.
        stopped: Whether the owner has permanently stopped acting, with all
            begun requests in its journal; any candidate may then claim.
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
    stopped: bool = False


def owner_key(shard: int) -> str:
    """Returns the store key of a shard's claim."""
    return f"{OWNER_PREFIX}{shard}"


def lease_key(lease: str) -> str:
    """Returns the store key that exists while a lease is live."""
    return LEASE_PREFIX + lease


def journal_prefix(member: Member) -> str:
    """Returns the key prefix of the journal segments of a process."""
    return f"journal/{member.id}/{member.incarnation}/"


def encode(claim: Claim) -> bytes:
    """Encodes a claim for the store."""
    return json.dumps(attrs.asdict(claim)).encode()


def decode(value: bytes) -> Claim:
    """Decodes a stored claim.

    Raises:
        ValueError: The value is not valid JSON.
        KeyError: A field is missing.
    """
    data = json.loads(value)
    data["owner"] = Member(**data["owner"])
    if data["deputy"] is not None:
        data["deputy"] = Member(**data["deputy"])
    data["journals"] = tuple(
        (prefix, ended) for prefix, ended in data["journals"]
    )
    return Claim(**data)


def encode_member(member: Member) -> bytes:
    """Encodes the value of a lease key."""
    return json.dumps(attrs.asdict(member)).encode()


def decode_member(value: bytes) -> Member:
    """Decodes the value of a lease key."""
    return Member(**json.loads(value))
