"""Dependencies of the edge on the rest of its instance."""

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import dialect, model, ports, shutdown
from cicadafront.config import model as config_model
from cicadafront.edge import budget_queue as budget_queue_module
from cicadafront.edge import policies
from cicadafront.health import downstream as downstream_module
from cicadafront.peer import exchange
from cicadafront.routing import eligibility as eligibility_module
from cicadafront.telemetry import metrics as metrics_module
from cicadafront.telemetry import tracing


@attrs.define
class Dependencies:
    """Services, settings and sources of time and randomness of the edge.

    Attributes:
        configuration: Returns the accepted configuration, or None.
        confirmed: Returns whether the keys are confirmed as current.
        admission: Rate limiter of the client accounts.
        records: Idempotency records.
        picker: Chooses targets.
        budget: Limits retries and hedges.
        hedges: Decides when a read is hedged.
        suspects: Refuses requests that are suspected of crashing targets.
        open_at: Opens an exchange at an instance.
        targets: Returns the targets of a service.
        relay: Returns an instance that can relay to an instance, or None. An
            optional second argument tells whether an instance of a data centre
            may relay.
        clock: Source of time and timers.
        counts: Event counters, such as retries and dropped responses.
        metrics: Metrics of this instance.
        tracer: Tracer of this instance.
        wire_dialect: Header names and conventions of the deployment.
        dispatch: How requests are dispatched to agents.
        instance: Id of this instance.
        data_centre: Data centre of this instance.
        local_service: Returns the service of the local target.
        repeated_share: Returns the share, from 0 to 1, of the requests at the
            local target that have been sent to another target before.
        downstream: Requests that the local targets send to other services.
        rng: Random number generator.
        stopping: Planned stop of this instance.
        budget_queue: Requests that wait for a retry budget.
        eligibility: Returns the rules on where requests may run.
    """

    configuration: Callable[[], config_model.Configuration | None]
    admission: ports.Admission
    records: ports.OutcomeRecords
    picker: policies.Picker
    budget: policies.RetryBudget
    open_at: Callable[..., exchange.RequestSink]
    targets: Callable[[str], list[model.Target]]
    relay: Callable[..., str | None]
    clock: Any
    suspects: policies.Suspects = attrs.field(factory=policies.NoSuspects)
    hedges: policies.Hedges = attrs.field(factory=policies.NoHedges)
    confirmed: Callable[[], bool] = lambda: True
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    metrics: metrics_module.Metrics = attrs.field(
        factory=metrics_module.Metrics
    )
    tracer: tracing.Tracer = attrs.field(
        default=attrs.Factory(
            lambda self: tracing.Tracer("", self.clock.seconds),
            takes_self=True,
        )
    )
    wire_dialect: dialect.Dialect = dialect.DEFAULT
    dispatch: policies.DispatchPolicy = policies.DispatchPolicy()
    instance: str = ""
    data_centre: str = ""
    local_service: Callable[[], str] = lambda: ""
    repeated_share: Callable[[], float] = lambda: 0.0
    downstream: downstream_module.DownstreamRequests = attrs.field(
        factory=downstream_module.DownstreamRequests
    )
    rng: random.Random = attrs.field(factory=random.Random)
    stopping: shutdown.Shutdown = attrs.field(factory=shutdown.Shutdown)
    budget_queue: budget_queue_module.BudgetQueue = attrs.field(
        default=attrs.Factory(
            lambda self: budget_queue_module.BudgetQueue(
                self.clock, self.budget
            ),
            takes_self=True,
        )
    )
    eligibility: Callable[[], eligibility_module.Eligibility] = lambda: (
        eligibility_module.UNRESTRICTED
    )
