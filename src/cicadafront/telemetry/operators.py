"""HTTP endpoints for operators, on an address of their own."""

import json
from collections.abc import Callable

import attrs
import klein
from twisted.web import server

from cicadafront.telemetry import metrics as metrics_module
from cicadafront.telemetry import tracing

Json = dict[str, object]


@attrs.frozen
class Views:
    """Functions that read the state of the daemon.

    Attributes:
        ready: Returns an empty string if requests are served, else the
            reason why not.
        status: Returns the state of this instance.
        instances: Returns the known instances.
        targets: Returns the known targets.
        accounts: Returns the client accounts and their use on this instance.
    """

    ready: Callable[[], str]
    status: Callable[[], Json]
    instances: Callable[[], list[Json]]
    targets: Callable[[], list[Json]]
    accounts: Callable[[], list[Json]]


def _json(request: server.Request, body: object, status: int = 200) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode() + b"\n"


@attrs.define(eq=False)
class OperatorEndpoints:
    """Serves liveness, readiness, status, metrics and traces.

    Attributes:
        views: Functions that read the state of the daemon.
        metrics: Metrics of this instance.
        tracer: Spans of this instance.
        app: The klein application; further parts add their routes to it.
    """

    views: Views
    metrics: metrics_module.Metrics
    tracer: tracing.Tracer
    app: klein.Klein = attrs.field(factory=klein.Klein)

    def __attrs_post_init__(self) -> None:
        routes: dict[str, Callable[[server.Request], bytes]] = {
            "/live": self.live,
            "/ready": self.ready,
            "/status": lambda r: _json(r, self.views.status()),
            "/metrics": self.serve_metrics,
            "/v1/instances": lambda r: self.items(r, self.views.instances),
            "/v1/targets": lambda r: self.items(r, self.views.targets),
            "/v1/accounts": lambda r: self.items(r, self.views.accounts),
        }
        for path, handler in routes.items():
            self.app.route(path, methods=["GET"])(handler)
        self.app.route("/v1/traces/<trace_id>", methods=["GET"])(self.trace)

    def live(self, request: server.Request) -> bytes:
        """Answers 200 while the loop runs."""
        return _json(request, {"live": True})

    def ready(self, request: server.Request) -> bytes:
        """Answers 200 if the instance serves requests, else 503."""
        reason = self.views.ready()
        body = {"ready": not reason, "reason": reason}
        return _json(request, body, 503 if reason else 200)

    def serve_metrics(self, request: server.Request) -> bytes:
        """Serves the metrics in Prometheus text form."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self.metrics.text()

    def items(
        self, request: server.Request, read: Callable[[], list[Json]]
    ) -> bytes:
        """Serves a list of objects."""
        return _json(request, {"items": read()})

    def trace(self, request: server.Request, trace_id: str) -> bytes:
        """Serves the spans of one trace that this instance kept."""
        spans = [span.as_json() for span in self.tracer.trace(trace_id)]
        return _json(request, {"items": spans})

    def site(self) -> server.Site:
        """Returns the HTTP site to listen with."""
        return server.Site(self.app.resource())
