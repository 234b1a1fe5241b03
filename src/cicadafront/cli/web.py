"""HTTP client for the operators' endpoints of instances."""

import json
from collections.abc import Sequence
from typing import Any

import attrs
from treq import client as treq_client
from twisted.internet import defer
from twisted.web import client as web_client

from cicadafront import errors
from cicadafront.cli import loop
from cicadafront.store import body

TIMEOUT_SECONDS = 5.0
# Limits open sockets when a fleet of 1,300 instances is queried.
PARALLEL_REQUESTS = 64


class InstanceError(errors.CicadafrontError):
    """An instance does not respond, or responds with an error."""

    code = "instance_unavailable"


@attrs.frozen
class Response:
    """Response of an instance.

    Attributes:
        status: HTTP status code, or 0 if there is no response.
        data: The JSON object in the body; empty if there is none.
        reason: Why the response is not usable; empty if it is.
    """

    status: int
    data: dict[str, Any]
    reason: str = ""

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return self.status == 200 and not self.reason


async def _request(method: str, address: str, path: str) -> Response:
    reactor = loop.reactor()
    agent: Any = web_client.Agent(reactor, connectTimeout=TIMEOUT_SECONDS)

    async def exchange() -> tuple[int, bytes]:
        response = await treq_client.HTTPClient(agent).request(
            method,
            f"http://{address}{path}",
            allow_redirects=False,
            unbuffered=True,
        )
        return response.code, await body.read(response)

    try:
        pending = defer.ensureDeferred(exchange())
        status, content = await pending.addTimeout(TIMEOUT_SECONDS, reactor)
    except Exception as error:
        # Twisted reports connection failures with many unrelated classes.
        return Response(0, {}, f"no answer ({type(error).__name__})")
    try:
        data = json.loads(content)
    except (ValueError, RecursionError):
        data = None
    if not isinstance(data, dict):
        return Response(status, {}, f"status {status} without a JSON object")
    return Response(status, data, "" if status == 200 else f"status {status}")


def request_all(
    requests: Sequence[tuple[str, str]], method: str = "GET"
) -> list[Response]:
    """Sends requests concurrently, at most `PARALLEL_REQUESTS` at a time.

    Args:
        requests: Pairs of address and path.
        method: HTTP method.

    Returns:
        The responses in the order of the requests.
    """

    def send_one(address: str, path: str) -> defer.Deferred[Response]:
        return defer.ensureDeferred(_request(method, address, path))

    def send() -> defer.Deferred[list[Response]]:
        semaphore = defer.DeferredSemaphore(PARALLEL_REQUESTS)
        return defer.gatherResults(
            [semaphore.run(send_one, *request) for request in requests]
        )

    return loop.call(send)


def request(address: str, path: str, method: str = "GET") -> dict[str, Any]:
    """Sends one request and returns the JSON object of the response.

    Raises:
        InstanceError: There is no usable response.
    """
    response = request_all([(address, path)], method)[0]
    if not response.ok:
        detail = (
            response.data.get("detail") or response.data.get("message") or ""
        )
        raise InstanceError(
            f"{address} answered {method} {path} with: {response.reason}"
            f" {detail}".rstrip()
            + "; check --address and the instance's log"
        )
    return response.data


def items(data: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the objects in the `items` list of a response."""
    found = data.get("items", [])
    if not isinstance(found, list):
        return []
    return [item for item in found if isinstance(item, dict)]
