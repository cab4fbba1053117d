"""A caller that alternates between addresses at a fixed rate.

Arguments: calls, calls a second (0 for back to back), and two or more
addresses. Prints one JSON list: for each address the µs of each call.
"""

import selectors
import socket
import sys
import time
from collections import deque
from dataclasses import dataclass, field

import msgspec

from papayapost.ids import Address
from papayapost_node.addresses import split_address

__all__ = ["WARM_UP_CALLS", "main"]

WARM_UP_CALLS = 50
_REQUEST = b"GET /gusts/wanli?now HTTP/1.1\r\nhost: wind.example\r\n\r\n"
_MAX_CONNECTIONS = 64
_WARM_UP_RATE_PER_S = 200
_GIVE_UP_S = 30
_READ_BYTES = 65_536


@dataclass(slots=True, eq=False)
class _Connection:
    target: int
    socket: socket.socket
    due_ns: int = 0
    received: bytearray = field(default_factory=bytearray)

    def is_answered(self) -> bool:
        head, mark, body = self.received.partition(b"\r\n\r\n")
        if not mark:
            return False
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"answered {bytes(head)!r}; check the bench's rules")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        return len(body) >= int(length)


class _Caller:
    """Sends each call when it is due, whether or not others are answered."""

    def __init__(self, addresses: list[Address]):
        self._addresses = addresses
        self._selector = selectors.DefaultSelector()
        self._idle: list[deque[_Connection]] = [deque() for _ in addresses]
        self._opened = [0 for _ in addresses]
        self.took_us: list[list[float]] = [[] for _ in addresses]
        self.answered = 0

    def run(self, calls: int, rate_per_s: float) -> None:
        start_ns = time.monotonic_ns()
        give_up_ns = start_ns + int((_GIVE_UP_S + calls / (rate_per_s or 1e9)) * 1e9)
        sent = 0
        while self.answered < calls and time.monotonic_ns() < give_up_ns:
            due_ns = start_ns + int(sent * 1e9 / rate_per_s) if rate_per_s else 0
            if not rate_per_s:
                due_ns = 0 if sent == self.answered else give_up_ns
            wait_ns = due_ns - time.monotonic_ns()
            if sent < calls and wait_ns <= 0 and self._send(sent, due_ns):
                sent += 1
                continue
            timeout_s = max(wait_ns, 0) / 1e9 if sent < calls else None
            self._receive(timeout_s if wait_ns > 0 else None)

    def _send(self, number: int, due_ns: int) -> bool:
        target = number % len(self._addresses)
        connection = self._take(target)
        if connection is None:
            return False
        connection.due_ns = due_ns or time.monotonic_ns()
        connection.socket.send(_REQUEST)
        return True

    def _take(self, target: int) -> _Connection | None:
        if self._idle[target]:
            # The oldest, so that every connection is as warm as the others.
            return self._idle[target].popleft()
        if self._opened[target] >= _MAX_CONNECTIONS:
            return None
        self._opened[target] += 1
        opened = socket.create_connection(split_address(self._addresses[target]))
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(target, opened)
        self._selector.register(opened, selectors.EVENT_READ, connection)
        return connection

    def _receive(self, timeout_s: float | None) -> None:
        for key, _ in self._selector.select(timeout_s):
            connection: _Connection = key.data
            data = connection.socket.recv(_READ_BYTES)
            if not data:
                raise ConnectionResetError("the bench's server closed a connection")
            connection.received += data
            if connection.is_answered():
                took_ns = time.monotonic_ns() - connection.due_ns
                self.took_us[connection.target].append(took_ns / 1_000)
                connection.received.clear()
                self._idle[connection.target].append(connection)
                self.answered += 1


def main() -> None:
    """Run one measurement."""
    calls, rate_per_s = int(sys.argv[1]), float(sys.argv[2])
    addresses = [Address(text) for text in sys.argv[3:]]
    _Caller(addresses).run(len(addresses) * WARM_UP_CALLS, _WARM_UP_RATE_PER_S)
    caller = _Caller(addresses)
    caller.run(calls, rate_per_s)
    sys.stdout.buffer.write(msgspec.json.encode(caller.took_us))


if __name__ == "__main__":
    main()
