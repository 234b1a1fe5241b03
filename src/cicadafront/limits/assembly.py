"""Puts the parts of this package together for one process."""

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
    """Rates, records and shard ownership of one process.

    Attributes:
        ownership: Shards that this process owns.
        owners: Finds the owners of shards and calls them.
        admission: Implements `ports.Admission`.
        outcomes: Implements `ports.OutcomeRecords`.
        records: Records of the shards that this process owns.
        releases: Operators' changes to claims.
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
        """Creates all parts.

        Args:
            info: This process; its listener must be open by now.
            store: Store.
            peers: Peer calls; a call to itself runs locally.
            directory: Known instances.
            timer: Clock; see `calls.ReactorTimer`.
            rng: Random source of jitter.
            prober: Tells whether an address refuses connections.
            accounts: Finds an account in the configuration in force.
            unix_offset: Unix time minus the time of the clock, in seconds.
            most_record_bytes: Memory bound of the records.
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
        """Tells whether no shard waits for this process to claim it."""
        return self.ownership.core.idle()

    def start(self) -> None:
        """Starts to claim shards."""
        self.ownership.start()
        self.admission.start()
        self.records.start()

    def stop(self) -> "defer.Deferred[None]":
        """Hands over all shards; the listener stays open until it fires."""
        return self.ownership.stop()
