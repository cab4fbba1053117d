"""The system that sends whole rules texts to children at a bounded rate."""

from papayapost.distribution.messages import ChunkDue
from papayapost.distribution.peer_messages import (
    ChunkRequest,
    RulesBusy,
    RulesChunk,
    RulesGone,
)
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.distribution.tables import RelayTables, TransferRow
from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership import ChildLeft
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["SendSnapshots"]

CHUNK_BYTES = 32 << 10
"""Largest chunk of a text in one message, in bytes."""

SNAPSHOT_BYTES_PER_S = 1 << 20
"""Rate limit of a relay for whole texts in bytes/s, before compression."""

MAX_TRANSFERS = 8
"""Maximum number of children that a relay sends whole texts to at once."""

_TRANSFER_IDLE_US = 5_000_000
_MIN_RETRY_AFTER_US = 1_000_000


class SendSnapshots(System):
    """Answers chunk requests of a few children at once, at a bounded rate.

    If the maximum number of transfers is in progress, the answer states when
    the child is to retry. Retry times are assigned one after the other, spaced
    by the duration of a transfer at the rate limit, so that children are
    served in the order of their first requests.
    """

    consumes = (ChunkRequest, ChunkDue, ChildLeft)

    def __init__(self, me: SelfRow, rules: RulesTable, relay: RelayTables):
        self._me = me
        self._rules = rules
        self._relay = relay
        self._encoded_text = ("", b"")

    def run(self, tick: Tick) -> None:
        """Admit chunk requests and send chunks as the rate limit allows."""
        for left in tick.take(ChildLeft):
            self._relay.transfers.pop(left.node_id)
        for request in tick.take(ChunkRequest):
            self._admit_request(tick, request)
        for due in tick.take(ChunkDue):
            self._send_chunk(tick, due.request)

    def _admit_request(self, tick: Tick, request: ChunkRequest) -> None:
        transfer = self._relay.transfers.get(request.sender)
        if transfer is None or transfer.version != request.version:
            transfer = self._begin_transfer(tick, request)
            if transfer is None:
                return
        if not 0 <= request.offset_bytes <= len(transfer.data):
            return
        transfer.last_request_us = tick.now_us
        chunk_bytes = min(CHUNK_BYTES, len(transfer.data) - request.offset_bytes)
        start_us = max(tick.now_us, self._relay.next_chunk_us)
        self._relay.next_chunk_us = start_us + _duration_us(chunk_bytes)
        if start_us <= tick.now_us:
            self._send_chunk(tick, request)
        else:
            key = (ChunkDue, request.sender)
            tick.set_timer(key, Micros(start_us), ChunkDue(request))

    def _begin_transfer(self, tick: Tick, request: ChunkRequest) -> TransferRow | None:
        held = self._rules.held
        if held is None or held.rules.digest != request.digest:
            gone = RulesGone(self._me.node_id, request.version)
            tick.emit(PeerSend(request.reply_to, gone))
            return None
        data = self._encode_text(held)
        transfers = self._relay.transfers
        if request.sender not in transfers and len(transfers) >= MAX_TRANSFERS:
            self._end_idle_transfers(tick)
        if request.sender not in transfers and len(transfers) >= MAX_TRANSFERS:
            self._defer(tick, request, len(data))
            return None
        transfer = TransferRow(request.sender, request.version, data, tick.now_us)
        transfers.put(request.sender, transfer)
        return transfer

    def _encode_text(self, held: VersionRow) -> bytes:
        if self._encoded_text[0] != held.rules.digest:
            self._encoded_text = (held.rules.digest, held.rules.text.encode())
        return self._encoded_text[1]

    def _end_idle_transfers(self, tick: Tick) -> None:
        oldest_us = tick.now_us - _TRANSFER_IDLE_US - self._backlog_us(tick)
        for transfer in list(self._relay.transfers):
            if transfer.last_request_us < oldest_us:
                self._relay.transfers.pop(transfer.node_id)

    def _defer(self, tick: Tick, request: ChunkRequest, size_bytes: int) -> None:
        relay = self._relay
        # The next transfer can start after the chunks that are already
        # scheduled have been sent.
        earliest_us = tick.now_us + max(_MIN_RETRY_AFTER_US, self._backlog_us(tick))
        retry_us = max(earliest_us, relay.next_transfer_us)
        relay.next_transfer_us = retry_us + _duration_us(size_bytes)
        busy = RulesBusy(self._me.node_id, Micros(retry_us - tick.now_us))
        tick.emit(PeerSend(request.reply_to, busy))

    def _backlog_us(self, tick: Tick) -> int:
        return max(0, self._relay.next_chunk_us - tick.now_us)

    def _send_chunk(self, tick: Tick, request: ChunkRequest) -> None:
        transfer = self._relay.transfers.get(request.sender)
        if transfer is None:
            return
        offset = request.offset_bytes
        data = transfer.data[offset : offset + CHUNK_BYTES]
        chunk = RulesChunk(
            self._me.node_id,
            request.version,
            request.digest,
            offset,
            len(transfer.data),
            data,
        )
        tick.emit(PeerSend(request.reply_to, chunk))
        if offset + len(data) >= len(transfer.data):
            self._relay.transfers.pop(request.sender)


def _duration_us(size_bytes: int) -> int:
    return max(0, size_bytes) * 1_000_000 // SNAPSHOT_BYTES_PER_S
