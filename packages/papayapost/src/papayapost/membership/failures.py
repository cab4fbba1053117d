"""Confirms suspected failures by probes from several members."""

from dataclasses import replace

from papayapost.define import define
from papayapost.ids import Address, Micros, NodeId
from papayapost.kernel import System, Table, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import MemberSuspected, RowsReceived
from papayapost.membership.peer_messages import (
    Contact,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    ProbeResult,
)
from papayapost.membership.progress_rows import SuspectRow
from papayapost.membership.tables import TreeTables
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState

__all__ = ["AnswerProbes", "ConfirmFailures"]

_CONFIRM_TIMEOUT_US = 2_500_000
_INDIRECT_PROBE_TIMEOUT_US = 1_500_000
_PROBE_HELPERS = 3
_MAX_SUSPECTS = 32
_MAX_INDIRECT_PROBES = 64


@define
class ConfirmDue:
    """Timer: decide from the probe results whether a suspect is dead."""

    node_id: NodeId


@define
class IndirectProbeExpired:
    """Timer: an indirect probe has timed out without an answer."""

    target: NodeId
    on_behalf_of: NodeId


@define
class IndirectProbeRow:
    """An outstanding probe that this node sent on behalf of a member."""

    reply_to: Address


class ConfirmFailures(System):
    """Probes a suspect directly and through helpers, and decides its state.

    Helpers are other members of the data centre that probe the suspect on
    behalf of this node. A member is declared dead if most of the helpers
    answered, nobody reached it, and the dead and suspected members are not
    a majority of the data centre. Otherwise this node may itself be
    partitioned from the others, and it keeps the member's row. If no helper
    can be found, this node's own probe decides.
    """

    consumes = (ConfirmDue, MemberSuspected, ProbeAnswer, ProbeResult)

    def __init__(self, members: Members, tree: TreeTables):
        self._me = members.me
        self._members = members
        self._suspects = tree.suspects

    def run(self, tick: Tick) -> None:
        """Process probe answers first, then decide on the suspects."""
        for answer in tick.take(ProbeAnswer):
            if answer.on_behalf_of == self._me.node_id:
                self._clear_suspicion(tick, answer.row.node_id, answer)
        for result in tick.take(ProbeResult):
            self._handle_result(tick, result)
        for suspected in tick.take(MemberSuspected):
            self._suspect(tick, suspected.node_id)
        for due in tick.take(ConfirmDue):
            self._decide(tick, due.node_id)

    def _suspect(self, tick: Tick, node_id: NodeId) -> None:
        me, row = self._me, self._members.directory.get(node_id)
        if row is None or node_id == me.node_id or node_id in self._suspects:
            return
        # A node is suspected only within its own data centre: from another
        # one, its failure looks the same as a partition between the two.
        is_same_data_centre = row.data_centre == me.place.data_centre
        if not is_same_data_centre or len(self._suspects) >= _MAX_SUSPECTS:
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
        due_us = Micros(tick.now_us + _CONFIRM_TIMEOUT_US)
        tick.set_timer(("confirm", node_id), due_us, ConfirmDue(node_id))

    def _helpers(self, tick: Tick, node_id: NodeId) -> list[NodeId]:
        data_centre = self._me.place.data_centre
        count = _PROBE_HELPERS + 2 + len(self._suspects)
        sample = self._members.ranking.sample(data_centre, count, tick.random)
        excluded = (node_id, self._me.node_id)
        eligible = [n for n in sample if n not in excluded and n not in self._suspects]
        return eligible[:_PROBE_HELPERS]

    def _handle_result(self, tick: Tick, result: ProbeResult) -> None:
        suspect = self._suspects.get(result.target)
        if suspect is None:
            return
        suspect.answered += 1
        if result.row is None:
            suspect.unreachable += 1
        elif result.row.node_id == result.target:
            self._clear_suspicion(tick, result.target, result)

    def _clear_suspicion(
        self, tick: Tick, node_id: NodeId, answer: ProbeAnswer | ProbeResult
    ) -> None:
        self._suspects.pop(node_id)
        tick.cancel_timer(("confirm", node_id))
        if answer.row is not None:
            tick.post(RowsReceived(answer.sender, None, (answer.row,)))

    def _decide(self, tick: Tick, node_id: NodeId) -> None:
        suspect = self._suspects.get(node_id)
        row = self._members.directory.get(node_id)
        if suspect is None or row is None or row.stamp != suspect.stamp:
            self._suspects.pop(node_id)
            return
        is_dead = self._is_confirmed(suspect) and not self._may_be_partitioned(tick)
        self._suspects.pop(node_id)
        if not is_dead:
            tick.emit(Noted(Event.FAILURES_DOUBTED, peer=node_id))
            return
        gone = replace(row, state=BackendServerState.GONE)
        tick.emit(Noted(Event.MEMBER_DIED, peer=node_id))
        tick.post(RowsReceived(None, None, (gone,)))

    def _is_confirmed(self, suspect: SuspectRow) -> bool:
        return suspect.answered * 2 > suspect.helper_count or suspect.helper_count == 0

    def _may_be_partitioned(self, tick: Tick) -> bool:
        """Return whether gone and suspected members would be a majority.

        In that case it is more likely that this node is partitioned.
        """
        live = self._members.directory.count("data_centre", self._me.place.data_centre)
        dead = self._members.recent_deaths(tick.now_us)
        return 2 * (dead + len(self._suspects)) > live + dead


class AnswerProbes(System):
    """Answers probes, and probes members on behalf of other members."""

    consumes = (IndirectProbeExpired, Probe, ProbeAnswer, ProbeRequest)

    def __init__(self, members: Members):
        self._me = members.me
        self._members = members
        self._indirect_probes: Table[tuple[NodeId, NodeId], IndirectProbeRow] = Table(
            "indirect probes"
        )

    def run(self, tick: Tick) -> None:
        """Answer probes, send indirect probes and report their results."""
        for probe in tick.take(Probe):
            answer = ProbeAnswer(
                self._me.node_id, probe.on_behalf_of, self._members.own
            )
            tick.emit(PeerSend(probe.reply_to, answer))
        for request in tick.take(ProbeRequest):
            self._start_indirect_probe(tick, request)
        for answer in tick.take(ProbeAnswer):
            self._finish_indirect_probe(tick, answer)
        for expired in tick.take(IndirectProbeExpired):
            self._report(tick, expired.target, expired.on_behalf_of, None)

    def _start_indirect_probe(self, tick: Tick, request: ProbeRequest) -> None:
        target, key = request.target, (request.target.node_id, request.sender)
        if (
            len(self._indirect_probes) >= _MAX_INDIRECT_PROBES
            or target.node_id == self._me.node_id
        ):
            return
        self._indirect_probes.put(key, IndirectProbeRow(request.reply_to))
        probe = Probe(self._me.node_id, self._me.peer_address, request.sender)
        tick.emit(PeerSend(target.address, probe))
        due_us = Micros(tick.now_us + _INDIRECT_PROBE_TIMEOUT_US)
        tick.set_timer(("indirect probe", *key), due_us, IndirectProbeExpired(*key))

    def _finish_indirect_probe(self, tick: Tick, answer: ProbeAnswer) -> None:
        key = (answer.row.node_id, answer.on_behalf_of)
        tick.cancel_timer(("indirect probe", *key))
        self._report(tick, *key, answer)

    def _report(
        self,
        tick: Tick,
        target: NodeId,
        on_behalf_of: NodeId,
        answer: ProbeAnswer | None,
    ) -> None:
        indirect_probe = self._indirect_probes.pop((target, on_behalf_of))
        if indirect_probe is not None:
            row = answer.row if answer else None
            result = ProbeResult(self._me.node_id, target, row)
            tick.emit(PeerSend(indirect_probe.reply_to, result))
