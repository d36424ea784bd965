"""The ledger's coordinator at the agent that would run a request."""

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

#: Time between the first two rounds of messages about one key, in seconds;
#: doubled after each round.
ROUND_INTERVAL = 0.1

#: Longest time between two rounds about one key, in seconds.
ROUND_INTERVAL_MAX = 1.6

#: Doublings after which the time between two rounds grows no more.
ROUND_DOUBLINGS_MAX = 4

#: Time between two removals of expired runs, in seconds.
PURGE_INTERVAL = 1.0

#: Rounds in which the holder tells the replicas how a run ended.
SETTLE_ROUNDS_MAX = 50

#: Longest answer that is stored, in bytes; a longer one is not replayed.
ANSWER_LENGTH_MAX = 65_536


class KeyRefusal(enum.Enum):
    """Why a request with a key is neither run nor replayed."""

    #: The key has not the form with an issue time.
    MALFORMED = 'malformed'
    #: The key is older than its lifetime.
    EXPIRED = 'expired'
    #: The key was issued in the future.
    NOT_YET_ISSUED = 'not yet issued'
    #: Another request was sent under this key.
    OTHER_REQUEST = 'other request'
    #: The request may have run; its answer is not known.
    UNKNOWN_OUTCOME = 'unknown outcome'
    #: A majority knows of no run.
    NOT_RUN = 'not run'


@attrs.frozen
class Begin:
    """A request with a key is about to be sent to the target.

    :param id: the request
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
    """A request with a key is about to be refused as not run.

    The parameters are those of :class:`Begin`.
    """

    id: int
    key: str
    digest: bytes
    deadline: float


@attrs.frozen
class RunEnded:
    """The run of a granted request is over.

    :param key: its key
    :param answer: the whole answer; none when it is lost
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
class _Inquiry:
    """Requests of one key whose fate is not settled."""

    key: str
    digest: bytes
    issued: float
    begun: dict[int, float] = attrs.field(factory=dict)
    looked_up: dict[int, float] = attrs.field(factory=dict)
    votes: dict[str, ProposeResponse] = attrs.field(factory=dict)
    reads: dict[str, ReadResponse] = attrs.field(factory=dict)
    asked_at: float = -1e9
    rounds: int = 0
    number: int = 0

    @property
    def records(self) -> list[Record]:
        """Return every record that an answer has brought."""
        votes = [vote.record for vote in self.votes.values()]
        reads = [read.record for read in self.reads.values()]
        return [record for record in (*votes, *reads) if record]


@attrs.define
class _Run:
    """A key that was granted to this agent."""

    record: Record
    issued: float
    joined: dict[int, float] = attrs.field(factory=dict)
    unsettled: set[str] = attrs.field(factory=set)
    rounds: int = 0
    told_at: float = -1e9


@attrs.define
class LedgerClient:
    """State of the keys that this agent asks about or runs.

    :param name: name of this agent's target
    :param incarnation: number of this start of the agent; grows
    :param lifetime: how long a key may be used, in seconds
    :param history: memberships that were seen
    """

    name: str
    incarnation: int
    lifetime: float
    history: MembershipHistory
    _inquiries: dict[str, _Inquiry] = attrs.field(factory=dict, init=False)
    _runs: dict[str, _Run] = attrs.field(factory=dict, init=False)
    _asked: int = attrs.field(default=0, init=False)
    _asked_sightings: bool = attrs.field(default=False, init=False)
    _active: set[str] = attrs.field(factory=set, init=False)
    _purged_at: float = attrs.field(default=0.0, init=False)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Take in one event.

        :param event: what has happened
        :param now: current time, in seconds since the epoch
        :returns: what is to be done, in this order
        """
        match event:
            case Begin() | LookUp():
                return tuple(self._open(event, now))
            case RunEnded():
                return tuple(self._end_run(event, now))
            case MembershipConfirmed():
                return tuple(self._read_members(event))
            case MessageReceived():
                return tuple(self._receive(event, now))
            case Tick():
                return tuple(self._tick(now))

    @property
    def _self(self) -> AgentIncarnation:
        return AgentIncarnation(self.name, self.incarnation)

    def _open(self, event: Begin | LookUp, now: float) -> list[Action]:
        issued = read_issue_time(event.key)
        refusal = self._check_key(issued, now)
        if issued is None or refusal:
            return [RefuseKey(event.id, refusal or KeyRefusal.MALFORMED)]
        run = self._runs.get(event.key)
        if run:
            return self._join(run, event)
        inquiry = self._inquiries.setdefault(
            event.key, _Inquiry(event.key, event.digest, issued)
        )
        if inquiry.digest != event.digest:
            return [RefuseKey(event.id, KeyRefusal.OTHER_REQUEST)]
        begins = isinstance(event, Begin)
        waiting = inquiry.begun if begins else inquiry.looked_up
        waiting[event.id] = event.deadline
        inquiry.reads.clear()
        self._asked += 1
        inquiry.number = self._asked
        return [*self._ask(inquiry, now)]

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
        return [_report(event.id, run.record)]

    def _ask(self, inquiry: _Inquiry, now: float) -> list[Send]:
        inquiry.asked_at = now
        inquiry.rounds += 1
        key = inquiry.key
        sets = self._find_sets(inquiry)
        replicas = sorted({name for replicas in sets for name in replicas})
        may_vote = inquiry.begun and self._is_current(inquiry, now)
        message = (
            ProposeRequest(key, inquiry.digest, self._self, sets)
            if may_vote
            else ReadRequest(key, self._self, inquiry.number)
        )
        return [Send(replica, message) for replica in replicas]

    def _receive(self, event: MessageReceived, now: float) -> list[Action]:
        match event.message:
            case ProposeResponse(key) | ReadResponse(key):
                inquiry = self._inquiries.get(key)
                if not inquiry or not self._is_mine(event.message, inquiry):
                    return []
                _take_answer(inquiry, event.message)
                return self._conclude(inquiry, now)
            case OutcomeResponse(key, replica):
                if key in self._runs:
                    self._runs[key].unsettled.discard(replica.agent)
            case HistoryRequest():
                return [
                    Send(event.peer, HistoryResponse(self.history.intervals))
                ]
            case HistoryResponse(intervals):
                self.history.merge(intervals)
        return []

    def _is_mine(
        self, answer: ProposeResponse | ReadResponse, inquiry: _Inquiry
    ) -> bool:
        """Return whether an answer is to this start's open question."""
        return isinstance(answer, ProposeResponse) or (
            answer.reader == self._self and answer.number == inquiry.number
        )

    def _conclude(self, inquiry: _Inquiry, now: float) -> list[Action]:
        records = inquiry.records
        if any(record.digest != inquiry.digest for record in records):
            return self._close(inquiry, KeyRefusal.OTHER_REQUEST)
        done = [r for r in records if r.state is RecordState.DONE]
        if done:
            return self._close(inquiry, done[0])
        if inquiry.begun and self._has_majorities(inquiry, now):
            return self._grant(inquiry)
        if self._is_lost(inquiry):
            return self._close(inquiry, KeyRefusal.UNKNOWN_OUTCOME)
        if inquiry.looked_up and self._is_absent(inquiry, now):
            refused = [
                RefuseKey(asked, KeyRefusal.NOT_RUN)
                for asked in inquiry.looked_up
            ]
            inquiry.looked_up.clear()
            self._drop_empty(inquiry)
            return [*refused]
        return []

    def _is_current(self, inquiry: _Inquiry, now: float) -> bool:
        return (
            self.history.is_fresh(now)
            and self.history.allows_grants(now)
            and self.history.covers(inquiry.issued)
            and now <= inquiry.issued + self.lifetime
        )

    def _has_majorities(self, inquiry: _Inquiry, now: float) -> bool:
        restarts = _find_restarts(inquiry)
        sets = self._find_sets(inquiry)
        votes = {
            name
            for name, vote in inquiry.votes.items()
            if vote.record
            and vote.record.holder == self._self
            and vote.record.state is RecordState.GRANTED
            and vote.replica.incarnation >= restarts.get(name, 0)
            and vote.replica_sets == sets
        }
        return self._is_current(inquiry, now) and _form_majorities(sets, votes)

    def _is_absent(self, inquiry: _Inquiry, now: float) -> bool:
        empty = {
            name
            for name, read in inquiry.reads.items()
            if read.remembers and not read.record
        }
        return (
            not inquiry.begun
            and not inquiry.records
            and self._is_current(inquiry, now)
            and _form_majorities(self._find_sets(inquiry), empty)
        )

    def _find_sets(self, inquiry: _Inquiry) -> tuple[tuple[str, ...], ...]:
        return self.history.find_replica_sets(inquiry.key, inquiry.issued)

    def _is_lost(self, inquiry: _Inquiry) -> bool:
        """Return whether the holder is gone or its answer is lost."""
        records = inquiry.records
        if any(
            record.state is RecordState.UNKNOWN and record.holder.agent
            for record in records
        ):
            return True
        live = {
            AgentIncarnation(m.agent, m.incarnation)
            for m in self.history.members
        }
        others = {record.holder for record in records} - {self._self}
        return (
            bool(others)
            and not others & live
            and (not inquiry.begun or self._is_blocked(inquiry))
        )

    def _is_blocked(self, inquiry: _Inquiry) -> bool:
        """Return whether votes for others rule out a majority."""
        bound = {
            name
            for name, vote in inquiry.votes.items()
            if vote.record and vote.record.holder != self._self
        }
        return any(
            len(bound.intersection(replicas))
            > len(replicas) - count_majority(replicas)
            for replicas in self._find_sets(inquiry)
        )

    def _grant(self, inquiry: _Inquiry) -> list[Action]:
        first, *others = [*inquiry.begun, *inquiry.looked_up]
        deadlines = inquiry.begun | inquiry.looked_up
        record = Record(inquiry.key, inquiry.digest, self._self)
        self._runs[inquiry.key] = _Run(
            record,
            inquiry.issued,
            {other: deadlines[other] for other in others},
        )
        if others:
            self._active.add(inquiry.key)
        del self._inquiries[inquiry.key]
        return [Grant(first)]

    def _close(
        self, inquiry: _Inquiry, outcome: Record | KeyRefusal
    ) -> list[Action]:
        del self._inquiries[inquiry.key]
        return [
            RefuseKey(asked, outcome)
            if isinstance(outcome, KeyRefusal)
            else _report(asked, outcome)
            for asked in (*inquiry.begun, *inquiry.looked_up)
        ]

    def _drop_empty(self, inquiry: _Inquiry) -> None:
        if not inquiry.begun and not inquiry.looked_up:
            self._inquiries.pop(inquiry.key, None)

    def _end_run(self, event: RunEnded, now: float) -> list[Action]:
        run = self._runs.get(event.key)
        if not run or run.record.state is not RecordState.GRANTED:
            return []
        answer = event.answer
        lost = answer is None or len(answer) > ANSWER_LENGTH_MAX
        state = RecordState.UNKNOWN if lost else RecordState.DONE
        stored = b'' if answer is None or lost else answer
        run.record = attrs.evolve(run.record, state=state, answer=stored)
        told: list[Action] = [
            _report(joined, run.record) for joined in run.joined
        ]
        run.joined.clear()
        sets = self.history.find_replica_sets(event.key, run.issued)
        run.unsettled = {name for replicas in sets for name in replicas}
        return [*told, *self._tell(run, now)]

    def _tell(self, run: _Run, now: float) -> list[Send]:
        run.told_at = now
        run.rounds += 1
        self._active.add(run.record.key)
        return [
            Send(name, OutcomeRequest(run.record))
            for name in sorted(run.unsettled)
        ]

    def _read_members(self, event: MembershipConfirmed) -> list[Action]:
        self.history.record(event)
        if self._asked_sightings:
            return []
        self._asked_sightings = True
        return [
            Send(member.agent, HistoryRequest(self._self))
            for member in event.members
            if member.agent != self.name
        ]

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for inquiry in tuple(self._inquiries.values()):
            actions += self._expire(inquiry, now)
            if now - inquiry.asked_at >= _find_interval(inquiry.rounds):
                actions += self._ask(inquiry, now)
        for key in sorted(self._active):
            actions += self._tick_run(self._runs[key], now)
        self._purge(now)
        return actions

    def _purge(self, now: float) -> None:
        if now - self._purged_at < PURGE_INTERVAL:
            return
        self._purged_at = now
        kept_from = now - self.lifetime - CLOCK_SKEW_MAX
        expired = [
            key
            for key, run in self._runs.items()
            if run.issued < kept_from
            and run.record.state is not RecordState.GRANTED
        ]
        for key in expired:
            del self._runs[key]
            self._active.discard(key)

    def _expire(self, inquiry: _Inquiry, now: float) -> list[Action]:
        late = [
            (waiting, asked)
            for waiting in (inquiry.begun, inquiry.looked_up)
            for asked, deadline in waiting.items()
            if now >= deadline
        ]
        for waiting, asked in late:
            del waiting[asked]
        self._drop_empty(inquiry)
        return [
            RefuseKey(asked, KeyRefusal.UNKNOWN_OUTCOME) for _, asked in late
        ]

    def _tick_run(self, run: _Run, now: float) -> list[Action]:
        late = [asked for asked, end in run.joined.items() if now >= end]
        for asked in late:
            del run.joined[asked]
        actions: list[Action] = [
            RefuseKey(asked, KeyRefusal.UNKNOWN_OUTCOME) for asked in late
        ]
        told_often = run.rounds >= SETTLE_ROUNDS_MAX
        waits = now - run.told_at >= _find_interval(run.rounds)
        if run.unsettled and waits and not told_often:
            actions += self._tell(run, now)
        if not run.joined and (not run.unsettled or told_often):
            self._active.discard(run.record.key)
        return actions


def _find_interval(rounds: int) -> float:
    doublings = min(max(0, rounds - 1), ROUND_DOUBLINGS_MAX)
    return min(ROUND_INTERVAL_MAX, ROUND_INTERVAL * 2.0**doublings)


def _take_answer(
    inquiry: _Inquiry, answer: ProposeResponse | ReadResponse
) -> None:
    name = answer.replica.agent
    if isinstance(answer, ReadResponse):
        inquiry.reads[name] = answer
        return
    known = inquiry.votes.get(name)
    if not known or known.replica <= answer.replica:
        inquiry.votes[name] = answer


def _form_majorities(
    sets: tuple[tuple[str, ...], ...], names: set[str]
) -> bool:
    return bool(sets) and all(
        len(names.intersection(replicas)) >= count_majority(replicas)
        for replicas in sets
    )


def _find_restarts(inquiry: _Inquiry) -> dict[str, int]:
    restarts: dict[str, int] = {}
    for vote in inquiry.votes.values():
        for agent, incarnation in (
            (holder.agent, holder.incarnation)
            for holder in (*vote.restarts, vote.replica)
        ):
            restarts[agent] = max(restarts.get(agent, 0), incarnation)
    return restarts


def _report(request_id: int, record: Record) -> Replay | RefuseKey:
    if record.state is RecordState.DONE:
        return Replay(request_id, record.answer)
    return RefuseKey(request_id, KeyRefusal.UNKNOWN_OUTCOME)
