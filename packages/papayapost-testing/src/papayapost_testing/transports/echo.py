"""A process that returns each frame to the address at the frame's start.

The arguments are the kind of transport and the process's own address. The
kind ``curve`` uses three more: the process's own public key, its secret key
and the peer's public key.
"""

import asyncio
import sys

from papayapost.ids import Address, DataCentreId
from papayapost_node.batch import NoBatching
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
    """Return a transport of the kind ``stream``, ``zmq`` or ``curve``.

    Parameters
    ----------
    keys
        Own public key, own secret key and the peer's public key; only
        ``curve`` uses them.
    """
    if kind == "stream":
        return StreamTransport(address)
    key_ring = None
    if kind == "curve":
        data_centre = DataCentreId("north-1")
        own, secret, peer = keys
        rows = [AllowedKeyRow(PublicKey(key), data_centre) for key in (peer, own)]
        pair = KeyPair(PublicKey(own), secret)
        key_ring = KeyRing(pair, rows, lambda address: (None, None))
    return ZmqTransport(address, PeerTable(lambda address: None), key_ring)


class _Echo(FrameListener):
    def __init__(self, transport: PeerTransport):
        self._transport = transport

    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        address = Address(frame[:ADDRESS_BYTES].strip().decode())
        self._transport.send(address, frame)

    def peer_lost(self, address: Address) -> None:
        pass

    def unknown_key_refused(self, key: PublicKey) -> None:
        pass


async def _serve() -> None:
    transport = build_transport(sys.argv[1], Address(sys.argv[2]), sys.argv[3:])
    transport.start(_Echo(transport), NoBatching())
    await asyncio.Event().wait()


def main() -> None:
    """Return frames until the process is terminated."""
    asyncio.run(_serve())


if __name__ == "__main__":
    main()
