"""Refuses connections whose public key is not allowed."""

import asyncio
import logging
from collections.abc import Callable

import zmq
from zmq.auth.base import Authenticator

from papayapost_node.security.key_ring import KeyRing
from papayapost_node.security.keys import PublicKey

__all__ = ["ZapHandler"]


class _AllowedKeys:
    """Tells pyzmq's authenticator whether a connection's key is allowed."""

    def __init__(self, key_ring: KeyRing, on_refused: Callable[[PublicKey], None]):
        self._key_ring = key_ring
        self._on_refused = on_refused

    def callback(self, domain: str, key: bytes) -> bool:
        public_key = PublicKey(key.decode())
        if self._key_ring.row_of(public_key) is not None:
            return True
        self._on_refused(public_key)
        return False


class ZapHandler:
    """Answers ZeroMQ's authentication requests (ZAP) on the event loop.

    Parameters
    ----------
    on_refused
        Called with the public key of each refused connection.
    """

    def __init__(
        self,
        context: zmq.Context,
        key_ring: KeyRing,
        on_refused: Callable[[PublicKey], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._authenticator = Authenticator(context, log=logging.getLogger(__name__))
        keys = _AllowedKeys(key_ring, on_refused)
        self._authenticator.configure_curve_callback("*", keys)
        self._answer_task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to answer authentication requests."""
        self._authenticator.start()
        self._socket = self._authenticator.zap_socket
        self._loop.add_reader(self._socket.fileno(), self._receive)
        self._loop.call_soon(self._receive)

    def close(self) -> None:
        """Stop answering authentication requests."""
        self._loop.remove_reader(self._socket.fileno())
        if self._answer_task is not None:
            self._answer_task.cancel()
        self._authenticator.stop()

    def _receive(self) -> None:
        if self._answer_task is not None or self._socket.closed:
            return
        try:
            parts = self._socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
        answer = self._authenticator.handle_zap_message(parts)
        self._answer_task = self._loop.create_task(answer)
        self._answer_task.add_done_callback(self._on_answer_done)

    def _on_answer_done(self, task: asyncio.Task) -> None:
        # The handler answers one request at a time, and the descriptor of the
        # socket signals each request only once. The next request may have
        # been signalled while this one was handled, so it is read here.
        self._answer_task = None
        if not task.cancelled():
            self._receive()
