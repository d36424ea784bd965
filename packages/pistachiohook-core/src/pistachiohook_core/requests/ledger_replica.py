"""Replica of the ledger, which votes once on each idempotency key."""

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

#: Most records that one replica stores; once it has as many, it abstains on
#: new keys.
RECORDS_MAX = 200_000

#: Time between two removals of expired records, in seconds.
PURGE_INTERVAL = 1.0


@attrs.define
class _Recovery:
    """Recovery of the votes on a key that was issued before the start.

    :param responses: responses of the other replicas, by agent
    :param replica_sets: the replica sets whose votes have been recovered
    """

    responses: dict[str, ReadResponse] = attrs.field(factory=dict)
    replica_sets: tuple[tuple[str, ...], ...] = ()


@attrs.define
class LedgerReplica:
    """Stores the records of keys, in memory only.

    A replica loses its votes when it restarts. It does not vote on a key
    that was issued before, until it has read the votes from enough of the
    other replicas.

    :param name: name of this agent's target
    :param incarnation: number of this start of the agent; increases with
        each start
    :param started_at: when it was started, in seconds since the epoch
    :param lifetime: how long a key may be used, in seconds
    :param formed_at: when the ledger of the service was created, if that is
        known; a replica that was started before then has lost no votes
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
        """Process one event.

        :param event: what has happened
        :param now: current time, in seconds since the epoch
        :returns: messages to send
        """
        if isinstance(event, MembershipConfirmed):
            return self._handle_membership(event.members)
        if isinstance(event, Tick):
            self._purge(now)
            return ()
        return self._receive(event.peer, event.message, now)

    @property
    def record_count(self) -> int:
        """Number of records that are stored."""
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
                self._store_read_response(message)
            case OutcomeRequest(record):
                self._store_outcome(record)
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
            self._records[key] = self._choose_vote(message)
        response = ProposeResponse(
            key,
            self._self,
            message.replica_sets,
            self._records.get(key) if self._may_report_vote(message) else None,
            tuple(
                AgentIncarnation(other, self._restarts[other])
                for other in others
                if other in self._restarts
            ),
        )
        return (Send(peer, response), *self._start_recovery(key, others, now))

    def _start_recovery(
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
        """Return whether a vote can not contradict one lost by a restart."""
        return self._may_store(message.key, now) and (
            self._remembers(message.key) or self._has_read_quorum(message)
        )

    def _may_report_vote(self, message: ProposeRequest) -> bool:
        """Return whether the stored record is a valid vote in every set.

        A vote that was chosen after a recovery is valid only in the replica
        sets that were recovered.
        """
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
        """Return whether no vote on a key can have been lost by a restart."""
        if self.formed_at is not None and self.started_at <= self.formed_at:
            return True
        issued = read_issue_time(key)
        return issued is not None and (
            issued > self.started_at + CLOCK_SKEW_MAX
        )

    def _has_read_quorum(self, message: ProposeRequest) -> bool:
        recovery = self._recoveries.get(message.key)
        if recovery is None:
            return False
        return all(
            _is_recovery_quorum(replicas, recovery.responses)
            for replicas in message.replica_sets
            if self.name in replicas
        )

    def _choose_vote(self, message: ProposeRequest) -> Record:
        """Return the record to vote for.

        Records that the recovery has found come before the proposed one. If
        they have several holders and no answer, the outcome is unknown.
        """
        proposed = Record(message.key, message.digest, message.holder)
        recovery = self._recoveries.get(message.key)
        if recovery is None:
            return proposed
        recovery.replica_sets = message.replica_sets
        found = {
            response.record.holder: response.record
            for response in recovery.responses.values()
            if response.record
        }
        if not found:
            return proposed
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
        response = ReadResponse(
            message.key,
            self._self,
            reader,
            message.number,
            remembers,
            self._records.get(message.key),
        )
        return (Send(peer, response),)

    def _store_read_response(self, message: ReadResponse) -> None:
        recovery = self._recoveries.get(message.key)
        if recovery is not None and message.reader == self._self:
            recovery.responses[message.replica.agent] = message

    def _store_outcome(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is None or known.state is not RecordState.DONE:
            self._records[record.key] = record

    def _store_copy(self, record: Record) -> None:
        """Store a record, unless it may contradict a vote that was lost."""
        final = record.state is not RecordState.GRANTED
        if final or self._remembers(record.key):
            self._records.setdefault(record.key, record)

    def _handle_membership(
        self, members: tuple[Member, ...]
    ) -> tuple[Send, ...]:
        """Copy records to agents that became replicas or have restarted."""
        old_members, self._members = self._members, members
        if not old_members or old_members == members:
            return ()
        in_both = {m.agent for m in {*old_members} & {*members}}
        return tuple(
            Send(replica, ReplicateRecord(record))
            for key, record in self._records.items()
            for old_replicas in [place_replicas(key, old_members)]
            if self.name in old_replicas
            for replica in place_replicas(key, members)
            if replica not in old_replicas or replica not in in_both
        )

    def _purge(self, now: float) -> None:
        if now - self._purged_at < PURGE_INTERVAL:
            return
        self._purged_at = now
        retention = self.lifetime + 2 * CLOCK_SKEW_MAX
        expired = [
            key
            for key in {*self._records, *self._recoveries}
            if (read_issue_time(key) or 0.0) + retention < now
        ]
        for key in expired:
            self._records.pop(key, None)
            self._recoveries.pop(key, None)


def _is_recovery_quorum(
    replicas: tuple[str, ...], responses: dict[str, ReadResponse]
) -> bool:
    """Return whether the responses overlap with every earlier majority.

    The replica itself may have been part of a majority before it restarted,
    so that one of the other replicas fewer can report it.
    """
    majority = count_majority(replicas)
    needed = len(replicas) - majority + 1
    usable = sum(
        name in responses
        and (responses[name].remembers or bool(responses[name].record))
        for name in replicas
    )
    return majority > 1 and usable >= needed
