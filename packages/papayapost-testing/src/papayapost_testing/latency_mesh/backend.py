"""A backend server process that answers at once, with minimal work.

The only argument is its address. It answers each request with the same body
of ``ANSWER_BYTES`` bytes.
"""

import asyncio
import sys

from papayapost.ids import Address
from papayapost_node.addresses import split_address

__all__ = ["ANSWER_BYTES", "main"]

ANSWER_BYTES = 256
_ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n\r\n"
    % ANSWER_BYTES
) + b"." * ANSWER_BYTES


class _FixedAnswer(asyncio.Protocol):
    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self._transport.write(_ANSWER)


async def _serve(address: Address) -> None:
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_FixedAnswer, ip, port)
    await server.serve_forever()


def main() -> None:
    """Serve requests until the process is terminated."""
    asyncio.run(_serve(Address(sys.argv[1])))


if __name__ == "__main__":
    main()
