"""Tests what one peer may make a node hold."""

import asyncio

from papayapost.ids import (
    Address,
    AttemptId,
    ConnectionEpoch,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.states import Rank
from papayapost.traffic import AttemptOffer, BackendCallEnded, BackendCallStart
from papayapost_node.addresses import split_address
from papayapost_node.batch import NoBatching
from papayapost_node.exchange import OwnerSide, WindowBudget
from papayapost_node.http import BackendPool
from papayapost_node.transport import FrameListener, PeerLimits, PeerTable, ZmqTransport
from papayapost_node.wire import OfferCarrier, RequestHead
from papayapost_testing.ports import free_addresses


class CountingListener(FrameListener):
    def __init__(self):
        self.frames = []

    def frame_arrived(self, frame, key):
        self.frames.append(frame)

    def peer_lost(self, address):
        pass

    def unknown_key_refused(self, key):
        pass


async def open_and_hold(address, count):
    return [
        await asyncio.open_connection(*split_address(address)) for _ in range(count)
    ]


async def is_closed(reader) -> bool:
    """Return True once the node has closed a connection."""
    try:
        while await reader.read(100):
            pass
    except ConnectionResetError:
        pass
    return True


def test_connections_of_one_address_above_the_limit_are_closed():
    async def main():
        own, peer = free_addresses(2)
        refused = []
        limits = PeerLimits(connections=100, connections_per_address=3)
        transport = ZmqTransport(
            own,
            PeerTable(lambda _: None),
            None,
            limits=limits,
            on_refused=lambda: refused.append(1),
        )
        listener = CountingListener()
        transport.start(listener, NoBatching())
        sender = ZmqTransport(peer, PeerTable(lambda _: None), None)
        sender.start(CountingListener(), NoBatching())
        try:
            async with asyncio.timeout(10):
                held = await open_and_hold(own, 8)
                while len(refused) < 5:
                    await asyncio.sleep(0.01)
                ends = [asyncio.create_task(is_closed(reader)) for reader, _ in held]
                while sum(end.done() for end in ends) < 5:
                    await asyncio.sleep(0.01)
                for _, writer in held:
                    writer.close()
                # The places of connections that have closed are free again.
                while not listener.frames:
                    sender.send(own, b"frame")
                    await asyncio.sleep(0.05)
                assert len(refused) >= 5
        finally:
            sender.close()
            transport.close()

    asyncio.run(main())


def test_an_offer_with_a_body_that_no_entry_node_sends_is_not_held():
    async def main():
        posted = []
        pool = BackendPool(Address("127.0.0.1:9"), 1, NoBatching())
        owner = OwnerSide(
            NodeId("n1"), pool, None, posted.append, lambda: 1, WindowBudget(1 << 20)
        )
        attempt_id = AttemptId("n2/1/1")
        offer = AttemptOffer(
            sender=NodeId("n2"),
            reply_to=Address("127.0.0.1:8"),
            attempt_id=attempt_id,
            epoch=ConnectionEpoch(1),
            service=ServiceName("gusts"),
            rank=Rank.URGENT,
            idempotent=False,
            idempotency_key=None,
            budget_us=Micros(1_000_000),
        )
        head = RequestHead("POST", "/a", [])
        carrier = OfferCarrier(NodeId("n2"), offer, head, bytes(1 << 20), True, 1)
        owner.carriers()[OfferCarrier](carrier)
        assert posted == [offer]
        owner.handlers()[BackendCallStart](BackendCallStart(attempt_id, Micros(1_000)))
        assert posted[1:] == [BackendCallEnded(attempt_id, False, False)]

    asyncio.run(main())
