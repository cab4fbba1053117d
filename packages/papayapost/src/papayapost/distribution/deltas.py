"""The system that applies the rules deltas that the parent sends."""

from papayapost.distribution.line_edits import LineEdit, apply_edits
from papayapost.distribution.messages import FetchDue, RequestDue, TextOffered
from papayapost.distribution.peer_messages import RulesDelta
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.tables import RulesRequestTable
from papayapost.errors import DeltaRefused
from papayapost.ids import RuleVersion
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.rules import rules_digest
from papayapost.storage import StoreVersion

__all__ = ["ApplyDeltas", "DeltaChain"]


class ApplyDeltas(System):
    """Applies deltas whose base and result match their stated digests."""

    consumes = (RulesDelta,)

    def __init__(self, rules: RulesTable, requests: RulesRequestTable):
        self._rules = rules
        self._requests = requests

    def run(self, tick: Tick) -> None:
        """Offer the resulting text; request the rules after a refusal."""
        chain = DeltaChain(self._rules)
        is_request_due = False
        for delta in tick.take(RulesDelta):
            try:
                chain.extend(delta)
            except DeltaRefused as error:
                self._note_refused(tick, delta, error)
                is_request_due = is_request_due or delta.version > chain.version
        if chain.version > self._rules.held_version:
            self._requests.fetch = None
            tick.cancel_timer(FetchDue)
            tick.post(chain.to_offer())
        if is_request_due and self._requests.fetch is None:
            tick.post(RequestDue())

    def _note_refused(self, tick: Tick, delta: RulesDelta, error: DeltaRefused) -> None:
        event = Event.RULES_DELTA_REFUSED
        peer = delta.sender
        tick.emit(Noted(event, version=delta.version, peer=peer, detail=str(error)))


class DeltaChain:
    """The text that the node holds, with the deltas of one tick applied."""

    def __init__(self, rules: RulesTable):
        held = rules.held
        self._max_bytes = rules.max_bytes
        self._base_version = rules.held_version
        self._digest = rules.held_digest
        self._text = held.rules.text if held else ""
        self.version: RuleVersion = self._base_version
        self.edits: list[LineEdit] = []
        self._position = StoreVersion(0)

    def extend(self, delta: RulesDelta) -> None:
        """Apply a delta to the text.

        Raises
        ------
        DeltaRefused
            If the delta is not newer, has another base, refers to lines that
            the text lacks, yields another digest or yields a text that is too
            large. The text that the node holds is left unchanged.
        """
        if delta.version <= self.version:
            raise DeltaRefused(
                f"the delta leads to version {delta.version}, but the node holds "
                f"version {self.version}; no action is needed"
            )
        if (delta.base_version, delta.base_digest) != (self.version, self._digest):
            raise DeltaRefused(
                f"the delta starts at version {delta.base_version} with digest "
                f"{delta.base_digest}, but the node holds version {self.version} "
                f"with digest {self._digest}; the node requests a delta from its own "
                "version"
            )
        text = apply_edits(self._text, delta.edits)
        size_bytes = len(text.encode())
        if size_bytes > self._max_bytes or rules_digest(text) != delta.digest:
            raise DeltaRefused(
                f"the delta to version {delta.version} yields {size_bytes} bytes, "
                f"which do not match digest {delta.digest} or exceed the size limit; "
                "the node requests the text again"
            )
        self._text, self._digest = text, delta.digest
        self.version, self._position = delta.version, delta.position
        self.edits.extend(delta.edits)

    def to_offer(self) -> TextOffered:
        """Return the text after all applied deltas, with their edits."""
        return TextOffered(
            self.version,
            self._text,
            self._base_version,
            tuple(self.edits),
            position=self._position,
        )
