"""Client of the ledger at the agent that wants to run a request.

The client asks the replicas of an idempotency key for their votes and grants
the key when it has a majority in every replica set that may have granted it
before. A key that was granted once is never granted again.
"""

from __future__ import annotations

import enum

import attrs

from .history import MembershipHistory
from .keys import CLOCK_SKEW_MAX
from .keys import count_majority
from .keys import read_issue_time
from .ledger_messages import AgentIncarnation
from .ledger_messages import HistoryRequest
from .ledger_messages import HistoryResponse
from .ledger_messages import MembershipConfirmed
from .ledger_messages import MessageReceived
from .ledger_messages import OutcomeRequest
from .ledger_messages import OutcomeResponse
from .ledger_messages import ProposeRequest
from .ledger_messages import ProposeResponse
from .ledger_messages import ReadRequest
from .ledger_messages import ReadResponse
from .ledger_messages import Record
from .ledger_messages import RecordState
from .ledger_messages import Send
from .ledger_messages import Tick

#: Time between the first two rounds of messages about one key, in seconds; it
#: is doubled after each round.
ROUND_INTERVAL = 0.1

#: Longest time between two rounds of messages about one key, in seconds.
ROUND_INTERVAL_MAX = 1.6

#: Doublings after which the time between two rounds remains constant.
ROUND_DOUBLINGS_MAX = 4

#: Time between two removals of expired runs, in seconds.
PURGE_INTERVAL = 1.0

#: Most rounds in which the holder sends the outcome of a run to the replicas.
OUTCOME_ROUNDS_MAX = 50

#: Longest answer that is stored, in bytes; a longer one is not replayed.
ANSWER_LENGTH_MAX = 65_536


class KeyRefusal(enum.Enum):
    """Why a request with a key is neither run nor replayed."""

    #: The key does not have the required format with an issue time.
    MALFORMED = 'malformed'
    #: The key is older than its lifetime.
    EXPIRED = 'expired'
    #: The key was issued in the future.
    NOT_YET_ISSUED = 'not yet issued'
    #: Another request was sent under this key.
    OTHER_REQUEST = 'other request'
    #: The request may have run; its answer is not known.
    UNKNOWN_OUTCOME = 'unknown outcome'
    #: A majority of the replicas has no record of a run.
    NOT_RUN = 'not run'


@attrs.frozen
class Begin:
    """A request with a key is to be sent to the target if the key is granted.

    :param id: number of the request
    :param key: its key
    :param digest: digest of the request, body included
    :param deadline: when the caller stops waiting, in seconds since the epoch
    """

    id: int
    key: str
    digest: bytes
    deadline: float


@attrs.frozen
class LookUp:
    """A request with a key is to be refused as not run.

    The ledger is asked first, since another agent may have run the request.
    The parameters are those of :class:`Begin`.
    """

    id: int
    key: str
    digest: bytes
    deadline: float


@attrs.frozen
class RunEnded:
    """The run of a granted request has ended.

    :param key: its key
    :param answer: the complete answer of the target; none when it is lost
    """

    key: str
    answer: bytes | None


@attrs.frozen
class Grant:
    """Send the request to the target, once."""

    id: int


@attrs.frozen
class Replay:
    """Answer the request with the stored answer."""

    id: int
    answer: bytes


@attrs.frozen
class RefuseKey:
    """Refuse the request."""

    id: int
    reason: KeyRefusal


Event = (
    Begin | LookUp | RunEnded | MembershipConfirmed | MessageReceived | Tick
)
Action = Send | Grant | Replay | RefuseKey


@attrs.define
class _PendingKey:
    """A key on which no decision has been reached yet.

    :param key: the key
    :param digest: digest of the request, body included
    :param issued: when the key was issued
    :param begun: deadlines of the requests that are to be run, by number
    :param looked_up: deadlines of the requests that are to be refused
    :param votes: newest vote of each replica
    :param reads: response of each replica to the current read request
    :param sent_at: when the last round of messages was sent
    :param rounds: rounds of messages sent so far
    :param number: number of the current read request
    """

    key: str
    digest: bytes
    issued: float
    begun: dict[int, float] = attrs.field(factory=dict)
    looked_up: dict[int, float] = attrs.field(factory=dict)
    votes: dict[str, ProposeResponse] = attrs.field(factory=dict)
    reads: dict[str, ReadResponse] = attrs.field(factory=dict)
    sent_at: float = -1e9
    rounds: int = 0
    number: int = 0

    @property
    def records(self) -> list[Record]:
        """Return the records of all responses."""
        votes = [vote.record for vote in self.votes.values()]
        reads = [read.record for read in self.reads.values()]
        return [record for record in (*votes, *reads) if record]


@attrs.define
class _Run:
    """A key that was granted to this agent.

    :param record: what is known of the run
    :param issued: when the key was issued
    :param joined: deadlines of further requests with this key, which receive
        the answer of the run
    :param unacknowledged: replicas that have not acknowledged the outcome
    :param rounds: rounds in which the outcome was sent
    :param outcome_sent_at: when the outcome was last sent
    """

    record: Record
    issued: float
    joined: dict[int, float] = attrs.field(factory=dict)
    unacknowledged: set[str] = attrs.field(factory=set)
    rounds: int = 0
    outcome_sent_at: float = -1e9


@attrs.define
class LedgerClient:
    """Decides which requests with an idempotency key this agent may run.

    :param name: name of this agent's target
    :param incarnation: number of this start of the agent; increases with
        each start
    :param lifetime: how long a key may be used, in seconds
    :param history: past memberships of the service
    """

    name: str
    incarnation: int
    lifetime: float
    history: MembershipHistory
    _pending_keys: dict[str, _PendingKey] = attrs.field(
        factory=dict, init=False
    )
    _runs: dict[str, _Run] = attrs.field(factory=dict, init=False)
    _last_number: int = attrs.field(default=0, init=False)
    _history_requested: bool = attrs.field(default=False, init=False)
    _active: set[str] = attrs.field(factory=set, init=False)
    _purged_at: float = attrs.field(default=0.0, init=False)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Process one event.

        :param event: what has happened
        :param now: current time, in seconds since the epoch
        :returns: actions to perform, in this order
        """
        match event:
            case Begin() | LookUp():
                return tuple(self._handle_request(event, now))
            case RunEnded():
                return tuple(self._end_run(event, now))
            case MembershipConfirmed():
                return tuple(self._handle_membership(event))
            case MessageReceived():
                return tuple(self._receive(event, now))
            case Tick():
                return tuple(self._tick(now))

    @property
    def _self(self) -> AgentIncarnation:
        return AgentIncarnation(self.name, self.incarnation)

    def _handle_request(
        self, event: Begin | LookUp, now: float
    ) -> list[Action]:
        issued = read_issue_time(event.key)
        refusal = self._check_key(issued, now)
        if issued is None or refusal:
            return [RefuseKey(event.id, refusal or KeyRefusal.MALFORMED)]
        run = self._runs.get(event.key)
        if run:
            return self._join(run, event)
        pending = self._pending_keys.setdefault(
            event.key, _PendingKey(event.key, event.digest, issued)
        )
        if pending.digest != event.digest:
            return [RefuseKey(event.id, KeyRefusal.OTHER_REQUEST)]
        is_begin = isinstance(event, Begin)
        waiting = pending.begun if is_begin else pending.looked_up
        waiting[event.id] = event.deadline
        pending.reads.clear()
        self._last_number += 1
        pending.number = self._last_number
        return [*self._send_round(pending, now)]

    def _check_key(
        self, issued: float | None, now: float
    ) -> KeyRefusal | None:
        if issued is None:
            return KeyRefusal.MALFORMED
        if now > issued + self.lifetime:
            return KeyRefusal.EXPIRED
        if issued > now + CLOCK_SKEW_MAX:
            return KeyRefusal.NOT_YET_ISSUED
        return None

    def _join(self, run: _Run, event: Begin | LookUp) -> list[Action]:
        if run.record.digest != event.digest:
            return [RefuseKey(event.id, KeyRefusal.OTHER_REQUEST)]
        if run.record.state is RecordState.GRANTED:
            run.joined[event.id] = event.deadline
            self._active.add(event.key)
            return []
        return [_make_reply(event.id, run.record)]

    def _send_round(self, pending: _PendingKey, now: float) -> list[Send]:
        pending.sent_at = now
        pending.rounds += 1
        key = pending.key
        sets = self._find_replica_sets(pending)
        replicas = sorted({name for replicas in sets for name in replicas})
        may_vote = pending.begun and self._may_decide(pending, now)
        message = (
            ProposeRequest(key, pending.digest, self._self, sets)
            if may_vote
            else ReadRequest(key, self._self, pending.number)
        )
        return [Send(replica, message) for replica in replicas]

    def _receive(self, event: MessageReceived, now: float) -> list[Action]:
        match event.message:
            case ProposeResponse(key) | ReadResponse(key):
                pending = self._pending_keys.get(key)
                if not pending or not self._is_expected(
                    event.message, pending
                ):
                    return []
                _store_response(pending, event.message)
                return self._try_to_decide(pending, now)
            case OutcomeResponse(key, replica):
                if key in self._runs:
                    self._runs[key].unacknowledged.discard(replica.agent)
            case HistoryRequest():
                return [
                    Send(event.peer, HistoryResponse(self.history.intervals))
                ]
            case HistoryResponse(intervals):
                self.history.merge(intervals)
        return []

    def _is_expected(
        self, response: ProposeResponse | ReadResponse, pending: _PendingKey
    ) -> bool:
        """Return whether this is a vote or answers the current read."""
        return isinstance(response, ProposeResponse) or (
            response.reader == self._self and response.number == pending.number
        )

    def _try_to_decide(self, pending: _PendingKey, now: float) -> list[Action]:
        records = pending.records
        if any(record.digest != pending.digest for record in records):
            return self._close(pending, KeyRefusal.OTHER_REQUEST)
        done = [r for r in records if r.state is RecordState.DONE]
        if done:
            return self._close(pending, done[0])
        if pending.begun and self._has_majorities(pending, now):
            return self._grant(pending)
        if self._is_outcome_lost(pending):
            return self._close(pending, KeyRefusal.UNKNOWN_OUTCOME)
        if pending.looked_up and self._is_known_not_run(pending, now):
            refused = [
                RefuseKey(request_id, KeyRefusal.NOT_RUN)
                for request_id in pending.looked_up
            ]
            pending.looked_up.clear()
            self._remove_if_empty(pending)
            return [*refused]
        return []

    def _may_decide(self, pending: _PendingKey, now: float) -> bool:
        """Return whether this agent may grant a key or rule out a run.

        It may do so while the key is valid and every membership whose
        replicas may have granted it is known.
        """
        return (
            self.history.is_fresh(now)
            and self.history.allows_grants(now)
            and self.history.covers(pending.issued)
            and now <= pending.issued + self.lifetime
        )

    def _has_majorities(self, pending: _PendingKey, now: float) -> bool:
        """Return whether this agent has a majority of votes in each set.

        A vote counts only if it was cast for the current replica sets and
        since the latest start of the replica that is known.
        """
        restarts = _find_restarts(pending)
        sets = self._find_replica_sets(pending)
        votes = {
            name
            for name, vote in pending.votes.items()
            if vote.record
            and vote.record.holder == self._self
            and vote.record.state is RecordState.GRANTED
            and vote.replica.incarnation >= restarts.get(name, 0)
            and vote.replica_sets == sets
        }
        return self._may_decide(pending, now) and _cover_majorities(
            sets, votes
        )

    def _is_known_not_run(self, pending: _PendingKey, now: float) -> bool:
        """Return whether majorities confirm that they have no record."""
        without_record = {
            name
            for name, read in pending.reads.items()
            if read.remembers and not read.record
        }
        return (
            not pending.begun
            and not pending.records
            and self._may_decide(pending, now)
            and _cover_majorities(
                self._find_replica_sets(pending), without_record
            )
        )

    def _find_replica_sets(
        self, pending: _PendingKey
    ) -> tuple[tuple[str, ...], ...]:
        return self.history.find_replica_sets(pending.key, pending.issued)

    def _is_outcome_lost(self, pending: _PendingKey) -> bool:
        """Return whether the outcome of a run can no longer be learned.

        This is so when the answer is recorded as lost, or when no holder is a
        member any more in the incarnation that the key was granted to. In the
        latter case, requests that are to be run wait until a majority of
        votes for this agent is impossible.
        """
        records = pending.records
        if any(
            record.state is RecordState.UNKNOWN and record.holder.agent
            for record in records
        ):
            return True
        live_agents = {
            AgentIncarnation(m.agent, m.incarnation)
            for m in self.history.members
        }
        others = {record.holder for record in records} - {self._self}
        return (
            bool(others)
            and not others & live_agents
            and (not pending.begun or self._is_blocked(pending))
        )

    def _is_blocked(self, pending: _PendingKey) -> bool:
        """Return whether votes for other agents rule out a majority."""
        other_votes = {
            name
            for name, vote in pending.votes.items()
            if vote.record and vote.record.holder != self._self
        }
        return any(
            len(other_votes.intersection(replicas))
            > len(replicas) - count_majority(replicas)
            for replicas in self._find_replica_sets(pending)
        )

    def _grant(self, pending: _PendingKey) -> list[Action]:
        first, *others = [*pending.begun, *pending.looked_up]
        deadlines = pending.begun | pending.looked_up
        record = Record(pending.key, pending.digest, self._self)
        self._runs[pending.key] = _Run(
            record,
            pending.issued,
            {other: deadlines[other] for other in others},
        )
        if others:
            self._active.add(pending.key)
        del self._pending_keys[pending.key]
        return [Grant(first)]

    def _close(
        self, pending: _PendingKey, outcome: Record | KeyRefusal
    ) -> list[Action]:
        del self._pending_keys[pending.key]
        return [
            RefuseKey(request_id, outcome)
            if isinstance(outcome, KeyRefusal)
            else _make_reply(request_id, outcome)
            for request_id in (*pending.begun, *pending.looked_up)
        ]

    def _remove_if_empty(self, pending: _PendingKey) -> None:
        if not pending.begun and not pending.looked_up:
            self._pending_keys.pop(pending.key, None)

    def _end_run(self, event: RunEnded, now: float) -> list[Action]:
        run = self._runs.get(event.key)
        if not run or run.record.state is not RecordState.GRANTED:
            return []
        answer = event.answer
        lost = answer is None or len(answer) > ANSWER_LENGTH_MAX
        state = RecordState.UNKNOWN if lost else RecordState.DONE
        stored = b'' if answer is None or lost else answer
        run.record = attrs.evolve(run.record, state=state, answer=stored)
        actions: list[Action] = [
            _make_reply(joined, run.record) for joined in run.joined
        ]
        run.joined.clear()
        sets = self.history.find_replica_sets(event.key, run.issued)
        run.unacknowledged = {name for replicas in sets for name in replicas}
        return [*actions, *self._send_outcome(run, now)]

    def _send_outcome(self, run: _Run, now: float) -> list[Send]:
        run.outcome_sent_at = now
        run.rounds += 1
        self._active.add(run.record.key)
        return [
            Send(name, OutcomeRequest(run.record))
            for name in sorted(run.unacknowledged)
        ]

    def _handle_membership(self, event: MembershipConfirmed) -> list[Action]:
        self.history.record(event)
        if self._history_requested:
            return []
        self._history_requested = True
        return [
            Send(member.agent, HistoryRequest(self._self))
            for member in event.members
            if member.agent != self.name
        ]

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for pending in tuple(self._pending_keys.values()):
            actions += self._expire(pending, now)
            if now - pending.sent_at >= _find_interval(pending.rounds):
                actions += self._send_round(pending, now)
        for key in sorted(self._active):
            actions += self._tick_run(self._runs[key], now)
        self._purge(now)
        return actions

    def _purge(self, now: float) -> None:
        if now - self._purged_at < PURGE_INTERVAL:
            return
        self._purged_at = now
        oldest_kept = now - self.lifetime - CLOCK_SKEW_MAX
        expired = [
            key
            for key, run in self._runs.items()
            if run.issued < oldest_kept
            and run.record.state is not RecordState.GRANTED
        ]
        for key in expired:
            del self._runs[key]
            self._active.discard(key)

    def _expire(self, pending: _PendingKey, now: float) -> list[Action]:
        overdue = [
            (waiting, request_id)
            for waiting in (pending.begun, pending.looked_up)
            for request_id, deadline in waiting.items()
            if now >= deadline
        ]
        for waiting, request_id in overdue:
            del waiting[request_id]
        self._remove_if_empty(pending)
        return [
            RefuseKey(request_id, KeyRefusal.UNKNOWN_OUTCOME)
            for _, request_id in overdue
        ]

    def _tick_run(self, run: _Run, now: float) -> list[Action]:
        overdue = [
            request_id for request_id, end in run.joined.items() if now >= end
        ]
        for request_id in overdue:
            del run.joined[request_id]
        actions: list[Action] = [
            RefuseKey(request_id, KeyRefusal.UNKNOWN_OUTCOME)
            for request_id in overdue
        ]
        rounds_exhausted = run.rounds >= OUTCOME_ROUNDS_MAX
        is_due = now - run.outcome_sent_at >= _find_interval(run.rounds)
        if run.unacknowledged and is_due and not rounds_exhausted:
            actions += self._send_outcome(run, now)
        if not run.joined and (not run.unacknowledged or rounds_exhausted):
            self._active.discard(run.record.key)
        return actions


def _find_interval(rounds: int) -> float:
    doublings = min(max(0, rounds - 1), ROUND_DOUBLINGS_MAX)
    return min(ROUND_INTERVAL_MAX, ROUND_INTERVAL * 2.0**doublings)


def _store_response(
    pending: _PendingKey, response: ProposeResponse | ReadResponse
) -> None:
    name = response.replica.agent
    if isinstance(response, ReadResponse):
        pending.reads[name] = response
        return
    known = pending.votes.get(name)
    if not known or known.replica <= response.replica:
        pending.votes[name] = response


def _cover_majorities(
    sets: tuple[tuple[str, ...], ...], names: set[str]
) -> bool:
    return bool(sets) and all(
        len(names.intersection(replicas)) >= count_majority(replicas)
        for replicas in sets
    )


def _find_restarts(pending: _PendingKey) -> dict[str, int]:
    """Return the latest known incarnation of each replica."""
    restarts: dict[str, int] = {}
    for vote in pending.votes.values():
        for agent, incarnation in (
            (holder.agent, holder.incarnation)
            for holder in (*vote.restarts, vote.replica)
        ):
            restarts[agent] = max(restarts.get(agent, 0), incarnation)
    return restarts


def _make_reply(request_id: int, record: Record) -> Replay | RefuseKey:
    if record.state is RecordState.DONE:
        return Replay(request_id, record.answer)
    return RefuseKey(request_id, KeyRefusal.UNKNOWN_OUTCOME)
