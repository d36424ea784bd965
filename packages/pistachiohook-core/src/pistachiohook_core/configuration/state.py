"""The replicated state, and how each command changes it."""

from __future__ import annotations

from hashlib import blake2b
from itertools import takewhile
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import msgspec
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..failures import Failure
from ..membership.members import Member
from ..membership.members import Progress
from ..published import Balancer
from ..published import Delta
from ..published import Published
from ..published import Service
from ..published import Target
from ..published import TargetState
from .commands import Accepted
from .commands import Change
from .commands import ChangeIdReused
from .commands import ChangeNote
from .commands import Command
from .commands import COMMAND_CODEC
from .commands import Conflict
from .commands import Drain
from .commands import Drained
from .commands import Members
from .commands import Noted
from .commands import Outcome
from .commands import OUTCOME_CODEC
from .commands import TargetUnknown
from .commands import Unreadable
from .objects import ObjectSet
from .resolution import assign_numbers
from .resolution import is_admitted
from .resolution import list_changed
from .resolution import resolve_services

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

    from ..membership.members import Announcement
    from ..membership.members import Departure

_Item = TypeVar('_Item')

#: How long a resend of a change gets the first outcome, in seconds.
OUTCOME_LIFETIME = 86_400.0

#: Newest outcomes that are kept however old they are, so that a clock far
#: ahead on one control instance does not make the others forget them.
OUTCOMES_KEPT = 1000

#: How long the incarnation of a node that is gone stays fenced, in seconds.
FENCE_LIFETIME = 3600.0


@attrs.frozen
class Record:
    """The first outcome of a change.

    :param digest: of the objects of the change
    :param time: of the state when it was applied, in seconds since the epoch
    :param outcome: as :data:`OUTCOME_CODEC` encodes it
    :param note: the change, when it was accepted
    """

    digest: bytes
    time: float
    outcome: bytes
    note: ChangeNote | None = None


@attrs.frozen
class Fence:
    """Least incarnation that a node which is gone may come back with."""

    incarnation: int
    time: float


@attrs.frozen
class State:
    """All that the control instances agree on.

    :param index: of the last command in the replicated log
    :param time: largest time of any command, in seconds since the epoch
    :param revision: published revision
    :param configuration: revision of the configuration
    :param objects: the configuration
    :param numbers: fencing numbers of the services by name
    :param following: first fencing number that was never given
    :param records: first outcomes by change id, oldest first
    :param members: announced nodes by name
    :param fences: nodes that are gone, oldest first
    :param drained: incarnations of drained targets, by name of the target
    :param owners: node that announces each target, by name of the target
    :param progress: what the nodes of each control instance apply
    :param services: published services by name
    :param targets: published targets by name
    :param balancers: published balancers by name
    """

    index: int = 0
    time: float = 0.0
    revision: int = 0
    configuration: int = 0
    objects: ObjectSet = attrs.field(factory=ObjectSet)
    numbers: dict[str, int] = attrs.field(factory=dict)
    following: int = 1
    records: dict[str, Record] = attrs.field(factory=dict)
    members: dict[str, Member] = attrs.field(factory=dict)
    fences: dict[str, Fence] = attrs.field(factory=dict)
    drained: dict[str, int] = attrs.field(factory=dict)
    owners: dict[str, str] = attrs.field(factory=dict)
    progress: dict[str, Progress] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    balancers: dict[str, Balancer] = attrs.field(factory=dict)


@attrs.frozen
class Step:
    """What one command has done.

    :param state: the state afterwards
    :param outcome: what the proposer is told
    :param delta: what is published, when something is
    """

    state: State
    outcome: Outcome
    delta: Delta | None = None


def apply(state: State, index: int, command: Command) -> Step:
    """Apply one command of the replicated log.

    :param state: the state before
    :param index: place of the command in the log
    :param command: what to do
    """
    now = max(state.time, command.time)
    moved = attrs.evolve(state, index=index, time=now)
    if isinstance(command, Change):
        return _apply_change(moved, command)
    if isinstance(command, Members):
        return _apply_members(moved, command)
    return _apply_drain(moved, command)


def apply_encoded(state: State, index: int, data: bytes) -> Step:
    """Decode and apply one command; what can't be decoded changes nothing."""
    decoded = COMMAND_CODEC.decode(data, 'replicated log')
    if isinstance(decoded, Failed):
        outcome = Unreadable(str(decoded.failure()))
        return Step(attrs.evolve(state, index=index), outcome)
    return apply(state, index, decoded.unwrap())


def encode_state(state: State) -> bytes:
    """Encode the state for a snapshot."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes, peer: str) -> Result[State, Failure]:
    """Decode what :func:`encode_state` made.

    :param data: content of the snapshot
    :param peer: file or instance that the snapshot came from
    """
    try:
        return Success(msgspec.msgpack.decode(data, type=State))
    except msgspec.MsgspecError as error:
        return Failed(Failure('decode snapshot', peer, str(error)))


def make_published(state: State) -> Published:
    """Return everything that is published, as of the newest revision."""
    return Published(
        revision=state.revision,
        configuration=state.configuration,
        services=_sort_values(state.services),
        targets=_sort_values(state.targets),
        balancers=_sort_values(state.balancers),
    )


def find_record(state: State, change_id: str) -> Outcome | None:
    """Return the first outcome of a change, when it is still kept."""
    record = state.records.get(change_id)
    return None if record is None else _decode_outcome(record)


def find_note(state: State, revision: int) -> ChangeNote | None:
    """Return the change that was accepted at a revision, if still kept."""
    notes = (record.note for record in reversed(state.records.values()))
    return next(
        (note for note in notes if note and note.revision == revision), None
    )


def _sort_values(items: dict[str, _Item]) -> tuple[_Item, ...]:
    return tuple(item for _, item in sorted(items.items()))


def _decode_outcome(record: Record) -> Outcome:
    outcome: Outcome = OUTCOME_CODEC.decode(record.outcome, 'record').unwrap()
    return outcome


def _apply_change(state: State, change: Change) -> Step:
    digest = blake2b(
        msgspec.msgpack.encode(change.objects), digest_size=16
    ).digest()
    known = state.records.get(change.change_id)
    if known is not None:
        same = known.digest == digest
        reused = ChangeIdReused(change.change_id)
        return Step(state, _decode_outcome(known) if same else reused)
    if change.base != state.configuration:
        conflict = Conflict(
            change.base, state.configuration, _find_winner(state, change.base)
        )
        return Step(_record(state, change, digest, conflict), conflict)
    changed = _replace_objects(state, change.objects)
    step = _publish(state, changed, Accepted(changed.revision))
    note = ChangeNote(
        change_id=change.change_id,
        base=change.base,
        revision=changed.revision,
        author=change.author,
        time=change.time,
        changed=tuple(list_changed(state.objects, change.objects)),
    )
    recorded = _record(step.state, change, digest, step.outcome, note)
    return attrs.evolve(step, state=recorded)


def _find_winner(state: State, base: int) -> ChangeNote | None:
    notes = [
        record.note
        for record in state.records.values()
        if record.note is not None
    ]
    same = [note for note in notes if note.base == base]
    return next(iter(same + notes[-1:]), None)


def _record(
    state: State,
    change: Change,
    digest: bytes,
    outcome: Outcome,
    note: ChangeNote | None = None,
) -> State:
    record = Record(digest, state.time, OUTCOME_CODEC.encode(outcome), note)
    records = {**state.records, change.change_id: record}
    old = [
        change_id
        for change_id, record in records.items()
        if record.time < state.time - OUTCOME_LIFETIME
    ]
    for change_id in old[: max(0, len(records) - OUTCOMES_KEPT)]:
        del records[change_id]
    return attrs.evolve(state, records=records)


def _replace_objects(state: State, objects: ObjectSet) -> State:
    """Return the state at the next revision with other objects."""
    numbers = assign_numbers(objects, state.numbers, state.following)
    revision = state.revision + 1
    return attrs.evolve(
        state,
        revision=revision,
        configuration=revision,
        objects=objects,
        numbers=numbers,
        following=max(state.following, *(n + 1 for n in numbers.values()), 1),
        services=_keep_formation(
            state.services, resolve_services(objects, numbers)
        ),
        targets={
            target.name: _mark_drained(state.drained, target)
            for target in _list_targets(state)
            if is_admitted(objects, target)
        },
    )


def _keep_formation(
    before: dict[str, Service], after: dict[str, Service]
) -> dict[str, Service]:
    known = {one.number: one for one in before.values()}
    return {
        name: attrs.evolve(
            one,
            formed_at=known[one.number].formed_at,
            membership=known[one.number].membership,
        )
        if one.number in known
        else one
        for name, one in after.items()
    }


def _note_membership(
    before: State, after: State, touched: AbstractSet[str] | None
) -> State:
    """Note which services have other targets, and which their first."""
    names = touched
    if names is None:
        names = before.targets.keys() | after.targets.keys()
    pairs = (
        (before.targets.get(name), after.targets.get(name)) for name in names
    )
    changed = {
        target.service
        for pair in pairs
        if _identify(pair[0]) != _identify(pair[1])
        for target in pair
        if target is not None
    }
    noted = {
        name: attrs.evolve(
            after.services[name],
            membership=before.revision + 1,
            formed_at=after.services[name].formed_at or after.time,
        )
        for name in changed
        if name in after.services
    }
    if not noted:
        return after
    return attrs.evolve(after, services={**after.services, **noted})


def _identify(target: Target | None) -> Target | None:
    """Return a target without what may change while it is a member."""
    if target is None:
        return None
    return attrs.evolve(target, state=TargetState.SERVING, weight=0)


def _list_targets(state: State) -> Iterable[Target]:
    return (
        target
        for name, node in state.owners.items()
        if (target := state.members[node].announcement.target) is not None
        and target.name == name
    )


def _mark_drained(drained: dict[str, int], target: Target) -> Target:
    if drained.get(target.name) != target.incarnation:
        return target
    return attrs.evolve(target, state=TargetState.DRAINING)


def _apply_drain(state: State, drain: Drain) -> Step:
    target = state.targets.get(drain.target)
    if target is None:
        return Step(state, TargetUnknown(drain.target))
    if target.incarnation != drain.incarnation:
        unknown = TargetUnknown(drain.target, target.incarnation)
        return Step(state, unknown)
    drained = {**state.drained, drain.target: drain.incarnation}
    targets = {**state.targets, drain.target: _mark_drained(drained, target)}
    after = attrs.evolve(state, drained=drained, targets=targets)
    touched = frozenset((drain.target,))
    step = _publish(state, after, Noted(state.revision), touched)
    outcome = Drained(drain.target, step.state.revision)
    return attrs.evolve(step, outcome=outcome)


def _apply_members(state: State, command: Members) -> Step:
    progress = {**state.progress, command.holder: command.progress}
    after = attrs.evolve(state, progress=progress)
    touched: set[str] = set()
    if command.announced or command.departed:
        draft = _Draft.copy(after)
        for departure in command.departed:
            draft.withdraw(departure)
        for announcement in command.announced:
            draft.announce(announcement, command.holder)
        after = draft.make_state()
        touched = draft.touched
    step = _publish(state, after, Noted(state.revision), touched)
    return attrs.evolve(step, outcome=Noted(step.state.revision))


@attrs.define
class _Draft:
    """Copies of what a change of the members touches.

    :param touched: names of the targets and balancers that may differ
    """

    state: State
    members: dict[str, Member]
    fences: dict[str, Fence]
    drained: dict[str, int]
    owners: dict[str, str]
    targets: dict[str, Target]
    balancers: dict[str, Balancer]
    touched: set[str] = attrs.field(factory=set)

    @classmethod
    def copy(cls, state: State) -> _Draft:
        """Return a draft that starts from a state."""
        return cls(
            state=state,
            members=dict(state.members),
            fences=dict(state.fences),
            drained=dict(state.drained),
            owners=dict(state.owners),
            targets=dict(state.targets),
            balancers=dict(state.balancers),
        )

    def announce(self, announcement: Announcement, holder: str) -> None:
        """Take what a node tells, unless it is fenced."""
        node = announcement.node
        known = self.members.get(node)
        if announcement.incarnation < self._find_fence(node):
            return
        if known is not None:
            if known.incarnation > announcement.incarnation:
                return
            self._unpublish(known)
        self.fences.pop(node, None)
        target = announcement.target
        if target is not None and target.name in self.owners:
            announcement = attrs.evolve(announcement, target=None)
        member = Member(holder, announcement)
        self.members[node] = member
        self._publish(member)

    def withdraw(self, departure: Departure) -> None:
        """Take a node out, unless it moved or started again since."""
        node = departure.node
        known = self.members.get(node)
        least = departure.incarnation + departure.left
        if known is not None:
            stays = (
                known.incarnation > departure.incarnation
                if departure.left
                else known.incarnation != departure.incarnation
                or known.holder != departure.holder
            )
            if stays:
                return
            self._unpublish(known)
            del self.members[node]
        self._fence(node, least)

    def make_state(self) -> State:
        """Return the state afterwards."""
        return attrs.evolve(
            self.state,
            members=self.members,
            fences=self.fences,
            drained=self.drained,
            owners=self.owners,
            targets=self.targets,
            balancers=self.balancers,
        )

    def _find_fence(self, node: str) -> int:
        fence = self.fences.get(node)
        return 0 if fence is None else fence.incarnation

    def _fence(self, node: str, least: int) -> None:
        now = self.state.time
        least = max(least, self._find_fence(node))
        self.fences.pop(node, None)
        self.fences[node] = Fence(least, now)
        old = takewhile(
            lambda name: self.fences[name].time < now - FENCE_LIFETIME,
            tuple(self.fences),
        )
        for name in tuple(old):
            del self.fences[name]

    def _publish(self, member: Member) -> None:
        self._touch(member)
        target = member.announcement.target
        if target is not None:
            self.owners[target.name] = member.node
            if self.drained.get(target.name) != target.incarnation:
                self.drained.pop(target.name, None)
            if is_admitted(self.state.objects, target):
                marked = _mark_drained(self.drained, target)
                self.targets[target.name] = marked
        balancer = member.announcement.balancer
        if balancer is not None:
            self.balancers[balancer.name] = balancer

    def _unpublish(self, member: Member) -> None:
        self._touch(member)
        target = member.announcement.target
        if target is not None:
            self.owners.pop(target.name, None)
            self.targets.pop(target.name, None)
        balancer = member.announcement.balancer
        if balancer is not None:
            self.balancers.pop(balancer.name, None)

    def _touch(self, member: Member) -> None:
        target = member.announcement.target
        balancer = member.announcement.balancer
        self.touched |= {one.name for one in (target, balancer) if one}


def _publish(
    before: State,
    after: State,
    outcome: Outcome,
    touched: AbstractSet[str] | None = None,
) -> Step:
    """Compare what is published, and count a revision when it differs.

    :param touched: names of the targets and balancers that may differ; all
        when left out
    """
    after = _note_membership(before, after, touched)
    services, gone_services = _compare(before.services, after.services)
    targets, gone_targets = _compare(before.targets, after.targets, touched)
    balancers, gone_balancers = _compare(
        before.balancers, after.balancers, touched
    )
    differs = any(
        (
            after.configuration != before.configuration,
            services,
            gone_services,
            targets,
            gone_targets,
            balancers,
            gone_balancers,
        )
    )
    if not differs:
        return Step(after, outcome)
    state = attrs.evolve(after, revision=before.revision + 1)
    delta = Delta(
        base=before.revision,
        revision=state.revision,
        configuration=state.configuration,
        services=services,
        targets=targets,
        balancers=balancers,
        gone_services=gone_services,
        gone_targets=gone_targets,
        gone_balancers=gone_balancers,
    )
    return Step(state, outcome, delta)


def _compare(
    before: dict[str, _Item],
    after: dict[str, _Item],
    touched: AbstractSet[str] | None = None,
) -> tuple[tuple[_Item, ...], tuple[str, ...]]:
    """Return the items that are new or changed, and the names gone."""
    if before is after:
        return (), ()
    names = before.keys() | after.keys() if touched is None else touched
    changed = tuple(
        after[name]
        for name in sorted(names)
        if name in after and before.get(name) != after[name]
    )
    gone = tuple(
        name for name in sorted(names) if name in before and name not in after
    )
    return changed, gone
