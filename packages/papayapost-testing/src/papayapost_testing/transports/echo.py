"""A process that sends each frame back to the address that leads it.

Arguments: kind of transport, own address, and for CURVE the own public and
secret key and the other's public key.
"""

import asyncio
import sys

from papayapost.ids import Address, DataCentreId
from papayapost_node.batch import NoBatch
from papayapost_node.security import AllowedKeyRow, KeyPair, KeyRing, PublicKey
from papayapost_node.transport import (
    FrameListener,
    PeerTable,
    PeerTransport,
    ZmqTransport,
)
from papayapost_testing.transports.stream import StreamTransport

__all__ = ["ADDRESS_BYTES", "build_transport", "main"]

ADDRESS_BYTES = 24


def build_transport(kind: str, address: Address, keys: list[str]) -> PeerTransport:
    """Return a transport of a kind: ``stream``, ``zmq`` or ``curve``."""
    if kind == "stream":
        return StreamTransport(address)
    ring = None
    if kind == "curve":
        place = DataCentreId("north-1")
        own, secret, other = keys
        rows = [AllowedKeyRow(PublicKey(key), place) for key in (other, own)]
        pair = KeyPair(PublicKey(own), secret)
        ring = KeyRing(pair, rows, lambda address: (None, None))
    return ZmqTransport(address, PeerTable(lambda address: None), ring)


class _Echo(FrameListener):
    def __init__(self, transport: PeerTransport):
        self._transport = transport

    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        address = Address(frame[:ADDRESS_BYTES].strip().decode())
        self._transport.send(address, frame)

    def peer_lost(self, address: Address) -> None:
        pass

    def stranger_refused(self, key: PublicKey) -> None:
        pass


async def _serve() -> None:
    transport = build_transport(sys.argv[1], Address(sys.argv[2]), sys.argv[3:])
    transport.start(_Echo(transport), NoBatch())
    await asyncio.Event().wait()


def main() -> None:
    """Echo until terminated."""
    asyncio.run(_serve())


if __name__ == "__main__":
    main()
