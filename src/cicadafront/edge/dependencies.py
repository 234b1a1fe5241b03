"""What the entry uses of its instance."""

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import dialect, model, ports, shutdown
from cicadafront.config import model as config_model
from cicadafront.edge import policies
from cicadafront.peer import exchange
from cicadafront.telemetry import metrics as metrics_module
from cicadafront.telemetry import tracing


@attrs.define
class Dependencies:
    """What the entry uses.

    Attributes:
        configuration: Returns the accepted configuration, or None.
        confirmed: Returns whether keys can be trusted at the moment.
        admission: Rates of client accounts.
        records: Idempotency records.
        picker: Chooses targets.
        budget: Bounds retries and hedges.
        hedges: Decides when a read gets a second attempt.
        suspects: Refuses requests that crash targets.
        open_at: Opens an exchange at an instance.
        targets: Returns the targets of a service.
        relay: Returns a third instance on the way to an instance, or None.
        clock: Source of time and timers.
        counts: Counts retries and dropped answers.
        metrics: Metrics of this instance.
        tracer: Spans of this instance.
        words: Header names of the deployment.
        dispatch: How often and how firmly agents are asked for one request.
        instance: Id of this instance.
        data_centre: Data centre of this instance.
        local_service: Returns the service beside which this entry runs.
        repeated_share: Returns the part of the requests at the target beside
            this entry that another target has had.
        rng: Source of choices.
        stopping: Planned stop of this instance.
    """

    configuration: Callable[[], config_model.Configuration | None]
    admission: ports.Admission
    records: ports.OutcomeRecords
    picker: policies.Picker
    budget: policies.RetryBudget
    open_at: Callable[..., exchange.RequestSink]
    targets: Callable[[str], list[model.Target]]
    relay: Callable[[str], str | None]
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
    words: dialect.Dialect = dialect.DEFAULT
    dispatch: policies.DispatchPolicy = policies.DispatchPolicy()
    instance: str = ""
    data_centre: str = ""
    local_service: Callable[[], str] = lambda: ""
    repeated_share: Callable[[], float] = lambda: 0.0
    rng: random.Random = attrs.field(factory=random.Random)
    stopping: shutdown.Shutdown = attrs.field(factory=shutdown.Shutdown)
