"""Bounds the connections that other processes open to the peer port.

Guards against processes that open very many connections, or that send the
beginnings of many large frames: ZeroMQ has no bound of its own on either.
"""

import asyncio
import os
import socket
from collections import Counter
from collections.abc import Callable

import zmq
from zmq.utils.monitor import parse_monitor_message

from papayapost.define import define
from papayapost.ids import Address
from papayapost_node.addresses import split_address

__all__ = ["PeerAdmission", "PeerLimits"]


@define(frozen=True)
class PeerLimits:
    """Limits on the connections that a node accepts from its peers.

    Parameters
    ----------
    connections
        Largest number of open connections.
    connections_per_address
        Largest number of open connections from one IP address.
    """

    connections: int = 16_384
    connections_per_address: int = 256


class PeerAdmission:
    """Closes accepted connections above the limits.

    ZeroMQ accepts connections in a thread of its own and reports each with
    its descriptor. A connection is closed by shutting down a duplicate of
    that descriptor, so that ZeroMQ sees a caller that has gone.

    Parameters
    ----------
    address
        Address on which the connections are accepted.
    on_refused
        Called for each closed connection.
    """

    def __init__(
        self,
        router: zmq.Socket,
        address: Address,
        limits: PeerLimits,
        on_refused: Callable[[], None],
    ):
        self._router = router
        self._port = split_address(address)[1]
        self._limits = limits
        self._on_refused = on_refused
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[int, str] = {}
        self._counts: Counter[str] = Counter()
        self._monitor = router.get_monitor_socket(
            zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED
        )
        self._loop.add_reader(self._monitor.fileno(), self._receive_events)
        self._loop.call_soon(self._receive_events)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._addresses)

    def close(self) -> None:
        """Stop to watch the connections; the socket itself stays open."""
        if self._monitor.closed:
            return
        self._loop.remove_reader(self._monitor.fileno())
        self._router.disable_monitor()
        self._monitor.close(0)

    def _receive_events(self) -> None:
        # The file descriptor is edge-triggered: it signals only a change, so
        # each call must read all available events.
        while not self._monitor.closed:
            try:
                parts = self._monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            event = parse_monitor_message(parts)
            if event["event"] == zmq.EVENT_ACCEPTED:
                self._accepted(event["value"])
            else:
                self._ended(event["value"])

    def _accepted(self, descriptor: int) -> None:
        try:
            duplicate = socket.socket(fileno=os.dup(descriptor))
        except OSError:
            # The connection has ended, or no descriptor is left.
            return
        with duplicate:
            try:
                address = duplicate.getpeername()[0]
                own_port = duplicate.getsockname()[1]
            except OSError:
                return
            if own_port != self._port:
                # The connection has ended, and another one of this process
                # has its descriptor now.
                return
            self._ended(descriptor)
            is_within = (
                len(self._addresses) < self._limits.connections
                and self._counts[address] < self._limits.connections_per_address
            )
            self._addresses[descriptor] = address
            self._counts[address] += 1
            if not is_within:
                duplicate.shutdown(socket.SHUT_RDWR)
                self._on_refused()

    def _ended(self, descriptor: int) -> None:
        address = self._addresses.pop(descriptor, None)
        if address is None:
            return
        self._counts[address] -= 1
        if not self._counts[address]:
            del self._counts[address]
