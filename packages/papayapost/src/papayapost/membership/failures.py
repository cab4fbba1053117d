"""Confirms suspected failures through other members before concluding them."""

from dataclasses import dataclass, replace

from papayapost.ids import Address, Micros, NodeId
from papayapost.kernel import System, Table, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import MemberSuspected, RowsArrived
from papayapost.membership.peer_messages import (
    Contact,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    ProbeResult,
)
from papayapost.membership.tables import TreeTables
from papayapost.membership.upkeep import SuspectRow
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState

__all__ = ["AnswerProbes", "ConfirmFailures"]

_CONFIRM_US = 2_500_000
_ERRAND_US = 1_500_000
_HELPERS = 3
_MAX_SUSPECTS = 32
_MAX_ERRANDS = 64


@dataclass(slots=True)
class ConfirmDue:
    """Timer: judge what the probes of a suspect showed."""

    node_id: NodeId


@dataclass(slots=True)
class ErrandExpired:
    """Timer: a target probed for another member has not answered."""

    target: NodeId
    on_behalf_of: NodeId


@dataclass(slots=True)
class ErrandRow:
    """A probe that is under way for another member."""

    reply_to: Address


class ConfirmFailures(System):
    """Probes a suspect, directly and through helpers, and judges.

    A member is taken to be dead only if most of the helpers answered, none
    of them reached it, and no majority of the data centre died with it.
    Else it may be this node that is cut off, and it keeps what it knows.
    """

    consumes = (ConfirmDue, MemberSuspected, ProbeAnswer, ProbeResult)

    def __init__(self, members: Members, tree: TreeTables):
        self._me = members.me
        self._members = members
        self._suspects = tree.suspects

    def run(self, tick: Tick) -> None:
        """Take answers before suspects are judged."""
        for answer in tick.take(ProbeAnswer):
            if answer.on_behalf_of == self._me.node_id:
                self._clear(tick, answer.row.node_id, answer)
        for result in tick.take(ProbeResult):
            self._see_result(tick, result)
        for suspected in tick.take(MemberSuspected):
            self._suspect(tick, suspected.node_id)
        for due in tick.take(ConfirmDue):
            self._judge(tick, due.node_id)

    def _suspect(self, tick: Tick, node_id: NodeId) -> None:
        me, row = self._me, self._members.directory.get(node_id)
        if row is None or node_id == me.node_id or node_id in self._suspects:
            return
        # Only members of its own data centre may judge a node: from outside,
        # a cut between data centres looks the same.
        is_near = row.data_centre == me.place.data_centre
        if not is_near or len(self._suspects) >= _MAX_SUSPECTS:
            return
        helpers = self._helpers(tick, node_id)
        self._suspects.put(node_id, SuspectRow(node_id, row.stamp, len(helpers)))
        tick.emit(Noted(Event.MEMBER_SUSPECTED, peer=node_id))
        probe = Probe(me.node_id, me.peer_address, me.node_id)
        tick.emit(PeerSend(row.peer_address, probe))
        target = Contact(node_id, row.peer_address)
        for helper in helpers:
            request = ProbeRequest(me.node_id, me.peer_address, target)
            address = self._members.directory.require(helper).peer_address
            tick.emit(PeerSend(address, request))
        due_us = Micros(tick.now_us + _CONFIRM_US)
        tick.set_timer(("confirm", node_id), due_us, ConfirmDue(node_id))

    def _helpers(self, tick: Tick, node_id: NodeId) -> list[NodeId]:
        data_centre = self._me.place.data_centre
        count = _HELPERS + 2 + len(self._suspects)
        sample = self._members.ranking.sample(data_centre, count, tick.random)
        unfit = (node_id, self._me.node_id)
        fit = [n for n in sample if n not in unfit and n not in self._suspects]
        return fit[:_HELPERS]

    def _see_result(self, tick: Tick, result: ProbeResult) -> None:
        suspect = self._suspects.get(result.target)
        if suspect is None:
            return
        suspect.answered += 1
        if result.row is None:
            suspect.denied += 1
        elif result.row.node_id == result.target:
            self._clear(tick, result.target, result)

    def _clear(
        self, tick: Tick, node_id: NodeId, answer: ProbeAnswer | ProbeResult
    ) -> None:
        self._suspects.pop(node_id)
        tick.cancel_timer(("confirm", node_id))
        if answer.row is not None:
            tick.post(RowsArrived(answer.sender, None, (answer.row,)))

    def _judge(self, tick: Tick, node_id: NodeId) -> None:
        suspect = self._suspects.get(node_id)
        row = self._members.directory.get(node_id)
        if suspect is None or row is None or row.stamp != suspect.stamp:
            self._suspects.pop(node_id)
            return
        is_sure = self._is_confirmed(suspect) and not self._is_cut_off(tick)
        self._suspects.pop(node_id)
        if not is_sure:
            tick.emit(Noted(Event.FAILURES_DOUBTED, peer=node_id))
            return
        gone = replace(row, state=BackendServerState.GONE)
        tick.emit(Noted(Event.MEMBER_DIED, peer=node_id))
        tick.post(RowsArrived(None, None, (gone,)))

    def _is_confirmed(self, suspect: SuspectRow) -> bool:
        return suspect.answered * 2 > suspect.asked or suspect.asked == 0

    def _is_cut_off(self, tick: Tick) -> bool:
        """Return whether a majority would be dead, this one included."""
        live = self._members.directory.count("data_centre", self._me.place.data_centre)
        dead = self._members.recent_deaths(tick.now_us)
        return 2 * (dead + len(self._suspects)) > live + dead


class AnswerProbes(System):
    """Answers probes, and probes members on behalf of others."""

    consumes = (ErrandExpired, Probe, ProbeAnswer, ProbeRequest)

    def __init__(self, members: Members):
        self._me = members.me
        self._members = members
        self._errands: Table[tuple[NodeId, NodeId], ErrandRow] = Table("errands")

    def run(self, tick: Tick) -> None:
        """Answer what was asked."""
        for probe in tick.take(Probe):
            answer = ProbeAnswer(
                self._me.node_id, probe.on_behalf_of, self._members.own
            )
            tick.emit(PeerSend(probe.reply_to, answer))
        for request in tick.take(ProbeRequest):
            self._run_errand(tick, request)
        for answer in tick.take(ProbeAnswer):
            self._end_errand(tick, answer)
        for expired in tick.take(ErrandExpired):
            self._report(tick, expired.target, expired.on_behalf_of, None)

    def _run_errand(self, tick: Tick, request: ProbeRequest) -> None:
        target, key = request.target, (request.target.node_id, request.sender)
        if len(self._errands) >= _MAX_ERRANDS or target.node_id == self._me.node_id:
            return
        self._errands.put(key, ErrandRow(request.reply_to))
        probe = Probe(self._me.node_id, self._me.peer_address, request.sender)
        tick.emit(PeerSend(target.address, probe))
        due_us = Micros(tick.now_us + _ERRAND_US)
        tick.set_timer(("errand", *key), due_us, ErrandExpired(*key))

    def _end_errand(self, tick: Tick, answer: ProbeAnswer) -> None:
        key = (answer.row.node_id, answer.on_behalf_of)
        tick.cancel_timer(("errand", *key))
        self._report(tick, *key, answer)

    def _report(
        self,
        tick: Tick,
        target: NodeId,
        on_behalf_of: NodeId,
        answer: ProbeAnswer | None,
    ) -> None:
        errand = self._errands.pop((target, on_behalf_of))
        if errand is not None:
            row = answer.row if answer else None
            result = ProbeResult(self._me.node_id, target, row)
            tick.emit(PeerSend(errand.reply_to, result))
