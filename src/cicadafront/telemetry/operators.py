"""HTTP endpoints for operators, served on a separate address."""

import json
from collections.abc import Callable
from typing import Any, ClassVar

import attrs
import klein
from twisted.internet import defer
from twisted.web import server

from cicadafront import errors
from cicadafront.telemetry import metrics as metrics_module
from cicadafront.telemetry import tracing

Json = dict[str, object]


@attrs.frozen
class Views:
    """Functions that read the state of the daemon.

    Attributes:
        ready: Returns an empty string if the instance is ready to serve
            requests, otherwise the reason why it is not.
        status: Returns the state of this instance.
        instances: Returns the known instances.
        targets: Returns the known targets.
        accounts: Returns the client accounts and their usage on this
            instance.
    """

    ready: Callable[[], str]
    status: Callable[[], Json]
    instances: Callable[[], list[Json]]
    targets: Callable[[], list[Json]]
    accounts: Callable[[], list[Json]]


@attrs.frozen
class Changes:
    """Functions with which operators change the state of the fleet.

    Attributes:
        release: Records that the processes that served a shard have ended.
        clear: Accepts new idempotency keys in an unclean shard again.
    """

    release: Callable[[int], "defer.Deferred[Json]"]
    clear: Callable[[int], "defer.Deferred[Json]"]


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
        changes: Functions that change the fleet.
    """

    app: ClassVar[klein.Klein] = klein.Klein()

    views: Views
    metrics: metrics_module.Metrics
    tracer: tracing.Tracer
    changes: Changes

    @app.route("/live", methods=["GET"])
    def live(self, request: server.Request) -> bytes:
        """Responds with 200 while the event loop runs."""
        return _json(request, {"live": True})

    @app.route("/ready", methods=["GET"])
    def ready(self, request: server.Request) -> bytes:
        """Responds with 200 if the instance is ready, otherwise with 503."""
        reason = self.views.ready()
        body = {"ready": not reason, "reason": reason}
        return _json(request, body, 503 if reason else 200)

    @app.route("/status", methods=["GET"])
    def status(self, request: server.Request) -> bytes:
        """Serves the state of this instance."""
        return _json(request, self.views.status())

    @app.route("/metrics", methods=["GET"])
    def serve_metrics(self, request: server.Request) -> bytes:
        """Serves the metrics in the Prometheus text format."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self.metrics.text()

    @app.route("/v1/instances", methods=["GET"])
    def instances(self, request: server.Request) -> bytes:
        """Serves the known instances."""
        return _json(request, {"items": self.views.instances()})

    @app.route("/v1/targets", methods=["GET"])
    def targets(self, request: server.Request) -> bytes:
        """Serves the known targets."""
        return _json(request, {"items": self.views.targets()})

    @app.route("/v1/accounts", methods=["GET"])
    def accounts(self, request: server.Request) -> bytes:
        """Serves the client accounts."""
        return _json(request, {"items": self.views.accounts()})

    @app.route("/v1/traces/<trace_id>", methods=["GET"])
    def trace(self, request: server.Request, trace_id: str) -> bytes:
        """Serves the spans of a trace that this instance has stored."""
        spans = [span.as_json() for span in self.tracer.trace(trace_id)]
        return _json(request, {"items": spans}, 200 if spans else 404)

    @app.route("/v1/shards/<int:shard>/release", methods=["POST"])
    def release(
        self, request: server.Request, shard: int
    ) -> "defer.Deferred[bytes]":
        """Releases a shard whose owner and deputy processes have ended."""
        return self._change(request, self.changes.release(shard))

    @app.route("/v1/shards/<int:shard>/clear", methods=["POST"])
    def clear(
        self, request: server.Request, shard: int
    ) -> "defer.Deferred[bytes]":
        """Accepts new idempotency keys in an unclean shard again."""
        return self._change(request, self.changes.clear(shard))

    def _change(
        self, request: server.Request, result: "defer.Deferred[Json]"
    ) -> "defer.Deferred[bytes]":
        def rejected(reason) -> bytes:
            reason.trap(errors.CicadafrontError)
            error = reason.value
            body = {"code": error.code, "message": error.message}
            return _json(request, body, 409)

        return result.addCallbacks(lambda body: _json(request, body), rejected)

    def resource(self) -> Any:
        """Returns the web resource of the endpoints."""
        return self.app.resource()
