"""The systems by which peers ask each other for newer rules."""

from papayapost.distribution.change_history import ChangeHistory
from papayapost.distribution.direct import DirectWatchRow, PeerRulesVersionSeen
from papayapost.distribution.messages import (
    RequestDue,
    RulesInForce,
    TextOffered,
)
from papayapost.distribution.peer_messages import RulesBusy, RulesShared, RulesWanted
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.ids import Micros, NodeId, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["AnswerWaitingPeers", "RulesAnswers", "ShareRules"]

_REQUEST_DELAY_US = 150_000
"""Time for a version that a peer shows to arrive from a relay or the store."""

_FAR_REQUEST_DELAY_US = 1_500_000
"""The same for a peer in another region, which only those ask who read the
rules for others: the link between regions must not carry them for each."""

_REQUEST_INTERVAL_US = 400_000
_FIRST_REQUEST_INTERVAL_US = 600_000
"""Shortest time between two requests for the rules to peers.

Several heartbeats show a new version before the answer to the first request
can arrive. A node without rules is sent the whole text, which takes longer.
"""

_MAX_WAITING = 64
"""Number of nodes that are remembered while this node has no rules itself."""

_MAX_TEXT_BACKLOG_US = 400_000
_TEXT_COMPRESSION = 3
_DEFAULT_LINK_MBPS = 100.0
"""Whole texts are sent for at most this time ahead of a node's link, with what
they compress to at least, and the rate of a link that the settings lack. Host
names, which the lines repeat, are left out of the text for that."""


class RulesAnswers:
    """Answers peers that want newer rules, as this node's link allows."""

    def __init__(
        self,
        me: SelfRow,
        rules: RulesTable,
        contact: DirectWatchRow,
        history: ChangeHistory,
    ):
        self._me = me
        self._rules = rules
        self._contact = contact
        self._history = history
        self._text_free_us = 0
        self._counted: tuple[RuleVersion, int] = (RuleVersion(0), 0)
        self._waiting: dict[NodeId, RulesWanted] = {}

    def take_waiting(self) -> list[RulesWanted]:
        """Return the requests that waited for rules, and forget them."""
        waiting, self._waiting = self._waiting, {}
        return list(waiting.values())

    def answer(self, tick: Tick, wanted: RulesWanted) -> None:
        """Send a delta, the whole text or word that this node is busy.

        A node without rules remembers the request until it has some.
        """
        held = self._rules.held
        if held is None and len(self._waiting) < _MAX_WAITING:
            self._waiting[wanted.sender] = wanted
        if held is None or held.version <= wanted.known_version:
            return
        sender = self._me.node_id
        delta = self._history.delta_from(
            sender, wanted.held_version, wanted.held_digest, held
        )
        if delta is not None:
            tick.emit(PeerSend(wanted.reply_to, delta))
        else:
            tick.emit(PeerSend(wanted.reply_to, self._text_or_busy(tick, held)))

    def _text_or_busy(self, tick: Tick, held: VersionRow) -> RulesShared | RulesBusy:
        """Return the whole text if this node's link has room for it.

        Whoever gets none asks again after the time that it is told, or another
        peer that has received the text by then.
        """
        sender, text = self._me.node_id, held.rules.text
        rate_mbps = self._contact.link_mbps or _DEFAULT_LINK_MBPS
        self._text_free_us = max(self._text_free_us, tick.now_us)
        backlog_us = self._text_free_us - tick.now_us
        if backlog_us > _MAX_TEXT_BACKLOG_US:
            return RulesBusy(sender, Micros(backlog_us))
        sent_bytes = self._distinct_characters(held) // _TEXT_COMPRESSION
        self._text_free_us += int(sent_bytes * 8 / rate_mbps)
        return RulesShared(sender, held.version, text, held.position)

    def _distinct_characters(self, held: VersionRow) -> int:
        """Return the length of the text without repeated host names."""
        version, count = self._counted
        if version != held.version:
            hosts = [route.host for route in held.rules.routes]
            repeated = sum(map(len, hosts)) - sum(map(len, set(hosts)))
            count = len(held.rules.text) - repeated
            self._counted = (held.version, count)
        return count


class AnswerWaitingPeers(System):
    """Answers those who asked this node before it had rules itself."""

    consumes = (RulesInForce,)

    def __init__(self, answers: RulesAnswers):
        self._answers = answers

    def run(self, tick: Tick) -> None:
        """Send them the rules that are in force now."""
        for wanted in self._answers.take_waiting():
            self._answers.answer(tick, wanted)


class ShareRules(System):
    """Requests newer rules from peers, and answers such requests of peers.

    A node that holds rules leaves a version that a peer shows some time to
    arrive by itself. Otherwise each change would cause needless requests,
    because heartbeats of all peers show it within the time of its delivery.
    """

    consumes = (
        PeerRulesVersionSeen,
        RequestDue,
        RulesBusy,
        RulesShared,
        RulesWanted,
    )

    def __init__(
        self,
        me: SelfRow,
        rules: RulesTable,
        contact: DirectWatchRow,
        answers: RulesAnswers,
    ):
        self._me = me
        self._rules = rules
        self._contact = contact
        self._answers = answers
        self._awaited: PeerRulesVersionSeen | None = None
        self._busy_until_us: dict[NodeId, int] = {}
        self._asked: PeerRulesVersionSeen | None = None
        self._requested_us: Micros | None = None

    def run(self, tick: Tick) -> None:
        """Offer received rules, answer requests and send one if needed."""
        for busy in tick.take(RulesBusy):
            self._requested_us = None
            self._busy_until_us[busy.sender] = tick.now_us + busy.retry_after_us
            if self._rules.held is None and self._awaited is None:
                self._awaited = self._asked
                due_us = Micros(tick.now_us + busy.retry_after_us)
                tick.set_timer(RequestDue, due_us, RequestDue())
        for shared in tick.take(RulesShared):
            self._requested_us = None
            self._busy_until_us.clear()
            if shared.version > self._rules.held_version:
                version, text, position = shared.version, shared.text, shared.position
                tick.post(TextOffered(version, text, position=position))
        for wanted in tick.take(RulesWanted):
            self._answers.answer(tick, wanted)
        for seen in tick.take(PeerRulesVersionSeen):
            self._await(tick, seen)
        if tick.take(RequestDue) and self._awaited is not None:
            awaited, self._awaited = self._awaited, None
            self._request(tick, awaited)

    def _await(self, tick: Tick, seen: PeerRulesVersionSeen) -> None:
        contact, is_near = self._contact, seen.is_same_region
        if not is_near and not contact.is_announcing:
            return
        if self._rules.held is None and is_near:
            self._request(tick, seen)
        elif self._is_missing(seen) and (
            self._awaited is None or (is_near and not self._awaited.is_same_region)
        ):
            self._awaited = seen
            is_soon = is_near or contact.is_relay
            delay_us = _REQUEST_DELAY_US if is_soon else _FAR_REQUEST_DELAY_US
            due_us = Micros(tick.now_us + delay_us)
            tick.set_timer(RequestDue, due_us, RequestDue())

    def _is_missing(self, seen: PeerRulesVersionSeen) -> bool:
        rules = self._rules
        return seen.version > max(rules.held_version, rules.newest_seen_version)

    def _request(self, tick: Tick, seen: PeerRulesVersionSeen) -> None:
        requested_us = self._requested_us
        is_first = self._rules.held is None
        interval_us = _FIRST_REQUEST_INTERVAL_US if is_first else _REQUEST_INTERVAL_US
        is_request_recent = (
            requested_us is not None and tick.now_us - requested_us < interval_us
        )
        is_busy = tick.now_us < self._busy_until_us.get(seen.node_id, 0)
        if self._is_missing(seen) and not is_request_recent and not is_busy:
            self._requested_us, self._asked = tick.now_us, seen
            me, rules = self._me, self._rules
            wanted = RulesWanted(
                me.node_id,
                me.peer_address,
                max(rules.held_version, rules.newest_seen_version),
                rules.held_version,
                rules.held_digest,
            )
            tick.emit(PeerSend(seen.address, wanted))
