"""The last changes of the rules, for peers that hold an earlier version."""

from collections import deque

from papayapost.distribution.line_edits import LineEdit, edits_size
from papayapost.distribution.peer_messages import RulesDelta
from papayapost.distribution.rules_table import VersionRow
from papayapost.distribution.tables import DeltaRow
from papayapost.ids import NodeId, RuleVersion

__all__ = ["ChangeHistory"]

_MAX_DELTAS = 32
_MAX_SIZE_BYTES = 64 * 1024


class ChangeHistory:
    """Deltas between the versions that this node held, without a gap."""

    def __init__(self):
        self._deltas: deque[DeltaRow] = deque()

    def add(
        self,
        before: VersionRow | None,
        after: VersionRow,
        edits: tuple[LineEdit, ...] | None,
    ) -> None:
        """Add a change; if its edits are unknown, forget all earlier ones."""
        deltas = self._deltas
        if before is None or edits is None:
            deltas.clear()
            return
        version, digest = before.version, before.rules.digest
        size_bytes = edits_size(edits)
        deltas.append(DeltaRow(version, digest, after.version, edits, size_bytes))
        while (
            len(deltas) > _MAX_DELTAS
            or sum(delta.size_bytes for delta in deltas) > _MAX_SIZE_BYTES
        ):
            deltas.popleft()

    def delta_from(
        self,
        sender: NodeId,
        base_version: RuleVersion,
        base_digest: str,
        held: VersionRow,
    ) -> RulesDelta | None:
        """Return the delta from a base to the held version.

        Returns
        -------
        RulesDelta or None
            None if the history does not start early enough, or if the delta
            is not much smaller than the text.
        """
        edits: list[LineEdit] = []
        size_bytes = 0
        for delta in reversed(self._deltas):
            edits[:0] = delta.edits
            size_bytes += delta.size_bytes
            if (delta.base_version, delta.base_digest) != (base_version, base_digest):
                continue
            if size_bytes > len(held.rules.text) // 2:
                return None
            return RulesDelta(
                sender,
                base_version,
                base_digest,
                held.version,
                held.rules.digest,
                tuple(edits),
                held.position,
            )
        return None

    def latest(self, sender: NodeId, held: VersionRow) -> RulesDelta | None:
        """Return the delta that led to the held version, or None."""
        if not self._deltas or self._deltas[-1].version != held.version:
            return None
        last = self._deltas[-1]
        return self.delta_from(sender, last.base_version, last.base_digest, held)
