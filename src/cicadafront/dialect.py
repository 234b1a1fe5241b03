"""Names of the HTTP headers that callers, instances and targets exchange.

Header names differ between deployments. The default dialect is the product's
own interface. Names are spelled as they are sent; comparisons ignore case.
"""

import attrs

EXCHANGE_ID = b"X-Exchange-Id"


def _lower(name: bytes) -> bytes:
    return name.lower()


@attrs.frozen
class Dialect:
    """Header names of one deployment; an empty name disables a feature.

    Attributes:
        key: Header that carries the caller's key.
        key_scheme: Prefix of the key in its header, in lower case.
        deadline: Header with the milliseconds left for the request. It is sent
            to targets in every deployment.
        caller_deadline: Whether callers may send a deadline too.
        account: Header that names the client account to the target.
        exchange_id: Header that identifies an exchange to the target, which
            copies it into its response.
        caller_exchange_id: Whether the caller chooses the exchange id. A
            request without one is then rejected.
        traced: Whether the trace context is sent to targets.
        caller_service: Header that names the service whose sidecar took the
            request from its caller.
        expected_target: Header with the id of the only target that may run
            the request.
        proof: Header that every response of a target carries. A successful
            response without it did not come from the target.
        not_executed: Header in which a target states that it did not run a
            request.
        fractional_waits: Whether `Retry-After` may have fractions of a second.
    """

    key: bytes = b"Authorization"
    key_scheme: bytes = b"bearer "
    deadline: bytes = b"X-Deadline-Ms"
    caller_deadline: bool = False
    account: bytes = b"X-Client-Account"
    exchange_id: bytes = EXCHANGE_ID
    caller_exchange_id: bool = False
    traced: bool = True
    caller_service: bytes = b""
    expected_target: bytes = b""
    proof: bytes = b""
    not_executed: bytes = b""
    fractional_waits: bool = False
    # Lower-case forms, precomputed because every request needs them for
    # comparisons.
    key_name: bytes = attrs.field(init=False)
    deadline_name: bytes = attrs.field(init=False)
    exchange_id_name: bytes = attrs.field(init=False)
    proof_name: bytes = attrs.field(init=False)
    not_executed_name: bytes = attrs.field(init=False)
    removed_at_entry: frozenset[bytes] = attrs.field(init=False, repr=False)
    removed_at_agent: frozenset[bytes] = attrs.field(init=False, repr=False)

    @key_name.default
    def _key_name(self) -> bytes:
        return _lower(self.key)

    @deadline_name.default
    def _deadline_name(self) -> bytes:
        return _lower(self.deadline)

    @exchange_id_name.default
    def _exchange_id_name(self) -> bytes:
        return _lower(self.exchange_id)

    @proof_name.default
    def _proof_name(self) -> bytes:
        return _lower(self.proof)

    @not_executed_name.default
    def _not_executed_name(self) -> bytes:
        return _lower(self.not_executed)

    @removed_at_entry.default
    def _at_entry(self) -> frozenset[bytes]:
        """Caller headers that the entry does not forward."""
        # The edge handles `Expect` itself.
        names = {b"expect", self.key_name, _lower(self.caller_service)}
        return frozenset(names - {b""})

    @removed_at_agent.default
    def _at_agent(self) -> frozenset[bytes]:
        """Caller headers that the agent replaces, to prevent forgery."""
        names = {
            self.deadline_name,
            _lower(self.account),
            _lower(self.expected_target),
        }
        if not self.caller_exchange_id:
            names.add(self.exchange_id_name)
        if self.traced:
            names.add(b"traceparent")
        return frozenset(names - {b""})


DEFAULT = Dialect()
