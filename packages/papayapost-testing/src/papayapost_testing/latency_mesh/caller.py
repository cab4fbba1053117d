"""A process that calls addresses in turn at a fixed rate.

The arguments are the number of calls, the calls per second (0 sends each call
when the one before is answered) and one or more addresses. The process prints
a JSON list that holds, for each address, a list of the latency of its calls
in µs.
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
_TIME_LIMIT_S = 30
_READ_BYTES = 65_536


@dataclass(slots=True, eq=False)
class _Connection:
    target: int
    socket: socket.socket
    due_ns: int = 0
    received: bytearray = field(default_factory=bytearray)

    def is_answered(self) -> bool:
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return False
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(
                f"answer is not 200: {bytes(head)!r}; check the benchmark's rules"
            )
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        return len(body) >= int(length)


class _Caller:
    """Sends each call when it is due, even if earlier calls are outstanding.

    The latency of a call counts from its due time, so that it includes the
    wait for a free connection.
    """

    def __init__(self, addresses: list[Address]):
        self._addresses = addresses
        self._selector = selectors.DefaultSelector()
        self._idle: list[deque[_Connection]] = [deque() for _ in addresses]
        self._opened_counts = [0 for _ in addresses]
        self.latencies_us: list[list[float]] = [[] for _ in addresses]
        self.answered = 0

    def run(self, calls: int, rate_per_s: float) -> None:
        start_ns = time.monotonic_ns()
        time_limit_ns = start_ns + int(
            (_TIME_LIMIT_S + calls / (rate_per_s or 1e9)) * 1e9
        )
        sent = 0
        while self.answered < calls and time.monotonic_ns() < time_limit_ns:
            due_ns = start_ns + int(sent * 1e9 / rate_per_s) if rate_per_s else 0
            if not rate_per_s:
                due_ns = 0 if sent == self.answered else time_limit_ns
            wait_ns = due_ns - time.monotonic_ns()
            if sent < calls and wait_ns <= 0 and self._send(sent, due_ns):
                sent += 1
                continue
            timeout_s = max(wait_ns, 0) / 1e9 if sent < calls else None
            self._receive(timeout_s if wait_ns > 0 else None)

    def _send(self, number: int, due_ns: int) -> bool:
        target = number % len(self._addresses)
        connection = self._acquire(target)
        if connection is None:
            return False
        connection.due_ns = due_ns or time.monotonic_ns()
        connection.socket.send(_REQUEST)
        return True

    def _acquire(self, target: int) -> _Connection | None:
        if self._idle[target]:
            # Reuses the connection that was idle for longest, so that all
            # connections are used equally often and stay warm.
            return self._idle[target].popleft()
        if self._opened_counts[target] >= _MAX_CONNECTIONS:
            return None
        self._opened_counts[target] += 1
        new_socket = socket.create_connection(split_address(self._addresses[target]))
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(target, new_socket)
        self._selector.register(new_socket, selectors.EVENT_READ, connection)
        return connection

    def _receive(self, timeout_s: float | None) -> None:
        for key, _ in self._selector.select(timeout_s):
            connection: _Connection = key.data
            data = connection.socket.recv(_READ_BYTES)
            if not data:
                raise ConnectionResetError("the called server closed a connection")
            connection.received += data
            if connection.is_answered():
                latency_ns = time.monotonic_ns() - connection.due_ns
                self.latencies_us[connection.target].append(latency_ns / 1_000)
                connection.received.clear()
                self._idle[connection.target].append(connection)
                self.answered += 1


def main() -> None:
    """Make warm-up calls, then measure calls and print their latencies."""
    calls, rate_per_s = int(sys.argv[1]), float(sys.argv[2])
    addresses = [Address(text) for text in sys.argv[3:]]
    _Caller(addresses).run(len(addresses) * WARM_UP_CALLS, _WARM_UP_RATE_PER_S)
    caller = _Caller(addresses)
    caller.run(calls, rate_per_s)
    sys.stdout.buffer.write(msgspec.json.encode(caller.latencies_us))


if __name__ == "__main__":
    main()
