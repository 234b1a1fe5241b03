"""HTTP clients that act as callers in the demo and the process tests."""

import hashlib
import json
from typing import Any

import attrs
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.web import client as web_client

from cicadafront.emulator import history


@attrs.frozen
class Response:
    """Response that a caller received, or the failure of its request.

    Attributes:
        status: HTTP status, or 0 if no complete response arrived.
        body: Response body.
        code: Error code of a problem response, or the class name of the
            exception if the request failed.
        executed: "no" or "unknown" if the response is a problem or the
            request failed.
        seconds: Time from sending the request to the end of the response.
    """

    status: int
    body: bytes
    code: str
    executed: str
    seconds: float

    @property
    def ok(self) -> bool:
        """Whether a complete response with a 2xx status arrived."""
        return 200 <= self.status < 300

    @property
    def digest(self) -> str:
        """SHA-256 of the body, in hex."""
        return hashlib.sha256(self.body).hexdigest()

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object."""
        return json.loads(self.body)


class Caller:
    """Sends requests with one API key, without retries or redirects.

    Args:
        reactor: Twisted reactor.
        token: API key sent as bearer token, or empty.
        timeout: Seconds until a request without a complete response fails.
    """

    def __init__(self, reactor: Any, token: str = "", timeout: float = 30.0):
        pool = web_client.HTTPConnectionPool(reactor, persistent=False)
        agent: Any = web_client.Agent(reactor, pool=pool, connectTimeout=5)
        self._client = treq_client.HTTPClient(agent)
        self._reactor = reactor
        self._token = token
        self._timeout = timeout

    async def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Response:
        """Sends one request; underscores in header names become hyphens."""
        fields: dict[bytes | str, bytes | str] = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if self._token:
            fields["Authorization"] = f"Bearer {self._token}"
        start = self._reactor.seconds()
        try:
            response, content = await defer.ensureDeferred(
                self._exchange(method, url, body, fields)
            ).addTimeout(self._timeout, self._reactor)
        except Exception as error:
            # Twisted reports lost connections by many unrelated exceptions.
            seconds = self._reactor.seconds() - start
            return Response(0, b"", type(error).__name__, "unknown", seconds)
        seconds = self._reactor.seconds() - start
        code, executed = "", ""
        kind = response.headers.getRawHeaders("content-type", [""])[0]
        if kind == "application/problem+json":
            problem = json.loads(content)
            code, executed = problem["code"], problem["executed"]
        return Response(response.code, content, code, executed, seconds)

    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[bytes | str, bytes | str],
    ) -> tuple[Any, bytes]:
        response = await self._client.request(
            method, url, headers=headers, data=body, allow_redirects=False
        )
        return response, await treq.content(response)


def as_call(
    response: Response, request: str, send: str, account: str, repeatable: bool
) -> history.Call:
    """Converts a response to a call in the history."""
    outcome = history.Outcome.COMPLETE
    if response.status == 0:
        outcome = history.Outcome.INCOMPLETE
    elif response.executed:
        outcome = history.Outcome.REFUSED
    return history.Call(
        request=request,
        send=send,
        account=account,
        repeatable=repeatable,
        outcome=outcome,
        executed=response.executed,
        answer_digest=response.digest,
        code=response.code,
    )
