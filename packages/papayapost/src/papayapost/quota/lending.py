"""The system of a lender: grants tokens, and shares them with other regions.

Load patterns that it answers: an account far over its quota, whose calls must
be refused at once and not return together; an account within its quota whose
calls come at random, unevenly from the regions, or move from one to another.
"""

from papayapost.define import define
from papayapost.distribution import RulesInForce, RulesTable
from papayapost.ids import (
    AccountName,
    Address,
    CallId,
    Micros,
    QuotaPartition,
)
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.quota.leasing import LeaseLost
from papayapost.quota.lenders import Lenders
from papayapost.quota.messages import (
    NotLender,
    TokenDenied,
    TokenGranted,
    TokenReturned,
    TokensSent,
    TokensWanted,
    TokenWanted,
    WaitingDue,
)
from papayapost.quota.tables import (
    MAX_RETURN_AGE_US,
    BucketRow,
    Entrant,
    LeaseRow,
    QuotaTables,
    WaitingCall,
    partition_of_account,
)
from papayapost.rules import Account

__all__ = ["LendTokens"]

_MAX_TRANSFER_US = 250_000
"""Time from the request after which tokens of another region are dropped. The
bound on the tokens used in a window contains it, too."""

_MAX_WAIT_US = 100_000
"""Longest wait of a call at its lender. An entry node of the same region waits
150 ms for the answer."""

_ACCRUAL_WAIT_S = 0.04
"""Longest wait for the bucket's own tokens. Calls within the quota that come
at random need it; a longer queue would only delay the calls of an account that
is over its quota."""

_AHEAD_S = 0.15
"""Time for which a bucket should have tokens. One transfer from another region
takes 60 to 100 ms."""

_ORDER_S = 0.25
"""Time for which one transfer should suffice."""

_SELF_RESERVE_S = 0.1
"""Time for which a lender keeps tokens for its own region in a transfer."""

_ASK_INTERVAL_US = 50_000
_ASK_PAUSE_US = 250_000
"""Least time between two requests to other regions, and pause after one that
brought nothing."""

_MAX_HINT_AGE_US = 2_500_000
"""Time without a renewal after which a holder is not named to others."""

_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 5_000
_RETRY_SPREAD = 0.2
_NOTE_INTERVAL_US = 10_000_000


@define
class _Answers:
    """What this tick answers to one entry node about one partition."""

    granted: list[CallId]
    denied: list[tuple[CallId, int]]


class LendTokens(System):
    """Grants and denies tokens while this node's lease is valid.

    A call waits a moment if tokens of its own region or of another one are
    about to come. All answers of a tick to one entry node share a message.
    """

    consumes = (
        LeaseLost,
        NotLender,
        RulesInForce,
        TokenReturned,
        TokenWanted,
        TokensSent,
        TokensWanted,
        WaitingDue,
    )

    def __init__(
        self, me: SelfRow, rules: RulesTable, tables: QuotaTables, lenders: Lenders
    ):
        self._me = me
        self._rules = rules
        self._tables = tables
        self._lenders = lenders
        self._answers: dict[tuple[Entrant, QuotaPartition], _Answers] = {}
        self._queues: dict[AccountName, BucketRow] = {}

    def run(self, tick: Tick) -> None:
        """Apply new quotas, then credit tokens, then serve the calls."""
        for lost in tick.take(LeaseLost):
            self._drop(tick, lost.partition)
        if tick.take(RulesInForce):
            self._apply_rules(tick)
        for returned in tick.take(TokenReturned):
            self._take_back(tick, returned)
        for sent in tick.take(TokensSent):
            self._receive(tick, sent)
        for refusal in tick.take(NotLender):
            self._end_request(tick, refusal)
        for wanted in tick.take(TokenWanted):
            self._serve_entrant(tick, wanted)
        for asked in tick.take(TokensWanted):
            self._share(tick, asked)
        if self._queues:
            self._serve_queues(tick)
        if self._answers:
            self._send_answers(tick)

    def _apply_rules(self, tick: Tick) -> None:
        """Let a lower or higher quota count from now on."""
        for row in list(self._tables.buckets):
            account = self._account(row.account)
            if account is None:
                self._tables.buckets.pop(row.account)
                self._queues.pop(row.account, None)
                for call in row.waiting:
                    self._grant(call.entrant, row.partition, call.call_id)
            elif (account.rate_per_s, account.burst) != (row.rate_per_s, row.burst):
                row.set_quota(account, tick.now_us)

    def _account(self, name: AccountName) -> Account | None:
        """Return an account if the rules in force limit its calls."""
        in_force = self._rules.in_force
        account = None if in_force is None else in_force.rules.access.account(name)
        return account if account is not None and account.has_quota else None

    def _bucket(self, lease: LeaseRow, name: AccountName) -> BucketRow | None:
        """Return the bucket of an account, or None if it has no quota.

        A new bucket is empty until tokens of a former lender are too old.
        """
        row = self._tables.buckets.get(name)
        if row is None:
            account = self._account(name)
            if account is None:
                return None
            row = BucketRow(
                name,
                lease.partition,
                account.rate_per_s,
                account.burst,
                self._tables.share,
                0.0,
                lease.fill_from_us,
            )
            self._tables.buckets.put(name, row)
        return row

    def _serve_entrant(self, tick: Tick, wanted: TokenWanted) -> None:
        entrant = Entrant(wanted.sender, wanted.reply_to, wanted.incarnation)
        lease = self._tables.valid_lease(wanted.partition, tick.now_us)
        if lease is None:
            call_ids = tuple(call_id for call_id, _ in wanted.calls)
            self._refuse_partition(tick, entrant, wanted.partition, call_ids)
            return
        for call_id, name in wanted.calls:
            row = self._bucket(lease, name)
            if row is None:
                # The rules of the entry node hold a quota that those of this
                # node do not hold yet, or no longer.
                self._grant(entrant, lease.partition, call_id)
            else:
                self._serve(tick, row, entrant, call_id)

    def _refuse_partition(
        self,
        tick: Tick,
        entrant: Entrant,
        partition: QuotaPartition,
        call_ids: tuple[CallId, ...],
    ) -> None:
        own_id, holder = self._me.node_id, None
        lease = self._tables.leases.get(partition)
        if lease is not None and tick.now_us - lease.seen_us < _MAX_HINT_AGE_US:
            holder = None if lease.holder == own_id else lease.holder
        refusal = NotLender(own_id, entrant.incarnation, partition, holder, call_ids)
        self._send(tick, entrant.address, refusal)

    def _serve(
        self, tick: Tick, row: BucketRow, entrant: Entrant, call_id: CallId
    ) -> None:
        """Grant a token, or let the call wait if one is about to come."""
        row.refill(tick.now_us)
        row.record_demand(tick.now_us)
        if row.tokens >= 1 and not row.waiting:
            row.spend(1, tick.now_us)
            self._grant(entrant, row.partition, call_id)
            self._order_ahead(tick, row)
            return
        self._order(tick, row)
        if self._may_wait(row):
            due_us = Micros(tick.now_us + _MAX_WAIT_US)
            row.waiting.append(WaitingCall(entrant, call_id, due_us))
            self._queues[row.account] = row
        else:
            self._deny(tick, row, entrant, call_id)

    def _may_wait(self, row: BucketRow) -> bool:
        missing = len(row.waiting) + 1 - row.tokens
        if row.asked_us is not None and missing <= row.asked_count:
            return True
        return missing <= row.own_rate_per_s * _ACCRUAL_WAIT_S

    def _grant(
        self, entrant: Entrant, partition: QuotaPartition, call_id: CallId
    ) -> None:
        self._tables.counters.lent += 1
        self._answers_to(entrant, partition).granted.append(call_id)

    def _deny(
        self, tick: Tick, row: BucketRow, entrant: Entrant, call_id: CallId
    ) -> None:
        """Deny a token, and say when all denied so far would have had one."""
        now_us = tick.now_us
        self._tables.counters.refused += 1
        token_us = 1e6 / row.rate_per_s
        start_us = max(row.refused_until_us, now_us)
        latest_us = now_us + _MAX_RETRY_AFTER_MS * 1000
        row.refused_until_us = Micros(int(min(start_us + token_us, latest_us)))
        after_ms = (row.refused_until_us - now_us) / 1000
        after_ms *= 1 + _RETRY_SPREAD * tick.random.random()
        retry_after_ms = max(_MIN_RETRY_AFTER_MS, int(after_ms))
        denied = self._answers_to(entrant, row.partition).denied
        denied.append((call_id, retry_after_ms))
        noted_us = row.noted_us
        if noted_us is None or now_us - noted_us >= _NOTE_INTERVAL_US:
            row.noted_us = now_us
            detail = f"{row.account}: {row.rate_per_s:g} per s"
            tick.emit(Noted(Event.QUOTA_REACHED, detail=detail))

    def _answers_to(self, entrant: Entrant, partition: QuotaPartition) -> _Answers:
        answers = self._answers.get((entrant, partition))
        if answers is None:
            answers = self._answers[entrant, partition] = _Answers([], [])
        return answers

    def _send_answers(self, tick: Tick) -> None:
        own_id = self._me.node_id
        for (entrant, partition), answers in self._answers.items():
            lease = self._tables.leases.require(partition)
            if answers.granted:
                granted = TokenGranted(
                    own_id,
                    entrant.incarnation,
                    partition,
                    lease.term,
                    tick.now_us,
                    tuple(answers.granted),
                )
                self._send(tick, entrant.address, granted)
            if answers.denied:
                denials = tuple(answers.denied)
                denied = TokenDenied(own_id, entrant.incarnation, partition, denials)
                self._send(tick, entrant.address, denied)
        self._answers = {}

    def _send(self, tick: Tick, address: Address, message: object) -> None:
        """Send a message, or post it here if it is for this node."""
        if address == self._me.peer_address:
            tick.post(message)
        else:
            tick.emit(PeerSend(address, message))

    def _serve_queues(self, tick: Tick) -> None:
        next_us: float | None = None
        for row in list(self._queues.values()):
            self._serve_queue(tick, row)
            if not row.waiting:
                del self._queues[row.account]
                continue
            token_us = (1 - row.tokens) / row.own_rate_per_s * 1e6
            due_us = min(row.waiting[0].due_us, tick.now_us + token_us + 1)
            next_us = due_us if next_us is None else min(next_us, due_us)
        if next_us is None:
            tick.cancel_timer("quota queues")
        else:
            tick.set_timer("quota queues", Micros(int(next_us)), WaitingDue())

    def _serve_queue(self, tick: Tick, row: BucketRow) -> None:
        """Grant the tokens there are, and deny calls that waited enough."""
        if self._tables.valid_lease(row.partition, tick.now_us) is None:
            self._deny_queue(tick, row)
            return
        row.refill(tick.now_us)
        while row.waiting and row.tokens >= 1:
            row.spend(1, tick.now_us)
            call = row.waiting.popleft()
            self._grant(call.entrant, row.partition, call.call_id)
        while row.waiting and row.waiting[0].due_us <= tick.now_us:
            call = row.waiting.popleft()
            self._deny(tick, row, call.entrant, call.call_id)

    def _deny_queue(self, tick: Tick, row: BucketRow) -> None:
        """Tell waiting calls that this node does not lend any more."""
        while row.waiting:
            call = row.waiting.popleft()
            call_ids = (call.call_id,)
            self._refuse_partition(tick, call.entrant, row.partition, call_ids)

    def _drop(self, tick: Tick, partition: QuotaPartition) -> None:
        """Forget the buckets of a partition whose lease is lost."""
        for row in self._tables.drop_buckets(partition):
            self._queues.pop(row.account, None)
            self._deny_queue(tick, row)

    def _take_back(self, tick: Tick, returned: TokenReturned) -> None:
        lease = self._tables.valid_lease(returned.partition, tick.now_us)
        age_us = tick.now_us - returned.granted_us
        if lease is None or lease.term != returned.term:
            return
        if not 0 <= age_us <= MAX_RETURN_AGE_US:
            return
        for name in returned.accounts:
            row = self._tables.buckets.get(name)
            if row is not None and row.partition == returned.partition:
                row.refill(tick.now_us)
                row.take_back(returned.granted_us)

    def _order_ahead(self, tick: Tick, row: BucketRow) -> None:
        """Ask another region before the bucket is empty."""
        demand_per_s = row.demand_at(tick.now_us)
        if demand_per_s <= row.own_rate_per_s:
            return
        if row.tokens < (demand_per_s - row.own_rate_per_s) * _AHEAD_S:
            self._order(tick, row)

    def _order(self, tick: Tick, row: BucketRow) -> None:
        """Ask the lender of another region for tokens, if it may have some."""
        now_us = tick.now_us
        asked_us = row.asked_us
        if asked_us is not None and now_us - asked_us > _MAX_TRANSFER_US:
            if row.lender is not None:
                self._lenders.record_silence(row.lender, row.partition, now_us)
            row.asked_us = None
            row.next_ask_us = Micros(now_us + _ASK_PAUSE_US)
        if row.asked_us is not None or now_us < row.next_ask_us:
            return
        node = self._lenders.choose_abroad(row.partition, now_us)
        if node is None:
            row.next_ask_us = Micros(now_us + _ASK_PAUSE_US)
            return
        wanted = len(row.waiting) + 1 + row.demand_at(now_us) * _ORDER_S
        row.asked_us, row.lender = now_us, node.node_id
        row.asked_count = max(1.0, min(wanted, row.cap) - row.tokens)
        row.next_ask_us = Micros(now_us + _ASK_INTERVAL_US)
        me = self._me
        request = TokensWanted(
            me.node_id,
            me.peer_address,
            me.incarnation,
            row.account,
            row.asked_count,
            now_us,
        )
        self._send(tick, node.peer_address, request)

    def _share(self, tick: Tick, asked: TokensWanted) -> None:
        """Send up to half of the tokens that this region can spare."""
        partition = partition_of_account(asked.account)
        lease = self._tables.valid_lease(partition, tick.now_us)
        if lease is None:
            entrant = Entrant(asked.sender, asked.reply_to, asked.incarnation)
            self._refuse_partition(tick, entrant, partition, ())
            return
        row = self._bucket(lease, asked.account)
        count = 0.0
        if row is not None:
            row.refill(tick.now_us)
            reserve = row.demand_at(tick.now_us) * _SELF_RESERVE_S + len(row.waiting)
            count = max(0.0, min(asked.count, (row.tokens - reserve) / 2))
            row.spend(count, tick.now_us)
        self._tables.counters.sent += count
        sent = TokensSent(
            self._me.node_id, asked.incarnation, asked.account, count, asked.asked_us
        )
        self._send(tick, asked.reply_to, sent)

    def _receive(self, tick: Tick, sent: TokensSent) -> None:
        """Add tokens of another region, unless they took too long."""
        row = self._tables.buckets.get(sent.account)
        if row is None or row.asked_us is None or row.asked_us != sent.asked_us:
            return
        if sent.incarnation != self._me.incarnation:
            return
        row.asked_us = None
        self._lenders.record_answer(sent.sender, row.partition)
        age_us = tick.now_us - sent.asked_us
        if age_us <= _MAX_TRANSFER_US and sent.count > 0:
            row.refill(tick.now_us)
            row.receive(sent.count, tick.now_us)
            self._tables.counters.received += sent.count
        if sent.count < 1:
            row.next_ask_us = Micros(tick.now_us + _ASK_PAUSE_US)
            self._serve_queue(tick, row)
            while row.waiting and not self._may_wait_last(row):
                call = row.waiting.pop()
                self._deny(tick, row, call.entrant, call.call_id)

    def _may_wait_last(self, row: BucketRow) -> bool:
        """Return whether the bucket soon has a token for the last call."""
        missing = len(row.waiting) - row.tokens
        return missing <= row.own_rate_per_s * _ACCRUAL_WAIT_S

    def _end_request(self, tick: Tick, refusal: NotLender) -> None:
        """Forget requests to a node that turned out not to lend."""
        if refusal.call_ids or refusal.incarnation != self._me.incarnation:
            return
        for row in self._tables.buckets.find("partition", refusal.partition):
            if row.asked_us is not None and row.lender == refusal.sender:
                row.asked_us = None
                row.next_ask_us = Micros(tick.now_us + _ASK_INTERVAL_US)
