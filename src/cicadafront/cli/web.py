"""HTTP access to instances' operators' addresses."""

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
# Bounds open sockets when a fleet of 1,300 instances is asked.
PARALLEL_REQUESTS = 64


class InstanceError(errors.CicadafrontError):
    """An instance does not answer, or refuses."""

    code = "instance_unavailable"


@attrs.frozen
class Answer:
    """Answer of an instance.

    Attributes:
        status: HTTP status, or 0 without answer.
        data: The JSON object; empty if there is none.
        reason: Why there is no usable answer, or empty.
    """

    status: int
    data: dict[str, Any]
    reason: str = ""

    @property
    def good(self) -> bool:
        """Whether the instance did what was asked."""
        return self.status == 200 and not self.reason


async def _request(method: str, address: str, path: str) -> Answer:
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
        sending = defer.ensureDeferred(exchange())
        status, content = await sending.addTimeout(TIMEOUT_SECONDS, reactor)
    except Exception as error:
        # Twisted reports lost connections with many unrelated classes.
        return Answer(0, {}, f"no answer ({type(error).__name__})")
    try:
        data = json.loads(content)
    except (ValueError, RecursionError):
        data = None
    if not isinstance(data, dict):
        return Answer(status, {}, f"status {status} without a JSON object")
    return Answer(status, data, "" if status == 200 else f"status {status}")


def request_all(
    requests: Sequence[tuple[str, str]], method: str = "GET"
) -> list[Answer]:
    """Sends one request to each pair of address and path."""

    def send_one(address: str, path: str) -> defer.Deferred[Answer]:
        return defer.ensureDeferred(_request(method, address, path))

    def send() -> defer.Deferred[list[Answer]]:
        places = defer.DeferredSemaphore(PARALLEL_REQUESTS)
        return defer.gatherResults(
            [places.run(send_one, *request) for request in requests]
        )

    return loop.call(send)


def request(address: str, path: str, method: str = "GET") -> dict[str, Any]:
    """Sends one request.

    Raises:
        InstanceError: There is no good answer.
    """
    answer = request_all([(address, path)], method)[0]
    if not answer.good:
        detail = answer.data.get("detail") or answer.data.get("message") or ""
        raise InstanceError(
            f"{address} answered {method} {path} with: {answer.reason}"
            f" {detail}".rstrip()
            + "; check --address and the instance's log"
        )
    return answer.data


def items(data: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the objects of an answer's `items` list."""
    found = data.get("items", [])
    if not isinstance(found, list):
        return []
    return [item for item in found if isinstance(item, dict)]
