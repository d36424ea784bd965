"""Operations of the administration API, independent of HTTP."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.configuration.check import check_objects
from pistachiohook_core.configuration.commands import Accepted
from pistachiohook_core.configuration.commands import Change
from pistachiohook_core.configuration.commands import ChangeIdReused
from pistachiohook_core.configuration.commands import Command
from pistachiohook_core.configuration.commands import Conflict
from pistachiohook_core.configuration.commands import Drain
from pistachiohook_core.configuration.commands import Drained
from pistachiohook_core.configuration.commands import Outcome
from pistachiohook_core.configuration.commands import OUTCOME_CODEC
from pistachiohook_core.configuration.commands import TargetUnknown
from pistachiohook_core.configuration.documents import AcceptedDocument
from pistachiohook_core.configuration.documents import CHANGE_ID_MAX
from pistachiohook_core.configuration.documents import ChangeRequest
from pistachiohook_core.configuration.documents import CheckDocument
from pistachiohook_core.configuration.documents import CheckRequest
from pistachiohook_core.configuration.documents import ConfigurationDocument
from pistachiohook_core.configuration.documents import DrainedDocument
from pistachiohook_core.configuration.documents import DrainRequest
from pistachiohook_core.configuration.documents import make_problem
from pistachiohook_core.configuration.documents import MemberRow
from pistachiohook_core.configuration.documents import MembersDocument
from pistachiohook_core.configuration.documents import Problem
from pistachiohook_core.configuration.documents import ProblemName
from pistachiohook_core.configuration.documents import Source
from pistachiohook_core.configuration.documents import StatusDocument
from pistachiohook_core.configuration.documents import TargetRow
from pistachiohook_core.configuration.documents import TargetsDocument
from pistachiohook_core.configuration.state import find_accepted_change
from pistachiohook_core.configuration.state import find_outcome
from pistachiohook_core.membership.members import Progress
from pistachiohook_core.membership.rollout import measure_rollout
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..clocks import read_clock
from .replicator import UNKNOWN_OUTCOME
from .state_machine import encode_command

if TYPE_CHECKING:
    from pistachiohook_core.configuration.objects import ObjectSet
    from pistachiohook_core.configuration.objects import RawObject
    from pistachiohook_core.configuration.state import State
    from pistachiohook_core.failures import Failure

    from ..settings import MemberSettings
    from .proposals import Proposer
    from .replication import Replicator
    from .state_machine import ControlStateMachine

#: Time during which a failed command is proposed again, in seconds.
PROPOSE_RETRY_DURATION = 8.0

#: Time during which a failed read is retried, for instance while a leader is
#: elected, in seconds.
READ_RETRY_DURATION = 3.0

#: Delay between two attempts of a read, in seconds.
RETRY_INTERVAL = 0.1

#: Largest freshness in an answer, in seconds; a larger one, such as infinity,
#: is replaced by it.
FRESHNESS_MAX = 86_400.0


@attrs.define
class Administration:
    """Answers the requests to the API of one control instance.

    :param instance: name of the control instance
    :param members: all control instances named in the settings
    :param state_machine: holds the replicated state
    :param replicator: gives read barriers, the leader and the freshness
    :param proposer: proposes changes and drains
    """

    instance: str
    members: tuple[MemberSettings, ...]
    state_machine: ControlStateMachine
    replicator: Replicator
    proposer: Proposer

    async def prepare_read(self, *, stale: bool) -> Result[Source, Problem]:
        """Wait for a read barrier, so that the applied state is current.

        :param stale: whether a stale state is acceptable; the barrier is then
            tried once, and its failure shows in the source only
        :returns: source for the answer to the read
        """
        barrier = await self._wait_read_barrier(
            0.0 if stale else READ_RETRY_DURATION
        )
        linearized = isinstance(barrier, Success)
        if not linearized and not stale:
            return Failed(
                _convert_failure(ProblemName.NO_QUORUM, barrier.failure())
            )
        freshness = self.replicator.freshness(read_clock())
        shown = min(freshness, FRESHNESS_MAX)
        return Success(Source(self.instance, linearized, shown))

    def show_configuration(self, source: Source) -> ConfigurationDocument:
        """Return the configuration.

        :param source: source of the answer
        """
        state = self._state
        return ConfigurationDocument(
            revision=state.configuration,
            objects=state.objects,
            numbers=state.numbers,
            change=find_accepted_change(state, state.configuration),
            source=source,
        )

    def show_status(
        self, revision: int | None, source: Source
    ) -> StatusDocument:
        """Return which nodes apply a revision.

        :param revision: the published revision; ``None`` for the newest one
        :param source: source of the answer
        """
        state = self._state
        requested = state.revision if revision is None else revision
        return StatusDocument(
            configuration=state.configuration,
            published=state.revision,
            rollout=measure_rollout(state, requested),
            source=source,
        )

    def show_targets(self, source: Source) -> TargetsDocument:
        """Return all announced targets.

        :param source: source of the answer
        """
        state = self._state
        announced = (
            (member, member.announcement.target)
            for _, member in sorted(state.members.items())
        )
        rows = tuple(
            TargetRow(
                target=state.targets.get(target.name, target),
                node=member.node,
                holder=member.holder,
                published=target.name in state.targets,
            )
            for member, target in announced
            if target is not None
        )
        return TargetsDocument(rows, source)

    def show_members(self, source: Source) -> MembersDocument:
        """Return the control instances named in the settings.

        :param source: source of the answer
        """
        state = self._state
        holders = [member.holder for member in state.members.values()]
        rows = []
        for member in self.members:
            progress = state.progress.get(member.name, Progress())
            row = MemberRow(
                name=member.name,
                api=str(member.api),
                leader=self.replicator.leader == member.name,
                nodes=holders.count(member.name),
                revision=progress.revision,
                behind=progress.behind,
            )
            rows.append(row)
        return MembersDocument(tuple(rows), source)

    def find_change(self, change_id: str) -> Result[Any, Problem]:
        """Return the outcome of a change that was proposed earlier.

        :param change_id: id of the change
        :returns: the same as for the first proposal of the change
        """
        outcome = find_outcome(self._state, change_id)
        if outcome is None:
            detail = f'no outcome of change {change_id!r} is stored'
            return Failed(make_problem(ProblemName.NOT_FOUND, detail))
        return _convert_change(outcome, change_id)

    def check(self, request: CheckRequest) -> Result[CheckDocument, Problem]:
        """Check a set of objects without changing anything."""
        return _check_set(request.objects).map(
            lambda objects: CheckDocument(
                len(objects.services),
                len(objects.places),
                len(objects.policies),
            )
        )

    async def change(
        self, request: ChangeRequest, author: str
    ) -> Result[AcceptedDocument, Problem]:
        """Check and propose a change.

        :param request: the change
        :param author: name of the token's bearer
        """
        has_valid_length = 0 < len(request.change_id) <= CHANGE_ID_MAX
        if not has_valid_length or not request.change_id.isprintable():
            detail = (
                f'change_id: expected 1 to {CHANGE_ID_MAX} printable '
                'characters'
            )
            return Failed(make_problem(ProblemName.BAD_REQUEST, detail))
        checked = _check_set(request.objects)
        if isinstance(checked, Failed):
            return Failed(checked.failure())
        command = Change(
            change_id=request.change_id,
            base=request.revision,
            objects=checked.unwrap(),
            author=author,
            time=time.time(),
        )
        outcome = await self._propose(command, request.change_id)
        return outcome.bind(
            lambda applied: _convert_change(applied, request.change_id)
        )

    async def drain(
        self, target: str, request: DrainRequest
    ) -> Result[DrainedDocument, Problem]:
        """Propose to send a target no new work until its agent restarts.

        :param target: name of the target
        :param request: incarnation of the agent to which the drain applies
        """
        command = Drain(target, request.incarnation, time.time())
        outcome = await self._propose(command)
        return outcome.bind(_convert_drain)

    @property
    def _state(self) -> State:
        return self.state_machine.state

    async def _wait_read_barrier(
        self, retry_duration: float
    ) -> Result[int, Failure]:
        end = read_clock() + retry_duration
        result = await self.replicator.read_barrier()
        while isinstance(result, Failed) and read_clock() < end:
            await asyncio.sleep(RETRY_INTERVAL)
            result = await self.replicator.read_barrier()
        return result

    async def _propose(
        self, command: Command, change_id: str = ''
    ) -> Result[Outcome, Problem]:
        result = await self.proposer.propose(
            encode_command(command), PROPOSE_RETRY_DURATION
        )
        if isinstance(result, Failed):
            failure = result.failure()
            is_unknown = failure.reason == UNKNOWN_OUTCOME
            problem = _convert_failure(
                ProblemName.UNKNOWN_OUTCOME
                if is_unknown
                else ProblemName.NO_QUORUM,
                failure,
            )
            return Failed(attrs.evolve(problem, change_id=change_id))
        decoded = OUTCOME_CODEC.decode(result.unwrap(), 'replicator')
        return decoded.alt(
            lambda failure: _convert_failure(ProblemName.INTERNAL, failure)
        )


def _check_set(
    objects: tuple[RawObject, ...],
) -> Result[ObjectSet, Problem]:
    return check_objects(objects).alt(
        lambda errors: make_problem(
            ProblemName.BAD_SET,
            f'the set has {len(errors)} errors; nothing was changed',
            step='check objects',
            errors=errors,
        )
    )


def _convert_failure(name: ProblemName, failure: Failure) -> Problem:
    return make_problem(
        name, failure.reason, step=failure.step, peer=failure.peer
    )


def _convert_change(
    outcome: Outcome, change_id: str
) -> Result[AcceptedDocument, Problem]:
    if isinstance(outcome, Accepted):
        return Success(AcceptedDocument(outcome.revision, change_id))
    if isinstance(outcome, Conflict):
        detail = (
            f'the change is based on revision {outcome.base}, but the '
            f'configuration is at revision {outcome.revision}'
        )
        return Failed(
            make_problem(
                ProblemName.CONFLICT,
                detail,
                step='apply change',
                conflict=outcome,
                change_id=change_id,
            )
        )
    if isinstance(outcome, ChangeIdReused):
        detail = (
            f'change id {change_id!r} belongs to a change with other objects'
        )
        return Failed(
            make_problem(
                ProblemName.CHANGE_ID_REUSED, detail, change_id=change_id
            )
        )
    return Failed(make_problem(ProblemName.INTERNAL, str(outcome)))


def _convert_drain(outcome: Outcome) -> Result[DrainedDocument, Problem]:
    if isinstance(outcome, Drained):
        return Success(DrainedDocument(outcome.target, outcome.revision))
    if isinstance(outcome, TargetUnknown):
        detail = (
            f'target {outcome.target!r} has restarted; its incarnation is '
            f'now {outcome.incarnation}'
            if outcome.incarnation
            else f'no target {outcome.target!r} is published'
        )
        return Failed(
            make_problem(
                ProblemName.NOT_FOUND,
                detail,
                step='drain target',
                peer=outcome.target,
            )
        )
    return Failed(make_problem(ProblemName.INTERNAL, str(outcome)))
