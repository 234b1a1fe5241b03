"""A fake of the store that loses leases and answers on demand."""

from twisted.internet import defer

from cicadafront import errors, ports

# The client takes a call without an answer for failed after this time.
CALL_SECONDS = 1.0


class Store:
    """Implements `ports.Store` on virtual time.

    Attributes:
        entries: Values by key.
        leases: Leases that have not ended.
        unavailable: Whether all calls fail after `failure_seconds`.
        silent: Whether calls get no answer.
        read_only: Whether grants and writes fail.
        lost_puts: Seconds after which the next writes are done; they get no
            answer.
        calls: Kinds of all calls.
    """

    failure_seconds = 0.5

    def __init__(self, clock):
        self.clock = clock
        self.entries = {}
        self.leases = set()
        self.granted = 0
        self.unavailable = False
        self.silent = False
        self.read_only = False
        self.lost_puts = []
        self.late_puts = 0
        self.calls = []
        self._revision = 1

    def _answer(self, call, action):
        self.calls.append(call)
        if self.silent:
            return self._fail(CALL_SECONDS)
        if self.unavailable or (self.read_only and call in ("grant", "put")):
            return self._fail(self.failure_seconds)
        return defer.maybeDeferred(action)

    def _fail(self, seconds):
        done = defer.Deferred()
        error = errors.StoreUnavailableError("away")
        self.clock.callLater(seconds, done.errback, error)
        return done

    def end_leases(self):
        """Ends all leases and deletes their entries."""
        self.leases.clear()
        self.entries = {
            key: item for key, item in self.entries.items() if not item.lease
        }

    def get(self, key):
        return self._answer("get", lambda: self.entries.get(key))

    def list(self, prefix):
        return self._answer("list", lambda: dict(self.entries))

    def put(self, key, value, expected=None, lease=""):
        def put():
            self._check(key, expected)
            if lease and lease not in self.leases:
                raise errors.StoreConflictError("no lease")
            self._revision += 1
            self.entries[key] = ports.Versioned(value, self._revision, lease)
            return self._revision

        def put_late():
            try:
                put()
            except errors.StoreConflictError:
                return
            self.late_puts += 1

        if not self.lost_puts:
            return self._answer("put", put)
        self.calls.append("put")
        self.clock.callLater(self.lost_puts.pop(0), put_late)
        return self._fail(CALL_SECONDS)

    def delete(self, key, expected=None):
        def delete():
            self._check(key, expected)
            self.entries.pop(key, None)

        return self._answer("delete", delete)

    def _check(self, key, expected):
        held = self.entries.get(key)
        version = held.version if held else 0
        if expected is not None and expected != version:
            raise errors.StoreConflictError("changed")

    def grant_lease(self, ttl):
        def grant():
            self.granted += 1
            self.leases.add(str(self.granted))
            return str(self.granted)

        return self._answer("grant", grant)

    def renew_lease(self, lease):
        def renew():
            if lease not in self.leases:
                raise errors.StoreConflictError("ended")

        return self._answer("renew", renew)

    def revoke_lease(self, lease):
        return self._answer("revoke", lambda: self.leases.discard(lease))
