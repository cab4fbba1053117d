"""Turns away connections whose key nobody has allowed."""

import asyncio
import logging
from collections.abc import Callable

import zmq
from zmq.auth.base import Authenticator

from papayapost_node.security.keys import PublicKey
from papayapost_node.security.ring import KeyRing

__all__ = ["Gate"]


class _AllowedKeys:
    """What pyzmq's authenticator asks for each connection."""

    def __init__(self, ring: KeyRing, on_refused: Callable[[PublicKey], None]):
        self._ring = ring
        self._on_refused = on_refused

    def callback(self, domain: str, key: bytes) -> bool:
        public_key = PublicKey(key.decode())
        if self._ring.row_of(public_key) is not None:
            return True
        self._on_refused(public_key)
        return False


class Gate:
    """Answers the library's question whether a key may connect.

    Parameters
    ----------
    on_refused
        Called with each key that was turned away.
    """

    def __init__(
        self,
        context: zmq.Context,
        ring: KeyRing,
        on_refused: Callable[[PublicKey], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._authenticator = Authenticator(context, log=logging.getLogger(__name__))
        keys = _AllowedKeys(ring, on_refused)
        self._authenticator.configure_curve_callback("*", keys)
        self._answering: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to answer."""
        self._authenticator.start()
        self._socket = self._authenticator.zap_socket
        self._loop.add_reader(self._socket.fileno(), self._receive)
        self._loop.call_soon(self._receive)

    def close(self) -> None:
        """Answer no further questions."""
        self._loop.remove_reader(self._socket.fileno())
        if self._answering is not None:
            self._answering.cancel()
        self._authenticator.stop()

    def _receive(self) -> None:
        if self._answering is not None or self._socket.closed:
            return
        try:
            parts = self._socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
        answer = self._authenticator.handle_zap_message(parts)
        self._answering = self._loop.create_task(answer)
        self._answering.add_done_callback(self._answered)

    def _answered(self, answering: asyncio.Task) -> None:
        # The socket takes one question at a time, and its descriptor may
        # have signalled the next one while this one was being answered.
        self._answering = None
        if not answering.cancelled():
            self._receive()
