"""Wires the components of this package for one process."""

import random

from twisted.internet import defer

from cicadafront import ports
from cicadafront.limits import calls, claims, records
from cicadafront.limits.admission import AccountLookup, AdmissionService
from cicadafront.limits.outcomes import OutcomeService
from cicadafront.limits.ownership import Ownership
from cicadafront.limits.records_service import RecordsService
from cicadafront.limits.release import ShardReleases
from cicadafront.limits.service import OwnershipService, Prober


class Limits:
    """Rate limiting, idempotency records and shard ownership of one process.

    Attributes:
        ownership: Shards that this process owns.
        owners: Client for the owners of shards.
        admission: Implements `ports.Admission`.
        outcomes: Implements `ports.OutcomeRecords`.
        records: Idempotency records of the shards that this process owns.
        releases: Changes to claims that operators request.
    """

    def __init__(
        self,
        info: ports.InstanceInfo,
        store: ports.Store,
        peers: ports.PeerCalls,
        directory: ports.Directory,
        timer: calls.Timer,
        rng: random.Random,
        prober: Prober,
        accounts: AccountLookup,
        unix_offset: float = 0.0,
        most_record_bytes: int = records.MAX_BYTES,
    ):
        """Creates all components.

        Args:
            info: This process; its listener must already be open.
            store: Store.
            peers: Peer calls; a call to this process itself runs locally.
            directory: Known instances.
            timer: Clock and delayed calls; see `calls.ReactorTimer`.
            rng: Random source of jitter.
            prober: Checks whether an address refuses connections.
            accounts: Finds an account in the current configuration.
            unix_offset: Unix time minus the time of the clock, in seconds.
            most_record_bytes: Memory limit of the records in bytes.
        """
        me = claims.Member(info.id, info.incarnation, *info.peer_address)
        core = Ownership(me, info.data_centre, rng, unix_offset)
        self.ownership = OwnershipService(
            core, store, peers, directory, timer, rng, prober
        )
        self.owners = calls.OwnerCalls(info.id, directory, peers, timer, rng)
        self.admission = AdmissionService(
            self.ownership, self.owners, peers, timer, accounts
        )
        self.records = RecordsService(
            self.ownership,
            store,
            peers,
            timer,
            rng,
            unix_offset,
            most_record_bytes,
        )
        self.releases = ShardReleases(
            self.ownership, store, peers, directory, timer
        )
        self.outcomes = OutcomeService(info.incarnation, self.owners, timer)

    def settled(self) -> bool:
        """Returns whether this process has no shard left to claim."""
        return self.ownership.core.idle()

    def start(self) -> None:
        """Starts to claim shards and to serve them."""
        self.ownership.start()
        self.admission.start()
        self.records.start()

    def stop(self) -> "defer.Deferred[None]":
        """Hands over all shards.

        The listener must stay open until the returned Deferred fires.
        """
        return self.ownership.stop()
