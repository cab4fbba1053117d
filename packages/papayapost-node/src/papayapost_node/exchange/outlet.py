"""The sending end of a body that travels between nodes."""

from collections import deque
from collections.abc import Callable

from papayapost_node.exchange.windows import SendWindow
from papayapost_node.http import Headers

__all__ = ["BodyOutlet", "SendPart"]

MAX_PART_BYTES = 64 << 10

SendPart = Callable[[bytes, bool, Headers], None]


class BodyOutlet:
    """Cuts a body into parts and sends them as credit allows.

    Parameters
    ----------
    window
        Credit granted by the receiver.
    send_part
        Sends a part, with whether it is the last and the trailers.
    pause, resume
        Stop and restart the source of the body.

    Attributes
    ----------
    is_ended
        Whether the last part was sent.
    """

    def __init__(
        self,
        window: SendWindow,
        send_part: SendPart,
        pause: Callable[[], None],
        resume: Callable[[], None],
    ):
        self._window = window
        self._send_part = send_part
        self._pause = pause
        self._resume = resume
        self._waiting: deque[bytes] = deque()
        self._is_source_over = False
        self._trailers: Headers = []
        self.is_ended = False

    @property
    def is_blocked(self) -> bool:
        """Whether something waits for credit."""
        return bool(self._waiting)

    def add(self, data: bytes) -> None:
        """Send a piece, or keep it and pause its source."""
        if not data:
            return
        self._waiting.append(data)
        self._send_waiting()
        if self._waiting:
            self._pause()

    def end(self, trailers: Headers) -> None:
        """Send the last part once all before it has left."""
        self._is_source_over = True
        self._trailers = trailers
        self._send_waiting()

    def grant(self, size_bytes: int) -> None:
        """Take credit from the receiver."""
        was_blocked = bool(self._waiting)
        self._window.grant(size_bytes)
        self._send_waiting()
        if was_blocked and not self._waiting and not self._is_source_over:
            self._resume()

    def _send_waiting(self) -> None:
        waiting = self._waiting
        while waiting:
            piece = waiting.popleft()
            size = self._window.take(min(len(piece), MAX_PART_BYTES))
            if size < len(piece):
                waiting.appendleft(piece[size:])
            if not size:
                return
            is_last = self._is_source_over and not waiting
            self._send(piece[:size] if size < len(piece) else piece, is_last)
        if self._is_source_over and not self.is_ended:
            self._send(b"", True)

    def _send(self, data: bytes, is_last: bool) -> None:
        self.is_ended = is_last
        self._send_part(data, is_last, self._trailers if is_last else [])
