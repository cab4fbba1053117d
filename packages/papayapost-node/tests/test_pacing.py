"""Tests the pace at which large answers enter the link of a VM."""

import asyncio

from papayapost_node.exchange.body_sender import BodySender
from papayapost_node.exchange.pacing import BulkPacer, PacedWindow

LINK_MBPS = 3.5
LINK_BYTES_PER_S = LINK_MBPS * 1e6 / 8
MAX_BACKLOG_S = 0.1
BODY_BYTES = 40_000


class Sending:
    """One answer that is sent, with the times at which its parts were."""

    def __init__(
        self,
        pacer: BulkPacer,
        size_bytes: int = BODY_BYTES,
        credit_bytes: int = 1 << 20,
    ):
        self.parts: list[tuple[float, int]] = []
        self.ended = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self.window = PacedWindow(credit_bytes, pacer, self.on_room)
        self._sender = BodySender(self.window, self._send, lambda: None, lambda: None)
        self._sender.add(bytes(size_bytes))
        self._sender.end([])

    @property
    def sent_bytes(self) -> int:
        return sum(size for _, size in self.parts)

    def on_room(self):
        self.grant(0)

    def grant(self, size_bytes: int):
        self._sender.grant(size_bytes)

    def _send(self, data, is_last, trailers):
        self.parts.append((self._loop.time(), len(data)))
        if is_last:
            self.ended.set()


def test_many_downloads_leave_room_on_a_slow_link_for_small_answers():
    async def main():
        pacer = BulkPacer(LINK_MBPS)
        started_s = asyncio.get_running_loop().time()
        downloads = [Sending(pacer) for _ in range(4)]
        first_s = sum(sending.sent_bytes for sending in downloads) / LINK_BYTES_PER_S
        assert first_s < MAX_BACKLOG_S
        for sending in downloads:
            await sending.ended.wait()
        took_s = asyncio.get_running_loop().time() - started_s
        assert took_s > 4 * BODY_BYTES / LINK_BYTES_PER_S
        parts = sorted(part for sending in downloads for part in sending.parts)
        sent_bytes = 0
        for at_s, size_bytes in parts:
            sent_bytes += size_bytes
            backlog_s = sent_bytes / LINK_BYTES_PER_S - (at_s - started_s)
            assert backlog_s < MAX_BACKLOG_S

    asyncio.run(main())


def test_downloads_on_a_full_link_end_one_after_the_other():
    async def main():
        pacer = BulkPacer(LINK_MBPS)
        first, second = Sending(pacer), Sending(pacer)
        await first.ended.wait()
        assert second.sent_bytes < BODY_BYTES / 4
        await second.ended.wait()
        assert second.sent_bytes == BODY_BYTES

    asyncio.run(main())


def test_a_download_keeps_its_place_while_it_waits_for_credit():
    async def main():
        pacer = BulkPacer(LINK_MBPS)
        first = Sending(pacer, credit_bytes=16_000)
        second, third = Sending(pacer), Sending(pacer)
        while not second.sent_bytes:
            await asyncio.sleep(0.01)
        first.grant(BODY_BYTES)
        await first.ended.wait()
        assert second.sent_bytes < BODY_BYTES
        assert not third.sent_bytes

    asyncio.run(main())


def test_a_download_that_ends_early_does_not_hold_up_the_next():
    async def main():
        pacer = BulkPacer(LINK_MBPS)
        first, second = Sending(pacer, 1 << 30), Sending(pacer)
        first.window.close()
        async with asyncio.timeout(5):
            await second.ended.wait()

    asyncio.run(main())


def test_without_a_known_rate_nothing_is_held_back():
    async def main():
        sending = Sending(BulkPacer(0))
        assert sending.ended.is_set()

    asyncio.run(main())
