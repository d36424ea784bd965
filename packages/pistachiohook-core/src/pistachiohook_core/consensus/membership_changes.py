"""Founding of a cluster and changes of its membership, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .entries import EntryKind
from .entries import Membership
from .entries import parse_instance_name
from .entries import Snapshot
from .events import Retired
from .events import Send
from .messages import JoinRequest
from .messages import JoinResponse
from .replica import add_entry
from .replica import Role
from .replication import broadcast

if TYPE_CHECKING:
    from .replica import DynamicMembership
    from .replica import Replica

#: How many retired identities a membership remembers.
RETIRED_MAX = 64

#: Silence after which a learner is no longer kept, in seconds; one that only
#: restarts is back long before.
LEARNER_TIMEOUT = 30.0


def join_or_bootstrap(replica: Replica, now: float) -> None:
    """Ask to be let in, or found a cluster where nobody has one.

    A membership in the own log may never have been committed, so that a
    replica asks too when no leader sends it anything.
    """
    if _is_let_in(replica, now) or now < replica.join_at:
        return
    replica.join_at = now + replica.timing.heartbeat
    if not replica.cluster and _may_bootstrap(replica):
        _bootstrap(replica)
        return
    for instance in _other_instances(replica):
        message = JoinRequest(
            replica.cluster,
            replica.identity,
            '',
            replica.hard_state.term,
            replica.is_durable,
        )
        replica.outbox.append(Send(instance, message))


def receive_join(replica: Replica, message: JoinRequest) -> None:
    """Note who asks to be let in, and say whether there is a cluster."""
    retired = message.sender in replica.membership.retired
    instance = parse_instance_name(message.sender)
    if replica.role is Role.LEADER:
        known = (
            replica.dynamic_membership is not None
            or instance in replica.instances
        )
        own = instance == parse_instance_name(replica.identity)
        if known and not own:
            replica.join_requests[message.sender] = message.durable
    answer = JoinResponse(
        replica.cluster,
        replica.identity,
        message.sender,
        replica.hard_state.term,
        blank=not replica.cluster,
        retired=retired,
        instances=tuple(map(parse_instance_name, replica.membership.members)),
        durable=replica.is_durable,
    )
    replica.outbox.append(Send(instance, answer))


def receive_join_response(replica: Replica, message: JoinResponse) -> None:
    """Note which instances belong to no cluster."""
    instance = parse_instance_name(message.sender)
    if replica.dynamic_membership is not None:
        replica.discovered_instances.update(message.instances)
    if not message.durable:
        replica.diskless_instances.add(instance)
    if message.retired:
        replica.outbox.append(Retired())
    elif message.blank:
        replica.clusterless_instances.add(instance)
    else:
        replica.clusterless_instances.discard(instance)


def change_membership(replica: Replica, now: float) -> None:
    """Begin the next change when the last one is committed, as a leader."""
    log = replica.log
    changed_at, membership = log.find_membership(log.last_index)
    settled = changed_at <= replica.commit
    if not settled or log.find_term(replica.commit) != replica.hard_state.term:
        return
    changed = _find_change(replica, membership, now)
    if changed is not None:
        add_entry(replica, EntryKind.MEMBERSHIP, membership=changed)
        broadcast(replica, now)


def _is_let_in(replica: Replica, now: float) -> bool:
    member = replica.identity in replica.membership.members
    heard = now - replica.leader_contact_at < replica.timing.election_max
    return member and (heard or replica.role is Role.LEADER)


def _other_instances(replica: Replica) -> tuple[str, ...]:
    own = parse_instance_name(replica.identity)
    members = map(parse_instance_name, replica.membership.members)
    names = dict.fromkeys((*replica.instances, *members))
    further = sorted(replica.discovered_instances.difference(names))
    return tuple(name for name in (*names, *further) if name != own)


def _may_bootstrap(replica: Replica) -> bool:
    dynamic_membership = replica.dynamic_membership
    if dynamic_membership is not None and not (
        dynamic_membership.may_bootstrap and dynamic_membership.durable
    ):
        return False
    if not replica.clusterless_instances.issuperset(_other_instances(replica)):
        return False
    able = set(replica.instances).difference(replica.diskless_instances)
    return min(able) == parse_instance_name(replica.identity)


def _bootstrap(replica: Replica) -> None:
    membership = Membership(voters=(replica.identity,))
    replica.cluster = replica.identity
    replica.log.compact(Snapshot(membership=membership))
    replica.dirty = True
    replica.rewrite = True


def _find_change(
    replica: Replica, membership: Membership, now: float
) -> Membership | None:
    for joiner in tuple(replica.join_requests):
        durable = replica.join_requests.pop(joiner)
        if joiner in membership.members + membership.retired:
            continue
        if durable:
            return _add_learner(membership, joiner)
        return _add_observer(membership, joiner)
    for learner in membership.learners:
        if _is_caught_up(replica, learner, now) and not _is_taken(
            replica, learner, now
        ):
            taken_in = _take_in(membership, learner)
            if _has_room(replica, membership, taken_in):
                return taken_in
    if replica.dynamic_membership is None:
        return None
    return _drop_silent(replica, replica.dynamic_membership, membership, now)


def _has_room(
    replica: Replica, membership: Membership, changed: Membership
) -> bool:
    """Tell whether a change leaves no more voters than the cluster keeps."""
    if replica.dynamic_membership is None or len(changed.voters) < len(
        membership.voters
    ):
        return True
    return len(changed.voters) <= replica.dynamic_membership.voters


def _drop_silent(
    replica: Replica,
    dynamic_membership: DynamicMembership,
    membership: Membership,
    now: float,
) -> Membership | None:
    """Remove a silent voter that a learner can stand in for.

    Its identity is not retired: its disk is whole, as far as is known, and
    when it comes back it learns what it has missed.
    """
    standby = any(
        _is_caught_up(replica, learner, now) for learner in membership.learners
    )
    if standby and len(membership.voters) >= dynamic_membership.voters:
        silent = _list_silent(
            replica, membership.voters, replica.timing.election_max, now
        )
        if silent:
            voters = _leave_out(membership.voters, silent[:1])
            return attrs.evolve(membership, voters=voters)
    learning = membership.learners + membership.observers
    gone = _list_silent(replica, learning, LEARNER_TIMEOUT, now)
    if not gone:
        return None
    return attrs.evolve(
        membership,
        learners=_leave_out(membership.learners, gone),
        observers=_leave_out(membership.observers, gone),
    )


def _list_silent(
    replica: Replica, identities: tuple[str, ...], silence: float, now: float
) -> tuple[str, ...]:
    return tuple(
        identity
        for identity in identities
        if identity in replica.progress
        and now - replica.progress[identity].last_response_at > silence
    )


def _add_learner(membership: Membership, joiner: str) -> Membership:
    replaced = _find_former(membership.learners, joiner)
    kept = _leave_out(membership.learners, replaced)
    return attrs.evolve(
        membership,
        learners=(*kept, joiner),
        retired=_retire(membership, replaced),
    )


def _add_observer(membership: Membership, joiner: str) -> Membership:
    """Let an instance without a disk learn, as it has started now.

    Its former identities held nothing that counts and need no retirement.
    """
    former = _find_former(membership.observers, joiner)
    kept = _leave_out(membership.observers, former)
    return attrs.evolve(membership, observers=(*kept, joiner))


def _find_former(identities: tuple[str, ...], newest: str) -> tuple[str, ...]:
    """Return the identities of the instance that has a newer one."""
    instance = parse_instance_name(newest)
    return tuple(
        identity
        for identity in identities
        if parse_instance_name(identity) == instance
    )


def _leave_out(
    identities: tuple[str, ...], left_out: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(
        identity for identity in identities if identity not in left_out
    )


def _take_in(membership: Membership, learner: str) -> Membership:
    """Remove the instance's lost identity, or else let the new one vote."""
    lost = _find_former(membership.voters, learner)
    if lost:
        return attrs.evolve(
            membership,
            voters=_leave_out(membership.voters, lost),
            retired=_retire(membership, lost),
        )
    return attrs.evolve(
        membership,
        voters=(*membership.voters, learner),
        learners=_leave_out(membership.learners, (learner,)),
    )


def _retire(
    membership: Membership, identities: tuple[str, ...]
) -> tuple[str, ...]:
    return (membership.retired + identities)[-RETIRED_MAX:]


def _is_caught_up(replica: Replica, learner: str, now: float) -> bool:
    progress = replica.progress.get(learner)
    if progress is None:
        return False
    recent = now - progress.last_response_at <= replica.timing.election_min
    return recent and progress.match_index >= replica.commit


def _is_taken(replica: Replica, learner: str, now: float) -> bool:
    """Tell whether a voter of the same instance is still alive."""
    instance = parse_instance_name(learner)
    since = now - replica.timing.election_max
    return any(
        replica.progress[voter].last_response_at > since
        for voter in replica.membership.voters
        if parse_instance_name(voter) == instance
    )
