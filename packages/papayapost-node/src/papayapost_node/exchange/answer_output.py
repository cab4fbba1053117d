"""Sends the answer of one attempt to its entry node under flow control."""

from collections.abc import Callable

from papayapost.traffic import LARGE_ANSWER_BYTES
from papayapost_node.exchange.body_sender import MAX_PART_BYTES, BodySender
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.pacing import PacedWindow
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.exchange.windows import SendWindow
from papayapost_node.http import Headers
from papayapost_node.wire import AnswerCarrier, AnswerPart

__all__ = ["AnswerOutput"]


class AnswerOutput:
    """Buffers an answer's body, and sends head and parts as credit allows.

    Parameters
    ----------
    owned
        The request that the entry node offered.
    services
        Functions and settings that all calls of this node share.
    pause, resume
        Stop and restart reading from the backend server.
    on_room
        Called when the link has room for more of a large answer.

    Attributes
    ----------
    received_bytes
        Length of the body that has arrived.
    is_truncated
        Whether the answer broke off, so that its last part is marked.
    """

    def __init__(
        self,
        owned: OwnedRequest,
        services: OwnerServices,
        pause: Callable[[], None],
        resume: Callable[[], None],
        on_room: Callable[[], None],
    ):
        self._owned = owned
        self._services = services
        self._pause = pause
        self._resume = resume
        self._on_room = on_room
        self._buffered = bytearray()
        self._sender: BodySender | None = None
        self._window: SendWindow | None = None
        self._sent_bytes = 0
        self._trailers: Headers = []
        self.received_bytes = 0
        self.is_truncated = False

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that arrived and were not passed on yet."""
        return len(self._buffered)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait for credit or for the link."""
        return self._sender.unsent_bytes if self._sender is not None else 0

    @property
    def waits_for_credit(self) -> bool:
        """Whether the entry node has granted no credit for what waits."""
        window = self._window
        return bool(self.unsent_bytes and window and not window.credit_bytes)

    @property
    def is_streaming(self) -> bool:
        """Whether the head was sent and the body follows in parts."""
        return self._sender is not None

    @property
    def is_ended(self) -> bool:
        """Whether the last part has been sent."""
        return self._sender is not None and self._sender.is_ended

    def buffer(self, data: bytes) -> None:
        """Keep a piece of the body until it is sent."""
        self._buffered += data
        self.received_bytes += len(data)

    def begin(self, status: int, headers: Headers, is_running: bool) -> bool:
        """Send the head with the body so far; return whether that was all.

        Parameters
        ----------
        is_running
            Whether more of the answer will arrive.
        """
        body = bytes(self._buffered)
        self._buffered.clear()
        window = self._window = self._send_window(len(body), is_running)
        size = window.take(min(len(body), MAX_PART_BYTES))
        if self.is_truncated:
            body = body[:size]
        is_complete = not is_running and size == len(body)
        self._sent_bytes = size
        self._deliver(
            AnswerCarrier(
                self._services.node_id,
                self._owned.attempt_id,
                status,
                headers,
                body[:size],
                is_complete,
                not self.is_truncated,
                self._services.free_slots(),
                self._trailers if is_complete else [],
            )
        )
        if is_complete:
            return True
        self._sender = BodySender(window, self.send_part, self._pause, self._resume)
        if size < len(body):
            self._sender.add(body[size:])
        if not is_running:
            self._sender.end(self._trailers)
        return False

    def send_buffered(self) -> bool:
        """Send what is buffered of the body; return False if nothing is."""
        if self._sender is None or not self._buffered:
            return False
        data = bytes(self._buffered)
        self._buffered.clear()
        self._sender.add(data)
        return True

    def set_trailers(self, trailers: Headers) -> None:
        """Set the trailers to send after the last part."""
        self._trailers = trailers

    def drop_unsent(self) -> None:
        """Discard the data that waits for credit."""
        if self._sender is not None:
            self._sender.drop_unsent()

    def end(self) -> None:
        """Mark the end of the body; queued data is still sent before it."""
        if self._sender is not None:
            self._sender.end(self._trailers)

    def grant(self, size_bytes: int) -> bool:
        """Add credit; return False if the head was not sent yet."""
        if self._sender is None:
            return False
        self._sender.grant(size_bytes)
        return True

    def send_part(self, data: bytes, is_last: bool, trailers: Headers) -> None:
        """Send one part of the body."""
        services, attempt_id = self._services, self._owned.attempt_id
        is_whole = not self.is_truncated
        offset = self._sent_bytes
        self._sent_bytes += len(data)
        self._deliver(
            AnswerPart(
                services.node_id, attempt_id, data, is_last, is_whole, trailers, offset
            )
        )

    def close(self) -> None:
        """Release all memory and the window; nothing more is sent."""
        self._buffered.clear()
        self.drop_unsent()
        if self._window is not None:
            self._window.close()

    def _send_window(self, received_bytes: int, is_running: bool) -> SendWindow:
        credit_bytes, pacer = self._owned.answer_window_bytes, self._services.pacer
        is_small = not is_running and received_bytes <= LARGE_ANSWER_BYTES
        if is_small or self._owned.is_local:
            return SendWindow(credit_bytes)
        return PacedWindow(credit_bytes, pacer, self._on_room)

    def _deliver(self, carrier: object) -> None:
        self._services.carrier_delivery.deliver(self._owned.entry, carrier)
