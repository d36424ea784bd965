"""Task that owns the replica of one control instance."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.consensus.entries import EntryKind
from pistachiohook_core.consensus.entries import make_identity
from pistachiohook_core.consensus.entries import parse_instance_name
from pistachiohook_core.consensus.entries import SavedState
from pistachiohook_core.consensus.events import Appended
from pistachiohook_core.consensus.events import Apply
from pistachiohook_core.consensus.events import Compact
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
from pistachiohook_core.events import JOURNAL_FAILED
from pistachiohook_core.events import JOURNAL_FOUNDED
from pistachiohook_core.events import LEADER_CHANGED
from pistachiohook_core.events import REPLICA_RETIRED
from pistachiohook_core.events import REPLICA_STARTED
from pistachiohook_core.failures import Failure
from pistachiohook_core.storage.journal import JOURNAL
from pistachiohook_core.storage.journal import Journal
from pistachiohook_core.storage.journal import load_journal
from pistachiohook_core.storage.journal import save
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

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

#: Longest wait between two looks at the clock, in seconds.
TICK = 0.05

#: Longest wait for the outcome of a proposal, in seconds.
PROPOSE_TIMEOUT = 5.0

#: Messages that wait for the replica; later ones are dropped.
WAITING_MAX = 4096

#: Entries that are applied before a snapshot is taken.
SNAPSHOT_ENTRIES = 1024

#: Growth of the journal before a snapshot is taken, in bytes.
SNAPSHOT_BYTES = 16 * 1024 * 1024

#: Reason of a failure: the command was not taken, and never will be; the
#: peer is the leader's address, or empty when none is known.
NOT_LEADER = 'not-leader'

#: Reason of a failure: the command was not accepted, and never will be.
REFUSED = 'refused'

#: Reason of a failure: the command may have been accepted, or may yet be.
UNKNOWN_OUTCOME = 'unknown-outcome'


#: What stood in the way of a refused command, as the step of the failure.
_REFUSED_STEPS = {
    Refusal.TOO_FEW_VOTERS: 'await a majority of voters',
    Refusal.NO_ANSWER: 'await the leader',
}


class ReplicaStoppedError(Exception):
    """The replica has stopped; this process must not answer any more."""


@attrs.frozen
class StateMachine:
    """What the accepted commands change.

    :param apply: applies the command at an index and returns its outcome
    :param restore: replaces the state by an encoded one
    :param take_snapshot: returns the encoded state
    """

    apply: Callable[[int, bytes], object]
    restore: Callable[[bytes], None]
    take_snapshot: Callable[[], bytes]


@attrs.define
class Replicator:
    """State of the task.

    :param name: name of this instance
    :param addresses: address of each instance, this one's too, for the
        failure of one that does not lead
    :param files: operations on the data folder
    :param state_machine: what the commands change
    :param send: hands a message to the link of an instance
    :param report: logs an event
    :param folder_id: random text, for the identity of a new data folder
    :param seed: seed of the election timeouts
    :param timing: durations that all instances share
    :param dynamic_membership: rules by which running instances become members
        and leave; ``None`` when the configured instances vote
    :param clock: time, in seconds; never goes down
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
    clock: Callable[[], float] = time.monotonic
    failure: Failure | None = None
    applied: int = 0
    _replica: Replica | None = None
    _journal: Journal | None = None
    _snapshot_index: int = 0
    _snapshot_length: int = 0
    _ticked_at: float = float('-inf')
    _known_leader: str = ''
    _requests: int = 0
    _events: asyncio.Queue[Event] = attrs.field(
        factory=lambda: asyncio.Queue(WAITING_MAX)
    )
    _waiting: dict[int, asyncio.Future[Result[Any, Failure]]] = attrs.field(
        factory=dict
    )
    _appended: dict[int, Appended] = attrs.field(factory=dict)

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads, as far as it knows."""
        if self._replica is None or self.failure is not None:
            return False
        return self._replica.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Name of the leading instance; empty when none is known."""
        if self._replica is None or self.failure is not None:
            return ''
        return parse_instance_name(self._replica.leader)

    def freshness(self, now: float) -> float:
        """Return the age of the last quorum's proof, in seconds.

        All that was accepted anywhere before then is applied here.
        """
        if self._replica is None or self.failure is not None:
            return float('inf')
        return measure_freshness(self._replica, now)

    def receive(self, message: Message) -> None:
        """Take a message of another instance; dropped when too many wait."""
        with suppress(asyncio.QueueFull):
            self._events.put_nowait(Received(message))

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Have a command accepted and applied.

        :returns: what the state machine made of it; or a failure whose
            reason is :data:`NOT_LEADER`, :data:`REFUSED` or
            :data:`UNKNOWN_OUTCOME`
        """
        self._requests += 1
        event = Propose((self._requests,), (command,))
        return await self._ask('propose', event, UNKNOWN_OUTCOME)

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until all is applied here that was accepted before.

        :returns: an index that is at least applied; or a failure whose
            reason is :data:`NOT_LEADER` or :data:`REFUSED`
        """
        self._requests += 1
        event = Read(self._requests)
        return await self._ask('read', event, REFUSED)

    async def run(self) -> None:
        """Load the journal and take part, until cancelled.

        Whatever ends it, the replica is not used again: an action may have
        been left out, and only a restart of the process reads the disk anew.

        :raises ReplicaStoppedError: when the disk fails or its content is
            damaged; and at once when called again
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
        journal = Journal(self.files)
        saved = self._check(await _run_to_end(load_journal, journal))
        if saved is None:
            saved = SavedState(make_identity(self.name, self.folder_id))
            self.report(JOURNAL_FOUNDED, identity=saved.identity)
        # What an earlier process failed to sync may be read all the same.
        self._check(await _run_to_end(journal.replace, saved))
        self._journal = journal
        self._snapshot_length = journal.length
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

    async def _ask(
        self, step: str, event: Event, late: str
    ) -> Result[Any, Failure]:
        if self.failure is not None:
            return Failed(Failure(step, JOURNAL, REFUSED))
        request = self._requests
        answer = asyncio.get_running_loop().create_future()
        self._waiting[request] = answer
        try:
            self._events.put_nowait(event)
            async with asyncio.timeout(PROPOSE_TIMEOUT):
                result: Result[Any, Failure] = await answer
        except asyncio.QueueFull:
            return Failed(Failure(step, self.name, REFUSED))
        except TimeoutError:
            return Failed(Failure(step, self.name, late))
        finally:
            self._waiting.pop(request, None)
        return result

    async def _collect_events(self) -> list[Event]:
        events: list[Event] = []
        wait = max(0.0, self._ticked_at + TICK - self.clock())
        with suppress(TimeoutError):
            async with asyncio.timeout(wait):
                events.append(await self._events.get())
        while not self._events.empty():
            events.append(self._events.get_nowait())
        if self.clock() >= self._ticked_at + TICK:
            self._ticked_at = self.clock()
            events.append(Tick())
        return _join_proposals(events)

    async def _handle(self, event: Event) -> None:
        assert self._replica is not None
        for action in handle(self._replica, event, self.clock()):
            await self._carry_out(action)
        if self.leader != self._known_leader:
            self._known_leader = self.leader
            self.report(
                LEADER_CHANGED,
                leader=self.leader,
                term=self._replica.hard_state.term,
            )

    async def _carry_out(self, action: Action) -> None:
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
                self._answer(action)

    def _answer(self, action: Action) -> None:
        match action:
            case Appended():
                self._note_appended(action)
            case ReadReady(request, index):
                self._resolve(request, Success(index))
            case Refused(request, refusal):
                self._resolve(request, Failed(self._explain(refusal)))

    async def _save(self, action: Persist) -> None:
        assert self._replica is not None
        assert self._journal is not None
        identity = self._replica.identity
        self._check(await _run_to_end(save, self._journal, identity, action))

    def _check(self, result: Result[Any, Failure]) -> Any:
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
        if self.failure is None:
            self.failure = Failure('run', self.name, 'the replica has stopped')
        for request in tuple(self._waiting):
            failure = Failure('propose', self.name, UNKNOWN_OUTCOME)
            self._resolve(request, Failed(failure))

    def _note_appended(self, appended: Appended) -> None:
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
        self._snapshot_length = self._journal.length

    def _is_snapshot_due(self) -> bool:
        assert self._journal is not None
        entries = self.applied - self._snapshot_index
        growth = self._journal.length - self._snapshot_length
        many = entries >= SNAPSHOT_ENTRIES
        return many or (entries > 0 and growth >= SNAPSHOT_BYTES)

    def _explain(self, refusal: Refusal) -> Failure:
        if refusal is Refusal.NOT_LEADER:
            address = self.addresses.get(self.leader, '')
            return Failure('find leader', address, NOT_LEADER)
        return Failure(_REFUSED_STEPS[refusal], self.name, REFUSED)

    def _resolve(self, request: int, result: Result[Any, Failure]) -> None:
        answer = self._waiting.pop(request, None)
        if answer is not None and not answer.done():
            answer.set_result(result)


async def _run_to_end(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run in a thread; a cancellation waits until the disk is let go."""
    running = asyncio.ensure_future(asyncio.to_thread(function, *arguments))
    try:
        return await asyncio.shield(running)
    finally:
        if not running.done():
            await asyncio.wait({running})


def _join_proposals(events: list[Event]) -> list[Event]:
    """Let proposals that wait share one sync of the journal."""
    proposals = [event for event in events if isinstance(event, Propose)]
    if len(proposals) < 2:
        return events
    joined = Propose(
        tuple(number for one in proposals for number in one.requests),
        tuple(command for one in proposals for command in one.commands),
    )
    others = [event for event in events if not isinstance(event, Propose)]
    return [*others, joined]
