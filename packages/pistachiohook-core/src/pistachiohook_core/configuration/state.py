"""The replicated state, and the commands that change it."""

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
from ..published import PublishedState
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

#: How long the outcome of a change is stored, so that a retry with the same
#: change id gets the same outcome, in seconds.
OUTCOME_LIFETIME = 86_400.0

#: Number of newest outcomes that are stored regardless of their age, so that
#: a control instance whose clock is far ahead does not expire all of them.
OUTCOMES_KEPT = 1000

#: How long older incarnations of a removed node are rejected, in seconds.
FENCE_LIFETIME = 3600.0


@attrs.frozen
class ChangeRecord:
    """Stored outcome of a change, returned when the change is retried.

    :param digest: digest of the objects of the change
    :param time: state time at which the change was applied, in seconds since
        the epoch
    :param outcome: outcome as encoded by :data:`OUTCOME_CODEC`
    :param note: description of the change; ``None`` unless it was accepted
    """

    digest: bytes
    time: float
    outcome: bytes
    note: ChangeNote | None = None


@attrs.frozen
class Fence:
    """Lowest incarnation with which a removed node may join again.

    :param incarnation: lowest incarnation that is accepted
    :param time: when the node was removed, in seconds since the epoch
    """

    incarnation: int
    time: float


@attrs.frozen
class State:
    """The state that is replicated between the control instances.

    :param index: log index of the last applied command
    :param time: highest time of any applied command, in seconds since the
        epoch
    :param revision: newest published revision
    :param configuration: revision of the configuration, which is the
        published revision at which it was accepted
    :param objects: the configuration
    :param numbers: fencing numbers of the services by name
    :param following: next fencing number to assign; no service ever had it
    :param records: outcomes of changes by change id, oldest first
    :param members: announced nodes by name
    :param fences: fences of removed nodes by name, oldest first
    :param drained: incarnations of drained targets, by name of the target
    :param owners: name of the node that announces each target, by name of
        the target
    :param progress: revisions applied by the nodes of each control instance,
        by name of the control instance
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
    records: dict[str, ChangeRecord] = attrs.field(factory=dict)
    members: dict[str, Member] = attrs.field(factory=dict)
    fences: dict[str, Fence] = attrs.field(factory=dict)
    drained: dict[str, int] = attrs.field(factory=dict)
    owners: dict[str, str] = attrs.field(factory=dict)
    progress: dict[str, Progress] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    balancers: dict[str, Balancer] = attrs.field(factory=dict)


@attrs.frozen
class Transition:
    """Result of applying one command.

    :param state: the state after the command
    :param outcome: outcome that is returned to the proposer
    :param delta: change of what is published; ``None`` when nothing changed
    """

    state: State
    outcome: Outcome
    delta: Delta | None = None


def apply(state: State, index: int, command: Command) -> Transition:
    """Apply one command of the replicated log.

    :param state: the state before the command
    :param index: log index of the command
    :param command: the command
    """
    now = max(state.time, command.time)
    current = attrs.evolve(state, index=index, time=now)
    if isinstance(command, Change):
        return _apply_change(current, command)
    if isinstance(command, Members):
        return _apply_members(current, command)
    return _apply_drain(current, command)


def apply_encoded(state: State, index: int, data: bytes) -> Transition:
    """Decode and apply one command.

    A command that can't be decoded changes nothing but the index.
    """
    decoded = COMMAND_CODEC.decode(data, 'replicated log')
    if isinstance(decoded, Failed):
        outcome = Unreadable(str(decoded.failure()))
        return Transition(attrs.evolve(state, index=index), outcome)
    return apply(state, index, decoded.unwrap())


def encode_state(state: State) -> bytes:
    """Encode the state for a snapshot."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes, peer: str) -> Result[State, Failure]:
    """Decode a snapshot made by :func:`encode_state`.

    :param data: content of the snapshot
    :param peer: file or instance that the snapshot came from, for the failure
    """
    try:
        return Success(msgspec.msgpack.decode(data, type=State))
    except msgspec.MsgspecError as error:
        return Failed(Failure('decode snapshot', peer, str(error)))


def make_published(state: State) -> PublishedState:
    """Return everything that is published at the newest revision."""
    return PublishedState(
        revision=state.revision,
        configuration=state.configuration,
        services=_sort_values(state.services),
        targets=_sort_values(state.targets),
        balancers=_sort_values(state.balancers),
    )


def find_outcome(state: State, change_id: str) -> Outcome | None:
    """Return the outcome of a change, or ``None`` when it isn't stored."""
    record = state.records.get(change_id)
    return None if record is None else _decode_outcome(record)


def find_accepted_change(state: State, revision: int) -> ChangeNote | None:
    """Return the change accepted at a revision, or ``None`` if not stored."""
    notes = (record.note for record in reversed(state.records.values()))
    return next(
        (note for note in notes if note and note.revision == revision), None
    )


def _sort_values(items: dict[str, _Item]) -> tuple[_Item, ...]:
    return tuple(item for _, item in sorted(items.items()))


def _decode_outcome(record: ChangeRecord) -> Outcome:
    outcome: Outcome = OUTCOME_CODEC.decode(record.outcome, 'record').unwrap()
    return outcome


def _apply_change(state: State, change: Change) -> Transition:
    digest = blake2b(
        msgspec.msgpack.encode(change.objects), digest_size=16
    ).digest()
    known = state.records.get(change.change_id)
    if known is not None:
        same = known.digest == digest
        reused = ChangeIdReused(change.change_id)
        return Transition(state, _decode_outcome(known) if same else reused)
    if change.base != state.configuration:
        conflict = Conflict(
            change.base,
            state.configuration,
            _find_conflicting_change(state, change.base),
        )
        return Transition(
            _store_outcome(state, change, digest, conflict), conflict
        )
    changed = _replace_objects(state, change.objects)
    transition = _publish(state, changed, Accepted(changed.revision))
    note = ChangeNote(
        change_id=change.change_id,
        base=change.base,
        revision=changed.revision,
        author=change.author,
        time=change.time,
        changed=tuple(list_changed(state.objects, change.objects)),
    )
    recorded = _store_outcome(
        transition.state, change, digest, transition.outcome, note
    )
    return attrs.evolve(transition, state=recorded)


def _find_conflicting_change(state: State, base: int) -> ChangeNote | None:
    """Return the accepted change with a base, or else the newest one."""
    notes = [
        record.note
        for record in state.records.values()
        if record.note is not None
    ]
    same = [note for note in notes if note.base == base]
    return next(iter(same + notes[-1:]), None)


def _store_outcome(
    state: State,
    change: Change,
    digest: bytes,
    outcome: Outcome,
    note: ChangeNote | None = None,
) -> State:
    record = ChangeRecord(
        digest, state.time, OUTCOME_CODEC.encode(outcome), note
    )
    records = {**state.records, change.change_id: record}
    expired = [
        change_id
        for change_id, record in records.items()
        if record.time < state.time - OUTCOME_LIFETIME
    ]
    for change_id in expired[: max(0, len(records) - OUTCOMES_KEPT)]:
        del records[change_id]
    return attrs.evolve(state, records=records)


def _replace_objects(state: State, objects: ObjectSet) -> State:
    """Return the state at the next revision, with ``objects`` in place."""
    numbers = assign_numbers(objects, state.numbers, state.following)
    revision = state.revision + 1
    return attrs.evolve(
        state,
        revision=revision,
        configuration=revision,
        objects=objects,
        numbers=numbers,
        following=max(state.following, *(n + 1 for n in numbers.values()), 1),
        services=_copy_membership_fields(
            state.services, resolve_services(objects, numbers)
        ),
        targets={
            target.name: _apply_drained_state(state.drained, target)
            for target in _list_announced_targets(state)
            if is_admitted(objects, target)
        },
    )


def _copy_membership_fields(
    before: dict[str, Service], after: dict[str, Service]
) -> dict[str, Service]:
    """Return services with the membership fields that they had before.

    A service is identified by its fencing number, so that a service that was
    removed and added again under the same name starts with empty fields.
    """
    by_number = {one.number: one for one in before.values()}
    return {
        name: attrs.evolve(
            one,
            formed_at=by_number[one.number].formed_at,
            membership=by_number[one.number].membership,
        )
        if one.number in by_number
        else one
        for name, one in after.items()
    }


def _update_membership_fields(
    before: State, after: State, touched: AbstractSet[str] | None
) -> State:
    """Update ``membership`` and ``formed_at`` of the affected services.

    ``membership`` becomes the next revision for each service that a target
    joined or left or whose target restarted or changed its announcement;
    ``formed_at`` is set when the first target of a service is announced.

    :param touched: names of the targets that may differ; all when ``None``
    """
    names = touched
    if names is None:
        names = before.targets.keys() | after.targets.keys()
    pairs = (
        (before.targets.get(name), after.targets.get(name)) for name in names
    )
    changed = {
        target.service
        for pair in pairs
        if _strip_mutable_fields(pair[0]) != _strip_mutable_fields(pair[1])
        for target in pair
        if target is not None
    }
    updated = {
        name: attrs.evolve(
            after.services[name],
            membership=before.revision + 1,
            formed_at=after.services[name].formed_at or after.time,
        )
        for name in changed
        if name in after.services
    }
    if not updated:
        return after
    return attrs.evolve(after, services={**after.services, **updated})


def _strip_mutable_fields(target: Target | None) -> Target | None:
    """Return a target with its state and weight reset.

    These two change while a target is a member and are no membership change.
    """
    if target is None:
        return None
    return attrs.evolve(target, state=TargetState.SERVING, weight=0)


def _list_announced_targets(state: State) -> Iterable[Target]:
    return (
        target
        for name, node in state.owners.items()
        if (target := state.members[node].announcement.target) is not None
        and target.name == name
    )


def _apply_drained_state(drained: dict[str, int], target: Target) -> Target:
    if drained.get(target.name) != target.incarnation:
        return target
    return attrs.evolve(target, state=TargetState.DRAINING)


def _apply_drain(state: State, drain: Drain) -> Transition:
    target = state.targets.get(drain.target)
    if target is None:
        return Transition(state, TargetUnknown(drain.target))
    if target.incarnation != drain.incarnation:
        unknown = TargetUnknown(drain.target, target.incarnation)
        return Transition(state, unknown)
    drained = {**state.drained, drain.target: drain.incarnation}
    targets = {
        **state.targets,
        drain.target: _apply_drained_state(drained, target),
    }
    after = attrs.evolve(state, drained=drained, targets=targets)
    touched = frozenset((drain.target,))
    transition = _publish(state, after, Noted(state.revision), touched)
    outcome = Drained(drain.target, transition.state.revision)
    return attrs.evolve(transition, outcome=outcome)


def _apply_members(state: State, command: Members) -> Transition:
    progress = {**state.progress, command.holder: command.progress}
    after = attrs.evolve(state, progress=progress)
    touched: set[str] = set()
    if command.announced or command.departed:
        draft = _MembershipDraft.copy(after)
        for departure in command.departed:
            draft.withdraw(departure)
        for announcement in command.announced:
            draft.announce(announcement, command.holder)
        after = draft.make_state()
        touched = draft.touched
    transition = _publish(state, after, Noted(state.revision), touched)
    return attrs.evolve(transition, outcome=Noted(transition.state.revision))


@attrs.define
class _MembershipDraft:
    """Mutable copies of the state that a membership command changes.

    :param state: the state before the command
    :param touched: names of the targets and balancers that may have changed
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
    def copy(cls, state: State) -> _MembershipDraft:
        """Return a draft with copies of a state's members and targets."""
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
        """Add or update a node, unless its incarnation is fenced.

        A target that another node already announces is left out.

        :param announcement: the announcement of the node
        :param holder: control instance that keeps the lease of the node
        """
        node = announcement.node
        known = self.members.get(node)
        if announcement.incarnation < self._get_fenced_incarnation(node):
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
        """Remove and fence a node, unless it moved or restarted since.

        A node that left by itself may not return under the same incarnation;
        a node whose lease has expired may.

        :param departure: the node, and why it is removed
        """
        node = departure.node
        known = self.members.get(node)
        lowest = departure.incarnation + departure.left
        if known is not None:
            superseded = (
                known.incarnation > departure.incarnation
                if departure.left
                else known.incarnation != departure.incarnation
                or known.holder != departure.holder
            )
            if superseded:
                return
            self._unpublish(known)
            del self.members[node]
        self._fence(node, lowest)

    def make_state(self) -> State:
        """Return the state with the changes of the draft."""
        return attrs.evolve(
            self.state,
            members=self.members,
            fences=self.fences,
            drained=self.drained,
            owners=self.owners,
            targets=self.targets,
            balancers=self.balancers,
        )

    def _get_fenced_incarnation(self, node: str) -> int:
        fence = self.fences.get(node)
        return 0 if fence is None else fence.incarnation

    def _fence(self, node: str, lowest: int) -> None:
        now = self.state.time
        lowest = max(lowest, self._get_fenced_incarnation(node))
        self.fences.pop(node, None)
        self.fences[node] = Fence(lowest, now)
        expired = takewhile(
            lambda name: self.fences[name].time < now - FENCE_LIFETIME,
            tuple(self.fences),
        )
        for name in tuple(expired):
            del self.fences[name]

    def _publish(self, member: Member) -> None:
        self._mark_touched(member)
        target = member.announcement.target
        if target is not None:
            self.owners[target.name] = member.node
            if self.drained.get(target.name) != target.incarnation:
                self.drained.pop(target.name, None)
            if is_admitted(self.state.objects, target):
                published_target = _apply_drained_state(self.drained, target)
                self.targets[target.name] = published_target
        balancer = member.announcement.balancer
        if balancer is not None:
            self.balancers[balancer.name] = balancer

    def _unpublish(self, member: Member) -> None:
        self._mark_touched(member)
        target = member.announcement.target
        if target is not None:
            self.owners.pop(target.name, None)
            self.targets.pop(target.name, None)
        balancer = member.announcement.balancer
        if balancer is not None:
            self.balancers.pop(balancer.name, None)

    def _mark_touched(self, member: Member) -> None:
        target = member.announcement.target
        balancer = member.announcement.balancer
        self.touched |= {one.name for one in (target, balancer) if one}


def _publish(
    before: State,
    after: State,
    outcome: Outcome,
    touched: AbstractSet[str] | None = None,
) -> Transition:
    """Publish a new revision when the published objects have changed.

    :param before: the state before the command
    :param after: the state after the command
    :param outcome: outcome of the command
    :param touched: names of the targets and balancers that may differ; all
        when ``None``
    """
    after = _update_membership_fields(before, after, touched)
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
        return Transition(after, outcome)
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
    return Transition(state, outcome, delta)


def _compare(
    before: dict[str, _Item],
    after: dict[str, _Item],
    touched: AbstractSet[str] | None = None,
) -> tuple[tuple[_Item, ...], tuple[str, ...]]:
    """Return the items added or changed, and the names of those removed."""
    if before is after:
        return (), ()
    names = before.keys() | after.keys() if touched is None else touched
    changed = tuple(
        after[name]
        for name in sorted(names)
        if name in after and before.get(name) != after[name]
    )
    removed = tuple(
        name for name in sorted(names) if name in before and name not in after
    )
    return changed, removed
