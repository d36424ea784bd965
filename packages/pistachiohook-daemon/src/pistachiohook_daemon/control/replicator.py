"""Task that runs the consensus replica of one control instance."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.consensus.departure import is_departing
from pistachiohook_core.consensus.entries import EntryKind
from pistachiohook_core.consensus.entries import make_identity
from pistachiohook_core.consensus.entries import parse_instance_name
from pistachiohook_core.consensus.entries import SavedState
from pistachiohook_core.consensus.events import Appended
from pistachiohook_core.consensus.events import Apply
from pistachiohook_core.consensus.events import Compact
from pistachiohook_core.consensus.events import Leave
from pistachiohook_core.consensus.events import Persist
from pistachiohook_core.consensus.events import Propose
from pistachiohook_core.consensus.events import Read
from pistachiohook_core.consensus.events import ReadReady
from pistachiohook_core.consensus.events import Received
from pistachiohook_core.consensus.events import Refusal
from pistachiohook_core.consensus.events import Refused
from pistachiohook_core.consensus.events import Restore
from pistachiohook_core.consensus.events import Retired
from pistachiohook_core.consensus.events import Send
from pistachiohook_core.consensus.events import Tick
from pistachiohook_core.consensus.raft import handle
from pistachiohook_core.consensus.reading import measure_freshness
from pistachiohook_core.consensus.replica import create_replica
from pistachiohook_core.consensus.replica import Role
from pistachiohook_core.consensus.replica import Timing
from pistachiohook_core.consensus.replication import count_missing_voters
from pistachiohook_core.events import JOURNAL_BLOCKED
from pistachiohook_core.events import JOURNAL_CREATED
from pistachiohook_core.events import JOURNAL_FAILED
from pistachiohook_core.events import JOURNAL_RESUMED
from pistachiohook_core.events import LEADER_CHANGED
from pistachiohook_core.events import REPLICA_RETIRED
from pistachiohook_core.events import REPLICA_STARTED
from pistachiohook_core.events import VOTERS_MISSING
from pistachiohook_core.failures import Failure
from pistachiohook_core.storage.journal import JOURNAL
from pistachiohook_core.storage.journal import Journal
from pistachiohook_core.storage.journal import load_journal
from pistachiohook_core.storage.journal import save
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..clocks import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from pistachiohook_core.consensus.entries import Entry
    from pistachiohook_core.consensus.entries import Snapshot
    from pistachiohook_core.consensus.events import Action
    from pistachiohook_core.consensus.events import Event
    from pistachiohook_core.consensus.messages import Message
    from pistachiohook_core.consensus.replica import DynamicMembership
    from pistachiohook_core.consensus.replica import Replica
    from pistachiohook_core.storage.files import FileOperations

    from ..logs import Report

#: Interval at which the timeouts of the replica are checked, in seconds.
TICK_INTERVAL = 0.05

#: Maximum wait for the outcome of a proposal or a read, in seconds.
PROPOSE_TIMEOUT = 5.0

#: Events that are queued for the replica. When the queue is full, messages are
#: dropped, and proposals and reads refused.
EVENT_QUEUE_SIZE = 4096

#: Entries applied since the last snapshot that make a new one due.
SNAPSHOT_ENTRIES = 1024

#: Growth of the journal since the last snapshot that makes a new one due, in
#: bytes.
SNAPSHOT_BYTES = 16 * 1024 * 1024

#: Time between two attempts to write the journal to a full disk, in seconds:
#: a fraction of an election, so that a voter is missing for little longer than
#: its disk is full.
FULL_DISK_RETRY_INTERVAL = 0.2

#: Reason of a failure: this instance is not the leader, so the command was not
#: accepted and never will be. The failure's peer is the address of the leader,
#: or empty when it is not known.
NOT_LEADER = 'not-leader'

#: Reason of a failure: the command was not accepted and never will be.
REFUSED = 'refused'

#: Reason of a failure: the command may have been accepted or may still be.
UNKNOWN_OUTCOME = 'unknown-outcome'


#: Step of the failure for each refusal other than ``NOT_LEADER``.
_REFUSAL_STEPS = {
    Refusal.TOO_FEW_VOTERS: 'await a majority of voters',
    Refusal.NO_ANSWER: 'await the leader',
}


class ReplicaStoppedError(Exception):
    """The replica has stopped and must not answer requests any more."""


@attrs.frozen
class StateMachine:
    """Callables of the state machine that committed commands change.

    :param apply: applies the command at an index and returns its outcome
    :param restore: replaces the state with an encoded one
    :param take_snapshot: returns the encoded state
    """

    apply: Callable[[int, bytes], object]
    restore: Callable[[bytes], None]
    take_snapshot: Callable[[], bytes]


@attrs.define
class Replicator:
    """Runs a replica and performs the actions that it returns.

    :param name: name of this instance
    :param addresses: address of each configured instance by name; an instance
        that isn't the leader names the leader's address in its failures
    :param files: operations on the data folder
    :param state_machine: state machine that committed commands change
    :param send: sends a message to another instance without waiting
    :param report: logs an event
    :param folder_id: random text that makes the identity of a new data folder
        unique
    :param seed: seed of the random election timeouts
    :param timing: durations that all instances share
    :param dynamic_membership: rules by which running instances become members
        and leave; ``None`` when the configured instances vote
    :param clock: monotonic clock, in seconds
    :param counts: counters of the process by name
    :param failure: why the replica has stopped; ``None`` until then
    :param applied: index of the last applied entry
    """

    name: str
    addresses: Mapping[str, str]
    files: FileOperations
    state_machine: StateMachine
    send: Callable[[str, Message], object]
    report: Report
    folder_id: str
    seed: int
    timing: Timing = attrs.field(factory=Timing)
    dynamic_membership: DynamicMembership | None = None
    clock: Callable[[], float] = read_clock
    counts: Counter[str] = attrs.field(factory=Counter)
    failure: Failure | None = None
    applied: int = 0
    _replica: Replica | None = None
    _journal: Journal | None = None
    _snapshot_index: int = 0
    _snapshot_length: int = 0
    _blocked: bool = False
    _ticked_at: float = float('-inf')
    _reported_leader: str = ''
    _reported_missing: int = 0
    _last_request: int = 0
    _event_queue: asyncio.Queue[Event] = attrs.field(
        factory=lambda: asyncio.Queue(EVENT_QUEUE_SIZE)
    )
    _pending: dict[int, asyncio.Future[Result[Any, Failure]]] = attrs.field(
        factory=dict
    )
    _appended: dict[int, Appended] = attrs.field(factory=dict)

    @property
    def is_leader(self) -> bool:
        """Whether this instance considers itself the leader."""
        if self._replica is None or not self._runs:
            return False
        return self._replica.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Name of the leader; empty when it is not known."""
        if self._replica is None or not self._runs:
            return ''
        return parse_instance_name(self._replica.leader)

    def freshness(self, now: float) -> float:
        """Return the time since the last quorum confirmation, in seconds.

        Every command that was accepted before that time is applied here.

        :param now: present time of the clock, in seconds
        :returns: infinity unless the replica runs
        """
        if self._replica is None or not self._runs:
            return float('inf')
        return measure_freshness(self._replica, now)

    @property
    def _runs(self) -> bool:
        """Whether the replica has not stopped and its disk is not full."""
        return self.failure is None and not self._blocked

    def receive(self, message: Message) -> None:
        """Queue another instance's message; drop it if the queue is full."""
        with suppress(asyncio.QueueFull):
            self._event_queue.put_nowait(Received(message))

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Append a command to the log and wait until it is applied.

        :param command: the encoded command
        :returns: the outcome that the state machine returned; or a failure
            whose reason is :data:`NOT_LEADER`, :data:`REFUSED` or
            :data:`UNKNOWN_OUTCOME`
        """
        self._last_request += 1
        event = Propose((self._last_request,), (command,))
        return await self._submit('propose', event, UNKNOWN_OUTCOME)

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until all commands accepted before the call are applied here.

        :returns: index up to which entries are applied; or a failure whose
            reason is :data:`NOT_LEADER`, :data:`REFUSED` or, when the replica
            stops meanwhile, :data:`UNKNOWN_OUTCOME`
        """
        self._last_request += 1
        event = Read(self._last_request)
        return await self._submit('read', event, REFUSED)

    async def leave(self, timeout: float) -> None:
        """Let the others go on without the vote of this instance.

        Returns once it votes no more, at once when they need its vote, and
        after the timeout in any case. Only a stop of the process may follow.

        :param timeout: longest wait, in seconds
        """
        if self._replica is None or not self._runs:
            return
        with suppress(asyncio.QueueFull, TimeoutError):
            self._event_queue.put_nowait(Leave())
            async with asyncio.timeout(timeout):
                while self._runs and is_departing(self._replica):
                    await asyncio.sleep(TICK_INTERVAL)

    async def run(self) -> None:
        """Load the journal and run the replica until cancelled.

        While the disk is full, the replica is paused. Once this has ended for
        any reason, the replica must not be used again, since some of its
        actions may not have been performed. A restarted process loads the
        journal again.

        :raises ReplicaStoppedError: when a file operation fails or the
            journal is damaged; and immediately when the replica has stopped
            before
        """
        if self.failure is not None:
            raise ReplicaStoppedError(str(self.failure))
        try:
            await self._start()
            while True:
                for event in await self._collect_events():
                    await self._handle(event)
                await self._take_snapshot()
        finally:
            self._stop()

    async def _start(self) -> None:
        saved = await self._load()
        if saved is None:
            saved = SavedState(make_identity(self.name, self.folder_id))
            self.report(JOURNAL_CREATED, identity=saved.identity)
        # An earlier process may have failed to sync what was just read.
        # Writing the journal anew makes it durable.
        journal = self._journal = Journal(self.files)
        await self._finish_write(
            await _run_in_thread(journal.replace, saved), saved
        )
        self._snapshot_length = self._journal.length
        self._restore(saved.snapshot)
        self._replica = create_replica(
            saved,
            tuple(sorted(self.addresses)),
            self.timing,
            self.seed,
            self.clock(),
            self.dynamic_membership,
        )
        self.report(
            REPLICA_STARTED, identity=saved.identity, index=self.applied
        )

    async def _load(self) -> SavedState | None:
        """Read the journal; wait for the room to cut off a torn record."""
        while True:
            journal = Journal(self.files)
            result = await _run_in_thread(load_journal, journal)
            if not journal.is_full:
                saved: SavedState | None = self._unwrap_or_stop(result)
                return saved
            self._report_blocked(result.failure())
            await asyncio.sleep(FULL_DISK_RETRY_INTERVAL)

    async def _submit(
        self, step: str, event: Event, timeout_reason: str
    ) -> Result[Any, Failure]:
        if not self._runs:
            return Failed(Failure(step, JOURNAL, REFUSED))
        request = self._last_request
        future = asyncio.get_running_loop().create_future()
        self._pending[request] = future
        try:
            self._event_queue.put_nowait(event)
            async with asyncio.timeout(PROPOSE_TIMEOUT):
                result: Result[Any, Failure] = await future
        except asyncio.QueueFull:
            return Failed(Failure(step, self.name, REFUSED))
        except TimeoutError:
            return Failed(Failure(step, self.name, timeout_reason))
        finally:
            self._pending.pop(request, None)
        return result

    async def _collect_events(self) -> list[Event]:
        events: list[Event] = []
        wait = max(0.0, self._ticked_at + TICK_INTERVAL - self.clock())
        with suppress(TimeoutError):
            async with asyncio.timeout(wait):
                events.append(await self._event_queue.get())
        while not self._event_queue.empty():
            events.append(self._event_queue.get_nowait())
        if self.clock() >= self._ticked_at + TICK_INTERVAL:
            self._ticked_at = self.clock()
            events.append(Tick())
        return _batch_proposals(events)

    async def _handle(self, event: Event) -> None:
        assert self._replica is not None
        for action in handle(self._replica, event, self.clock()):
            await self._perform(action)
        if self.leader != self._reported_leader:
            self._reported_leader = self.leader
            self.report(
                LEADER_CHANGED,
                leader=self.leader,
                term=self._replica.hard_state.term,
            )
        self._report_missing_voters(self._replica)

    def _report_missing_voters(self, replica: Replica) -> None:
        missing = count_missing_voters(replica, self.clock())
        if missing == self._reported_missing:
            return
        self._reported_missing = missing
        self.counts['voters_missing'] = missing
        if missing and replica.dynamic_membership is not None:
            self.report(
                VOTERS_MISSING,
                voters=len(replica.membership.voters),
                wanted=replica.dynamic_membership.voters,
                tolerance=replica.dynamic_membership.tolerance,
            )

    async def _perform(self, action: Action) -> None:
        match action:
            case Persist():
                await self._save(action)
            case Send(instance, message):
                self.send(instance, message)
            case Restore(snapshot):
                self._restore(snapshot)
            case Apply(entry):
                self._apply(entry)
            case Retired():
                self.report(REPLICA_RETIRED, instance=self.name)
            case _:
                self._handle_result(action)

    def _handle_result(self, action: Action) -> None:
        match action:
            case Appended():
                self._record_appended(action)
            case ReadReady(request, index):
                self._resolve(request, Success(index))
            case Refused(request, refusal):
                self._resolve(request, Failed(self._make_failure(refusal)))

    async def _save(self, action: Persist) -> None:
        assert self._replica is not None
        assert self._journal is not None
        identity = self._replica.identity
        result = await _run_in_thread(save, self._journal, identity, action)
        await self._finish_write(result, self._replica.saved_state)

    async def _finish_write(
        self, result: Result[Any, Failure], saved: SavedState
    ) -> None:
        """Wait until what was written is durable, or stop at a failure.

        A disk that is full gets the complete state, in a new file, once it
        has room: what the failed write has left in the old file is unknown.
        For the others the replica is paused meanwhile, and nothing that
        depends on the write has left it.

        :param result: result of the write
        :param saved: state that the journal has to hold afterwards
        """
        assert self._journal is not None
        began = self.clock()
        while self._journal.is_full:
            self._report_blocked(result.failure())
            await asyncio.sleep(FULL_DISK_RETRY_INTERVAL)
            self._journal = Journal(self._journal.files)
            result = await _run_in_thread(self._journal.replace, saved)
        self._unwrap_or_stop(result)
        if self._blocked:
            self._blocked = False
            self.report(
                JOURNAL_RESUMED,
                seconds=round(self.clock() - began, 2),
                index=self.applied,
            )

    def _report_blocked(self, failure: Failure) -> None:
        """Refuse requests while the disk is full; log its begin."""
        if self._blocked:
            return
        self._blocked = True
        self._fail_pending()
        self.report(
            JOURNAL_BLOCKED,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )

    def _unwrap_or_stop(self, result: Result[Any, Failure]) -> Any:
        """Return the value of a file operation, or stop at its failure."""
        if isinstance(result, Success):
            return result.unwrap()
        self.failure = result.failure()
        self.report(
            JOURNAL_FAILED,
            step=self.failure.step,
            peer=self.failure.peer,
            reason=self.failure.reason,
        )
        raise ReplicaStoppedError(str(self.failure))

    def _stop(self) -> None:
        """Fail all pending requests and refuse later ones."""
        if self.failure is None:
            self.failure = Failure('run', self.name, 'the replica has stopped')
        self._fail_pending()

    def _fail_pending(self) -> None:
        """End all pending requests; their commands may still be accepted."""
        for request in tuple(self._pending):
            failure = Failure('propose', self.name, UNKNOWN_OUTCOME)
            self._resolve(request, Failed(failure))

    def _record_appended(self, appended: Appended) -> None:
        # The entry replaces one of an earlier term, which will therefore
        # never be applied.
        replaced = self._appended.get(appended.index)
        if replaced is not None:
            failure = Failure('propose', self.name, REFUSED)
            self._resolve(replaced.request, Failed(failure))
        self._appended[appended.index] = appended

    def _apply(self, entry: Entry) -> None:
        outcome = None
        if entry.kind is EntryKind.COMMAND:
            outcome = self.state_machine.apply(entry.index, entry.payload)
        self.applied = entry.index
        appended = self._appended.pop(entry.index, None)
        if appended is None:
            return
        if appended.term == entry.term:
            self._resolve(appended.request, Success(outcome))
        else:
            failure = Failure('propose', self.leader, REFUSED)
            self._resolve(appended.request, Failed(failure))

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.index:
            self.state_machine.restore(snapshot.state)
        self.applied = snapshot.index
        self._snapshot_index = snapshot.index
        # The snapshot doesn't tell whether the entries that it replaces are
        # those that were appended here.
        covered = [
            index for index in self._appended if index <= snapshot.index
        ]
        for index in covered:
            failure = Failure('propose', self.leader, UNKNOWN_OUTCOME)
            self._resolve(self._appended.pop(index).request, Failed(failure))

    async def _take_snapshot(self) -> None:
        if not self._is_snapshot_due():
            return
        assert self._journal is not None
        self._snapshot_index = self.applied
        state = self.state_machine.take_snapshot()
        await self._handle(Compact(self.applied, state))
        assert self._journal is not None
        self._snapshot_length = self._journal.length

    def _is_snapshot_due(self) -> bool:
        assert self._journal is not None
        entries = self.applied - self._snapshot_index
        growth = self._journal.length - self._snapshot_length
        enough = entries >= SNAPSHOT_ENTRIES
        return enough or (entries > 0 and growth >= SNAPSHOT_BYTES)

    def _make_failure(self, refusal: Refusal) -> Failure:
        if refusal is Refusal.NOT_LEADER:
            address = self.addresses.get(self.leader, '')
            return Failure('find leader', address, NOT_LEADER)
        return Failure(_REFUSAL_STEPS[refusal], self.name, REFUSED)

    def _resolve(self, request: int, result: Result[Any, Failure]) -> None:
        future = self._pending.pop(request, None)
        if future is not None and not future.done():
            future.set_result(result)


async def _run_in_thread(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a function in a thread and wait for its end even when cancelled.

    No file operation goes on after the caller has been cancelled.
    """
    future = asyncio.ensure_future(asyncio.to_thread(function, *arguments))
    try:
        return await asyncio.shield(future)
    finally:
        if not future.done():
            await asyncio.wait({future})


def _batch_proposals(events: list[Event]) -> list[Event]:
    """Merge all proposals into one, so that they share one journal sync."""
    proposals = [event for event in events if isinstance(event, Propose)]
    if len(proposals) < 2:
        return events
    batch = Propose(
        tuple(number for one in proposals for number in one.requests),
        tuple(command for one in proposals for command in one.commands),
    )
    others = [event for event in events if not isinstance(event, Propose)]
    return [*others, batch]
