"""The system that applies deltas from the parent."""

from papayapost.distribution.held import RulesTable
from papayapost.distribution.lines import MAX_RULES_BYTES, LineEdit, apply_edits
from papayapost.distribution.messages import FetchDue, RequestDue, TextOffered
from papayapost.distribution.peer_messages import RulesDelta
from papayapost.distribution.tables import FollowTable
from papayapost.errors import DeltaRefused
from papayapost.ids import RuleVersion
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.rules import digest_of

__all__ = ["ApplyDeltas"]


class ApplyDeltas(System):
    """Applies deltas that start at the held text and end as they claim."""

    consumes = (RulesDelta,)

    def __init__(self, rules: RulesTable, follow: FollowTable):
        self._rules = rules
        self._follow = follow

    def run(self, tick: Tick) -> None:
        """Offer what the deltas lead to; ask for a repair if one misfits."""
        chain = _Chain(self._rules)
        is_repair_due = False
        for delta in tick.take(RulesDelta):
            try:
                chain.extend(delta)
            except DeltaRefused as error:
                self._note(tick, delta, error)
                is_repair_due = is_repair_due or delta.version > chain.version
        if chain.version > self._rules.held_version:
            self._follow.fetch = None
            tick.cancel_timer(FetchDue)
            tick.post(chain.offered())
        if is_repair_due and self._follow.fetch is None:
            tick.post(RequestDue())

    def _note(self, tick: Tick, delta: RulesDelta, error: DeltaRefused) -> None:
        event = Event.RULES_DELTA_REFUSED
        peer = delta.sender
        tick.emit(Noted(event, version=delta.version, peer=peer, detail=str(error)))


class _Chain:
    """The held text with the deltas of one tick applied to it."""

    def __init__(self, rules: RulesTable):
        held = rules.held
        self._base_version = rules.held_version
        self._digest = rules.held_digest
        self._text = held.rules.text if held else ""
        self.version: RuleVersion = self._base_version
        self.edits: list[LineEdit] = []

    def extend(self, delta: RulesDelta) -> None:
        """Apply a delta, or raise `DeltaRefused` and stay as it is."""
        if delta.version <= self.version:
            raise DeltaRefused(
                f"the delta leads to version {delta.version}, but {self.version} is "
                "held; nothing is to be done"
            )
        if (delta.base_version, delta.base_digest) != (self.version, self._digest):
            raise DeltaRefused(
                f"the delta starts at version {delta.base_version} with digest "
                f"{delta.base_digest}, but {self.version} with digest {self._digest} "
                "is held; what follows that is asked for"
            )
        text = apply_edits(self._text, delta.edits)
        size_bytes = len(text.encode())
        if size_bytes > MAX_RULES_BYTES or digest_of(text) != delta.digest:
            raise DeltaRefused(
                f"the delta to version {delta.version} gives {size_bytes} bytes with "
                f"another digest than {delta.digest}, or too many; the text is asked "
                "for again"
            )
        self._text, self._digest = text, delta.digest
        self.version = delta.version
        self.edits.extend(delta.edits)

    def offered(self) -> TextOffered:
        """Return the text that the chain has led to."""
        return TextOffered(
            self.version, self._text, self._base_version, tuple(self.edits)
        )
