"""One replica of the ledger: a single vote for each idempotency key."""

from __future__ import annotations

import attrs

from .keys import CLOCK_SKEW_MAX
from .keys import count_majority
from .keys import Member
from .keys import place_replicas
from .keys import read_issue_time
from .ledger_messages import AgentIncarnation
from .ledger_messages import MembershipConfirmed
from .ledger_messages import Message
from .ledger_messages import MessageReceived
from .ledger_messages import OutcomeRequest
from .ledger_messages import OutcomeResponse
from .ledger_messages import ProposeRequest
from .ledger_messages import ProposeResponse
from .ledger_messages import ReadRequest
from .ledger_messages import ReadResponse
from .ledger_messages import Record
from .ledger_messages import RecordState
from .ledger_messages import ReplicateRecord
from .ledger_messages import Send
from .ledger_messages import Tick

#: Most records that one replica keeps; beyond it, it abstains on new keys.
RECORDS_MAX = 200_000

#: Time between two removals of expired records, in seconds.
PURGE_INTERVAL = 1.0


@attrs.define
class _Recovery:
    """What the other replicas said about a key issued before the start."""

    answers: dict[str, ReadResponse] = attrs.field(factory=dict)
    replica_sets: tuple[tuple[str, ...], ...] = ()


@attrs.define
class LedgerReplica:
    """State of one replica, in memory only.

    :param name: name of this agent's target
    :param incarnation: number of this start of the agent; grows
    :param started_at: when it was started, in seconds since the epoch
    :param lifetime: how long a key may be used, in seconds
    :param formed_at: when the service's ledger came into being, if that is
        known; a replica that was started before has forgotten nothing
    """

    name: str
    incarnation: int
    started_at: float
    lifetime: float
    formed_at: float | None = None
    _records: dict[str, Record] = attrs.field(factory=dict, init=False)
    _recoveries: dict[str, _Recovery] = attrs.field(factory=dict, init=False)
    _restarts: dict[str, int] = attrs.field(factory=dict, init=False)
    _members: tuple[Member, ...] = attrs.field(default=(), init=False)
    _purged_at: float = attrs.field(default=0.0, init=False)

    def handle(
        self, event: MembershipConfirmed | MessageReceived | Tick, now: float
    ) -> tuple[Send, ...]:
        """Take in one event.

        :param event: what has happened
        :param now: current time, in seconds since the epoch
        :returns: messages to send
        """
        if isinstance(event, MembershipConfirmed):
            return self._change_members(event.members)
        if isinstance(event, Tick):
            self._purge(now)
            return ()
        return self._receive(event.peer, event.message, now)

    @property
    def record_count(self) -> int:
        """How many records are kept."""
        return len(self._records)

    @property
    def _self(self) -> AgentIncarnation:
        return AgentIncarnation(self.name, self.incarnation)

    def _receive(
        self, peer: str, message: Message, now: float
    ) -> tuple[Send, ...]:
        match message:
            case ProposeRequest():
                return self._vote(peer, message, now)
            case ReadRequest():
                return self._read(peer, message, now)
            case ReadResponse():
                self._recover(message)
            case OutcomeRequest(record):
                self._settle(record)
                return (Send(peer, OutcomeResponse(record.key, self._self)),)
            case ReplicateRecord(record):
                self._store_copy(record)
        return ()

    def _vote(
        self, peer: str, message: ProposeRequest, now: float
    ) -> tuple[Send, ...]:
        key = message.key
        others = sorted({n for s in message.replica_sets for n in s})
        if key not in self._records and self._may_vote(message, now):
            self._records[key] = self._bind(message)
        answer = ProposeResponse(
            key,
            self._self,
            message.replica_sets,
            self._records.get(key) if self._knows(message) else None,
            tuple(
                AgentIncarnation(other, self._restarts[other])
                for other in others
                if other in self._restarts
            ),
        )
        return (Send(peer, answer), *self._ask_others(key, others, now))

    def _ask_others(
        self, key: str, others: list[str], now: float
    ) -> tuple[Send, ...]:
        if key in self._records or not self._may_store(key, now):
            return ()
        self._recoveries.setdefault(key, _Recovery())
        return tuple(
            Send(other, ReadRequest(key, self._self))
            for other in others
            if other != self.name
        )

    def _may_vote(self, message: ProposeRequest, now: float) -> bool:
        return self._may_store(message.key, now) and (
            self._remembers(message.key) or self._has_recovered(message)
        )

    def _knows(self, message: ProposeRequest) -> bool:
        """Return whether the record speaks for every set in question."""
        record = self._records.get(message.key)
        recovery = self._recoveries.get(message.key, _Recovery())
        return (
            self._remembers(message.key)
            or (record is not None and record.state is not RecordState.GRANTED)
            or set(message.replica_sets) <= set(recovery.replica_sets)
        )

    def _may_store(self, key: str, now: float) -> bool:
        issued = read_issue_time(key)
        return (
            issued is not None
            and issued - CLOCK_SKEW_MAX <= now <= issued + self.lifetime
            and len(self._records) < RECORDS_MAX
        )

    def _remembers(self, key: str) -> bool:
        if self.formed_at is not None and self.started_at <= self.formed_at:
            return True
        issued = read_issue_time(key)
        return issued is not None and (
            issued > self.started_at + CLOCK_SKEW_MAX
        )

    def _has_recovered(self, message: ProposeRequest) -> bool:
        recovery = self._recoveries.get(message.key)
        if recovery is None:
            return False
        return all(
            _suffices(replicas, recovery.answers)
            for replicas in message.replica_sets
            if self.name in replicas
        )

    def _bind(self, message: ProposeRequest) -> Record:
        """Return the vote: for who is known already, else for who asks."""
        asked = Record(message.key, message.digest, message.holder)
        recovery = self._recoveries.get(message.key)
        if recovery is None:
            return asked
        recovery.replica_sets = message.replica_sets
        found = {
            answer.record.holder: answer.record
            for answer in recovery.answers.values()
            if answer.record
        }
        if not found:
            return asked
        done = [r for r in found.values() if r.state is RecordState.DONE]
        if done or len(found) == 1:
            return (done or [*found.values()])[0]
        return attrs.evolve(
            min(found.values(), key=lambda record: record.holder),
            holder=AgentIncarnation('', 0),
            state=RecordState.UNKNOWN,
        )

    def _read(
        self, peer: str, message: ReadRequest, now: float
    ) -> tuple[Send, ...]:
        reader = message.reader
        known = self._restarts.get(reader.agent, 0)
        self._restarts[reader.agent] = max(known, reader.incarnation)
        remembers = self._remembers(message.key) and self._may_store(
            message.key, now
        )
        answer = ReadResponse(
            message.key,
            self._self,
            reader,
            message.number,
            remembers,
            self._records.get(message.key),
        )
        return (Send(peer, answer),)

    def _recover(self, message: ReadResponse) -> None:
        recovery = self._recoveries.get(message.key)
        if recovery is not None and message.reader == self._self:
            recovery.answers[message.replica.agent] = message

    def _settle(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is None or known.state is not RecordState.DONE:
            self._records[record.key] = record

    def _store_copy(self, record: Record) -> None:
        """Store a record, unless it may contradict a forgotten vote."""
        final = record.state is not RecordState.GRANTED
        if final or self._remembers(record.key):
            self._records.setdefault(record.key, record)

    def _change_members(self, members: tuple[Member, ...]) -> tuple[Send, ...]:
        before, self._members = self._members, members
        if not before or before == members:
            return ()
        lasting = {m.agent for m in {*before} & {*members}}
        return tuple(
            Send(replica, ReplicateRecord(record))
            for key, record in self._records.items()
            for old in [place_replicas(key, before)]
            if self.name in old
            for replica in place_replicas(key, members)
            if replica not in old or replica not in lasting
        )

    def _purge(self, now: float) -> None:
        if now - self._purged_at < PURGE_INTERVAL:
            return
        self._purged_at = now
        kept = self.lifetime + 2 * CLOCK_SKEW_MAX
        expired = [
            key
            for key in {*self._records, *self._recoveries}
            if (read_issue_time(key) or 0.0) + kept < now
        ]
        for key in expired:
            self._records.pop(key, None)
            self._recoveries.pop(key, None)


def _suffices(
    replicas: tuple[str, ...], answers: dict[str, ReadResponse]
) -> bool:
    """Return whether every majority would show in these answers.

    A majority that the replica was part of before it restarted has one
    member less to be found by.
    """
    majority = count_majority(replicas)
    needed = len(replicas) - majority + 1
    heard = sum(
        name in answers
        and (answers[name].remembers or bool(answers[name].record))
        for name in replicas
    )
    return majority > 1 and heard >= needed
