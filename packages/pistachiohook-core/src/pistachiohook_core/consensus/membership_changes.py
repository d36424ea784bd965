"""Bootstrap of a cluster, and changes of its membership, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .bootstrap import asks_nomination
from .bootstrap import bootstrap
from .bootstrap import may_bootstrap
from .bootstrap import nominate
from .bootstrap import nominate_self
from .bootstrap import record_nomination
from .departure import list_departing
from .entries import compute_quorum
from .entries import EntryKind
from .entries import Membership
from .entries import parse_instance_name
from .events import Retired
from .events import Send
from .messages import JoinRequest
from .messages import JoinResponse
from .replica import add_entry
from .replica import become_follower
from .replica import Role
from .replication import begin_heartbeat_round

if TYPE_CHECKING:
    from .replica import Replica

#: Largest number of retired identities in a membership; the oldest are
#: dropped first.
RETIRED_MAX = 64

#: Time without a response after which a learner or observer is removed, in
#: seconds; a restart takes much less.
LEARNER_TIMEOUT = 30.0


def join_or_bootstrap(replica: Replica, now: float) -> None:
    """Ask to join the cluster, or bootstrap one when there is none.

    Does nothing on a member that hears from a leader. A member that doesn't
    asks too: the entry by which it was admitted may never have been committed.
    """
    if _is_active_member(replica, now) or now < replica.join_at:
        return
    replica.join_at = now + replica.timing.heartbeat
    nominate_self(replica)
    others = _other_instances(replica)
    if may_bootstrap(replica, others):
        bootstrap(replica)
        return
    for instance in others:
        message = JoinRequest(
            replica.cluster,
            replica.identity,
            '',
            replica.hard_state.term,
            replica.is_durable,
            replica.join_number,
            asks_nomination(replica, instance),
        )
        replica.outbox.append(Send(instance, message))


def receive_join(replica: Replica, message: JoinRequest) -> None:
    """Answer a join request; as the leader, record it for admission.

    An instance that is not in the settings is recorded only with dynamic
    membership.
    """
    nominate(replica, message)
    retired = message.sender in replica.membership.retired
    instance = parse_instance_name(message.sender)
    if replica.role is Role.LEADER:
        allowed = (
            replica.dynamic_membership is not None
            or instance in replica.instances
        )
        own = instance == parse_instance_name(replica.identity)
        if allowed and not own:
            replica.join_requests[message.sender] = message.durable
        # A voter that asked to leave has restarted.
        replica.departures.pop(message.sender, None)
    response = JoinResponse(
        replica.cluster,
        replica.identity,
        message.sender,
        replica.hard_state.term,
        blank=not replica.cluster,
        retired=retired,
        instances=_list_nominee_and_members(replica),
        number=message.number,
        nominee=replica.nominee,
    )
    replica.outbox.append(Send(instance, response))


def receive_join_response(replica: Replica, message: JoinResponse) -> None:
    """Record what a response tells about other instances.

    Reports when the replica's own identity is retired.
    """
    instance = parse_instance_name(message.sender)
    if replica.dynamic_membership is not None:
        replica.discovered_instances.update(message.instances)
    record_nomination(replica, message)
    if message.retired:
        replica.outbox.append(Retired())
    elif message.blank:
        replica.clusterless_instances.add(instance)
    else:
        replica.clusterless_instances.discard(instance)
    if message.number == replica.join_number:
        _record_lost_voters(replica, message)


def _record_lost_voters(replica: Replica, message: JoinResponse) -> None:
    """Record the voters whose instance has responded under a new identity.

    An instance that has joined again, but not as far as this replica knows,
    proves nothing: the membership here may be out of date.
    """
    if not message.blank and message.sender not in replica.membership.members:
        return
    lost = set(
        _find_predecessors(replica.membership.all_voters, message.sender)
    ).difference({message.sender})
    replica.lost_voters |= lost
    _, committed = replica.log.find_membership(replica.commit)
    if message.sender in committed.members:
        replica.superseded_voters |= lost


def change_membership(replica: Replica, now: float) -> None:
    """Propose the next change of the membership, as the leader.

    A change of the voters is made by joint consensus: until
    :func:`complete_change` ends it, a quorum of the former voters is needed
    beside one of the new ones, so that no voter that survives can take an
    older membership for the newest.
    """
    if replica.recovering:
        _drop_lost_voters(replica, now)
        return
    if not _may_change(replica) or replica.membership.former_voters:
        return
    new_membership = _find_change(replica, replica.membership, now)
    if new_membership is not None and _is_supported(
        replica, new_membership, now
    ):
        _propose_membership(replica, new_membership, now)


def complete_change(replica: Replica, now: float) -> None:
    """End a change of the voters, as the leader, once it is committed.

    A leader that the change has removed then steps down.
    """
    membership = replica.membership
    if replica.identity in membership.voters and not membership.former_voters:
        return
    if not _may_change(replica):
        return
    if membership.former_voters:
        new_membership = attrs.evolve(membership, former_voters=())
        _propose_membership(replica, new_membership, now)
    else:
        replica.departed = replica.leaving
        become_follower(replica, replica.hard_state.term, '', now)


def _may_change(replica: Replica) -> bool:
    """Tell whether the last change of the membership is committed.

    An entry of the leader's own term must be, too: otherwise quorums of the
    old and the new membership might not overlap.
    """
    log = replica.log
    changed_at, _ = log.find_membership(log.last_index)
    return (
        changed_at <= replica.commit
        and log.find_term(replica.commit) == replica.hard_state.term
    )


def _is_supported(
    replica: Replica, membership: Membership, now: float
) -> bool:
    """Tell whether a quorum of new voters has responded just now.

    Otherwise the change could not be committed, and no other one before it.
    """
    if (
        replica.dynamic_membership is None
        or membership.voters == replica.membership.voters
    ):
        return True
    since = now - 2 * replica.timing.heartbeat
    responding = {
        identity
        for identity, progress in replica.progress.items()
        if progress.last_response_at >= since
    } | {replica.identity}
    return len(responding.intersection(membership.voters)) >= compute_quorum(
        membership.voters
    )


def _propose_membership(
    replica: Replica, membership: Membership, now: float
) -> None:
    add_entry(replica, EntryKind.MEMBERSHIP, membership=membership)
    begin_heartbeat_round(replica, now)


def _drop_lost_voters(replica: Replica, now: float) -> None:
    """Let the surviving voters alone form the quorum.

    A change by joint consensus isn't possible: the quorum that would have to
    accept it is lost. So many of the surviving voters have elected this leader
    that no other one can be elected without them. When these were all, a
    change of the voters in progress ends, too.
    """
    membership = replica.membership
    lost = tuple(replica.lost_voters.intersection(membership.all_voters))
    voters = _exclude(membership.voters, lost)
    former_voters = _exclude(membership.former_voters, lost)
    if replica.must_recover:
        voters, former_voters = replica.surviving_voters, ()
    new_membership = attrs.evolve(
        membership,
        voters=voters,
        former_voters=former_voters,
        retired=_retire(membership, lost),
    )
    replica.recovering = False
    replica.lost_voters.clear()
    replica.superseded_voters.clear()
    _propose_membership(replica, new_membership, now)


def _is_active_member(replica: Replica, now: float) -> bool:
    """Tell whether this replica is a member that hears a leader, or leads."""
    member = replica.identity in replica.membership.members
    has_leader = now - replica.leader_contact_at < replica.timing.election_max
    return member and (has_leader or replica.role is Role.LEADER)


def _list_nominee_and_members(replica: Replica) -> tuple[str, ...]:
    """Return the names of the nominee's instance and of all members."""
    identities = (replica.nominee, *replica.membership.members)
    return tuple(
        dict.fromkeys(map(parse_instance_name, filter(None, identities)))
    )


def _other_instances(replica: Replica) -> tuple[str, ...]:
    own = parse_instance_name(replica.identity)
    members = _list_nominee_and_members(replica)
    names = dict.fromkeys((*replica.instances, *members))
    discovered = sorted(replica.discovered_instances.difference(names))
    return tuple(name for name in (*names, *discovered) if name != own)


def _find_change(
    replica: Replica, membership: Membership, now: float
) -> Membership | None:
    """Return the next membership; ``None`` when no change is due.

    Admissions come first, then promotions of learners and, with dynamic
    membership, removals of voters and of learners.
    """
    for joiner in tuple(replica.join_requests):
        durable = replica.join_requests.pop(joiner)
        if joiner in membership.members + membership.retired:
            continue
        if durable:
            return _add_learner(membership, joiner)
        return _add_observer(membership, joiner)
    for learner in membership.learners:
        if _is_caught_up(replica, learner, now) and not _has_live_voter(
            replica, learner, now
        ):
            promoted = _promote_learner(replica, membership, learner, now)
            if promoted is not None:
                return promoted
    if replica.dynamic_membership is None:
        return None
    return _remove_voters(replica, membership, now) or _remove_expired(
        replica, membership, now
    )


def _remove_voters(
    replica: Replica, membership: Membership, now: float
) -> Membership | None:
    """Remove the voters that are gone and not needed for the tolerance.

    Their identities are not retired: they can join again.
    """
    assert replica.dynamic_membership is not None
    surplus = len(membership.voters) - replica.dynamic_membership.voters
    removed = _list_gone_voters(replica, now)[: max(0, surplus)]
    if not removed:
        return None
    return attrs.evolve(
        membership,
        voters=_exclude(membership.voters, removed),
        former_voters=membership.voters,
    )


def _list_gone_voters(replica: Replica, now: float) -> tuple[str, ...]:
    """Return the voters that do not respond or are about to stop."""
    unresponsive = _list_unresponsive(
        replica, replica.membership.voters, replica.timing.election_max, now
    )
    departing = list_departing(replica, now)
    return tuple(dict.fromkeys(unresponsive + departing))


def _remove_expired(
    replica: Replica, membership: Membership, now: float
) -> Membership | None:
    """Remove all learners and observers that have not responded for long."""
    non_voters = membership.learners + membership.observers
    expired = _list_unresponsive(replica, non_voters, LEARNER_TIMEOUT, now)
    if not expired:
        return None
    return attrs.evolve(
        membership,
        learners=_exclude(membership.learners, expired),
        observers=_exclude(membership.observers, expired),
    )


def _list_unresponsive(
    replica: Replica, identities: tuple[str, ...], timeout: float, now: float
) -> tuple[str, ...]:
    return tuple(
        identity
        for identity in identities
        if identity in replica.progress
        and now - replica.progress[identity].last_response_at > timeout
    )


def _add_learner(membership: Membership, joiner: str) -> Membership:
    replaced = _find_predecessors(membership.learners, joiner)
    kept = _exclude(membership.learners, replaced)
    return attrs.evolve(
        membership,
        learners=(*kept, joiner),
        retired=_retire(membership, replaced),
    )


def _add_observer(membership: Membership, joiner: str) -> Membership:
    """Add an instance without a disk, in place of its former identities.

    Those have never voted, so they need not be retired.
    """
    former = _find_predecessors(membership.observers, joiner)
    kept = _exclude(membership.observers, former)
    return attrs.evolve(membership, observers=(*kept, joiner))


def _find_predecessors(
    identities: tuple[str, ...], newest: str
) -> tuple[str, ...]:
    """Return those identities that belong to the instance of a newer one."""
    instance = parse_instance_name(newest)
    return tuple(
        identity
        for identity in identities
        if parse_instance_name(identity) == instance
    )


def _exclude(
    identities: tuple[str, ...], excluded: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(
        identity for identity in identities if identity not in excluded
    )


def _promote_learner(
    replica: Replica, membership: Membership, learner: str, now: float
) -> Membership | None:
    """Return the membership in which a learner votes; ``None`` if it can't.

    It replaces the former identity of its instance. When there is none, it is
    added, or replaces a voter that is gone when there are enough voters. The
    identity of that one is not retired, because its disk may be intact: when
    it is back, it can join again as a learner and catch up.
    """
    former = _find_predecessors(membership.voters, learner)
    replaced = former
    dynamic_membership = replica.dynamic_membership
    if not former and dynamic_membership is not None:
        if len(membership.voters) >= dynamic_membership.voters:
            replaced = _list_gone_voters(replica, now)[:1]
        if (
            not replaced
            and len(membership.voters) >= dynamic_membership.voters_max
        ):
            return None
    return attrs.evolve(
        membership,
        voters=(*_exclude(membership.voters, replaced), learner),
        former_voters=membership.voters,
        learners=_exclude(membership.learners, (learner,)),
        retired=_retire(membership, former),
    )


def _retire(
    membership: Membership, identities: tuple[str, ...]
) -> tuple[str, ...]:
    return (membership.retired + identities)[-RETIRED_MAX:]


def _is_caught_up(replica: Replica, learner: str, now: float) -> bool:
    """Tell whether a learner responds and holds all committed entries."""
    progress = replica.progress.get(learner)
    if progress is None:
        return False
    recent = now - progress.last_response_at <= replica.timing.election_min
    return recent and progress.match_index >= replica.commit


def _has_live_voter(replica: Replica, learner: str, now: float) -> bool:
    """Tell whether a former identity of the learner's instance responds."""
    instance = parse_instance_name(learner)
    since = now - replica.timing.election_max
    return any(
        replica.progress[voter].last_response_at > since
        for voter in replica.membership.voters
        if parse_instance_name(voter) == instance
    )
