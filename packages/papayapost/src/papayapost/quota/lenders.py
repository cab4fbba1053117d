"""Finds the lender of a partition in each region.

Each region has the same relays at all nodes in calm, so that most requests
reach the lender at once. A node that is not the lender names it. Load pattern
that this answers: the lender is killed or cut off under full load, and all
entry nodes must get tokens elsewhere without asking it for each call.
"""

from collections.abc import Collection, Sequence

from papayapost.define import define
from papayapost.distribution import WatchRanks
from papayapost.ids import Micros, NodeId, QuotaPartition, RegionId
from papayapost.kernel import Table
from papayapost.membership import BackendServerRow, Directory
from papayapost.quota.tables import QuotaTables

__all__ = ["LenderRow", "Lenders"]

_SILENCE_US = 1_000_000
"""Time for which a region is left out after its lender did not answer. One
call in this time asks there again, and waits for that answer in vain."""

_MISSING_US = 300_000
"""The same if all its candidates answered that they do not lend. Asking again
costs a call few milliseconds then."""

_SHUN_US = 2_000_000
"""Time for which a node that did not answer is asked after all others, unless
one of them names it as the holder: it may only have restarted."""

_MAX_ASKED_IN_REGION = 3


@define
class LenderRow:
    """What this node knows of the lender of a partition in one region.

    Parameters
    ----------
    holder
        Node that lends, as it or another node has said; None if not known.
    silent, silent_until_us
        Node that did not answer the last request, and the tick time in µs
        until which others are asked before it.
    avoided_until_us, avoided_for_us
        Tick time in µs until which the region is left out, and the length of
        that time; 0 if the last answer came from its lender.
    """

    region: RegionId
    partition: QuotaPartition
    holder: NodeId | None = None
    silent: NodeId | None = None
    silent_until_us: Micros = Micros(0)
    avoided_until_us: Micros = Micros(0)
    avoided_for_us: int = 0


class Lenders:
    """Lenders of all partitions and regions, as this node knows them."""

    def __init__(self, tables: QuotaTables, directory: Directory, ranks: WatchRanks):
        self._regions = tables.regions
        self._directory = directory
        self._ranks = ranks
        self._rows: Table[tuple[RegionId, QuotaPartition], LenderRow] = Table("lenders")

    def choose(
        self,
        partition: QuotaPartition,
        asked: Sequence[NodeId],
        now_us: Micros,
        is_answered: bool = False,
    ) -> BackendServerRow | None:
        """Return the node that a call asks next for a token.

        Parameters
        ----------
        asked
            Nodes that the call has asked already, in order.
        is_answered
            Whether the last of them answered that it does not lend. The other
            candidates of its region are asked then, even if calls without an
            answer leave the region out.

        Returns
        -------
        BackendServerRow or None
            None if no region has a lender that may answer.
        """
        last = self._directory.get(asked[-1]) if is_answered and asked else None
        for region in self._regions:
            row = self._row(region, partition)
            is_last = last is not None and last.region == region
            if now_us < row.avoided_until_us and not is_last:
                continue
            node = self._candidate(row, asked, now_us)
            if node is None:
                continue
            if row.avoided_for_us:
                # This call alone asks whether the region has a lender again.
                row.avoided_until_us = Micros(now_us + row.avoided_for_us)
            return node
        return None

    def choose_abroad(
        self, partition: QuotaPartition, now_us: Micros
    ) -> BackendServerRow | None:
        """Return a lender of another region that may send tokens, or None."""
        for region in self._regions[1:]:
            node = self._candidate(self._row(region, partition), (), now_us)
            if node is not None:
                return node
        return None

    def record_answer(self, node_id: NodeId, partition: QuotaPartition) -> None:
        """Record that a node lends."""
        row = self._row_of(node_id, partition)
        if row is not None:
            row.holder = node_id
            if row.silent == node_id:
                row.silent = None
            row.avoided_until_us, row.avoided_for_us = Micros(0), 0

    def record_not_lender(
        self,
        node_id: NodeId,
        partition: QuotaPartition,
        holder: NodeId | None,
        asked: Collection[NodeId],
        now_us: Micros,
    ) -> None:
        """Record that a node does not lend, and whom it takes for the holder.

        Parameters
        ----------
        asked
            Nodes that the same call has asked, this one included.
        """
        row = self._row_of(node_id, partition)
        if row is None:
            return
        if holder is not None and holder != node_id and holder in self._directory:
            row.holder = holder
        elif row.holder == node_id:
            row.holder = None
        if self._candidate(row, asked, now_us) is None:
            self._avoid(row, now_us, _MISSING_US)

    def record_silence(
        self, node_id: NodeId, partition: QuotaPartition, now_us: Micros
    ) -> None:
        """Record that a node has not answered in time."""
        row = self._row_of(node_id, partition)
        if row is not None:
            row.silent = node_id
            row.silent_until_us = Micros(now_us + _SHUN_US)
            if row.holder == node_id:
                row.holder = None
            self._avoid(row, now_us, _SILENCE_US)

    def is_own_region(self, node: BackendServerRow) -> bool:
        """Return whether a node is in the region of this node."""
        return node.region == self._regions[0]

    def _avoid(self, row: LenderRow, now_us: Micros, span_us: int) -> None:
        row.avoided_for_us = span_us
        row.avoided_until_us = Micros(now_us + span_us)

    def _candidate(
        self, row: LenderRow, asked: Collection[NodeId], now_us: Micros
    ) -> BackendServerRow | None:
        """Return the holder if it is known, else the next relay or deputy.

        A node that did not answer the last request comes last.
        """
        holder = self._directory.get(row.holder) if row.holder is not None else None
        if holder is not None and holder.node_id not in asked:
            return holder
        rank = self._ranks.regions.get(row.region)
        heads = [*rank.relays, *rank.deputies] if rank is not None else []
        if sum(node_id in asked for node_id in heads) >= _MAX_ASKED_IN_REGION:
            return None
        turns = [heads[(at + row.partition) % len(heads)] for at in range(len(heads))]
        silent = self._silent(row, now_us)
        turns.sort(key=lambda node_id: node_id == silent)
        for node_id in turns:
            node = self._directory.get(node_id)
            if node is not None and node_id not in asked:
                return node
        return None

    def _silent(self, row: LenderRow, now_us: Micros) -> NodeId | None:
        return row.silent if now_us < row.silent_until_us else None

    def _row_of(self, node_id: NodeId, partition: QuotaPartition) -> LenderRow | None:
        node = self._directory.get(node_id)
        if node is None or node.region not in self._regions:
            return None
        return self._row(node.region, partition)

    def _row(self, region: RegionId, partition: QuotaPartition) -> LenderRow:
        row = self._rows.get((region, partition))
        if row is None:
            row = LenderRow(region, partition)
            self._rows.put((region, partition), row)
        return row
