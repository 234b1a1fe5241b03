"""TCP between machines with links of limited bandwidth, on virtual time.

Each machine has one link. All its connections share the link in both directions
in the order of their bytes, as through the queue of a network card.
"""

import socket

from twisted.internet import error, task
from twisted.python import failure

from tests.support import agent

LATENCY_SECONDS = 0.0005
# Bytes that are sent at a time, and those of a connection that may be on their
# way unless its receiver sets another number, like the receive window of TCP.
PIECE_BYTES = 8 * 1024
WINDOW_BYTES = 256 * 1024
# Bytes of a packet that opens a connection.
SYN_BYTES = 60


class Lane:
    """One direction of a link.

    Args:
        clock: Virtual clock.
        rate: Bytes per second.
    """

    def __init__(self, clock, rate):
        self.bytes = 0
        self._clock = clock
        self._rate = rate
        self._free_at = 0.0

    def carry(self, count, arrive):
        """Calls a function when bytes have passed after all those before."""
        now = self._clock.seconds()
        self.bytes += count
        self._free_at = max(now, self._free_at) + count / self._rate
        self._clock.callLater(self._free_at - now, arrive)


class Machine:
    """One machine; passes for a reactor that opens connections.

    Attributes:
        inbound: Lane of the received bytes.
        outbound: Lane of the sent bytes.
        listeners: Functions that return the protocol of a new connection, by
            port.
    """

    def __init__(self, net, address, rate):
        self.net = net
        self.address = address
        self.inbound = Lane(net.clock, rate)
        self.outbound = Lane(net.clock, rate)
        self.listeners = {}
        self.seconds = net.clock.seconds
        self.callLater = net.clock.callLater

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        """Opens a connection; fails it if that takes longer than `timeout`."""
        started_at = self.seconds()
        server = self.net.machines[host]

        def answered():
            if self.seconds() - started_at > timeout:
                factory.clientConnectionFailed(
                    None, failure.Failure(error.TimeoutError())
                )
                return
            near, far = Transport(self, server), Transport(server, self)
            near.other, far.other = far, near
            near.protocol = factory.buildProtocol(None)
            far.protocol = server.listeners[port]()
            far.protocol.makeConnection(far)
            near.protocol.makeConnection(near)

        self.net.handshake(self, server, answered)


class Transport:
    """One end of a connection."""

    def __init__(self, here, there):
        self.connected = True
        self.disconnecting = False
        self.other = None
        self.protocol = None
        self.here, self.there = here, there
        self._unsent = bytearray()
        self._on_the_way = 0
        self._paused = False
        self._received = bytearray()
        self._handle = Socket()

    def getHandle(self):  # noqa: N802
        return self._handle

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Ignores the producer: the buffer is never full."""

    def unregisterProducer(self):  # noqa: N802
        """Does nothing."""

    def write(self, data):
        """Sends bytes as far as the window allows."""
        if self.connected:
            self._unsent += data
            self._send()

    def pauseProducing(self):  # noqa: N802
        self._paused = True

    def resumeProducing(self):  # noqa: N802
        self._paused = False
        data, self._received = bytes(self._received), bytearray()
        if data:
            self._deliver(data)

    def abortConnection(self):  # noqa: N802
        """Closes both ends."""
        if self.connected:
            self._close(error.ConnectionAborted())
            clock = self.here.net.clock
            clock.callLater(
                LATENCY_SECONDS, self.other._close, error.ConnectionLost()
            )

    loseConnection = loseWriteConnection = abortConnection  # noqa: N815

    def _close(self, reason):
        if self.connected:
            self.connected = False
            self._unsent.clear()
            clock = self.here.net.clock
            clock.callLater(
                0, self.protocol.connectionLost, failure.Failure(reason)
            )

    def _send(self):
        window = self.other.getHandle().window
        while self._unsent and self._on_the_way < window:
            piece = bytes(self._unsent[:PIECE_BYTES])
            del self._unsent[:PIECE_BYTES]
            self._on_the_way += len(piece)
            self.here.net.carry(
                self.here, self.there, len(piece), self._arrived, piece
            )

    def _arrived(self, piece):
        self._on_the_way -= len(piece)
        self.other._deliver(piece)
        self._send()

    def _deliver(self, data):
        if not self.connected:
            return
        if self._paused:
            self._received += data
        else:
            self.protocol.dataReceived(data)


class Socket(agent.Socket):
    """Socket that accepts all options.

    Attributes:
        window: Bytes that the other side may send ahead.
    """

    def __init__(self):
        super().__init__()
        self.window = WINDOW_BYTES

    def setsockopt(self, level, option, value):
        if (level, option) == (socket.SOL_SOCKET, socket.SO_RCVBUF):
            self.window = value


class Network:
    """Machines by address, on one virtual clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.machines = {}

    def machine(self, address, rate):
        """Adds a machine whose link carries `rate` bytes per second."""
        made = self.machines[address] = Machine(self, address, rate)
        return made

    def handshake(self, client, server, answered):
        """Calls a function when the first packet and its answer have passed."""
        self.carry(
            client,
            server,
            SYN_BYTES,
            lambda: self.carry(server, client, SYN_BYTES, answered),
        )

    def carry(self, sender, receiver, count, arrive, *args):
        """Calls a function when bytes have passed both links."""
        sender.outbound.carry(
            count,
            lambda: self.clock.callLater(
                LATENCY_SECONDS,
                receiver.inbound.carry,
                count,
                lambda: arrive(*args),
            ),
        )
