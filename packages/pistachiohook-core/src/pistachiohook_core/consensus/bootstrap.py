"""Choice of the replica that bootstraps a cluster."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .entries import Membership
from .entries import parse_instance_name
from .entries import Snapshot

if TYPE_CHECKING:
    from .messages import JoinRequest
    from .messages import JoinResponse
    from .replica import Replica


def asks_nomination(replica: Replica, instance: str) -> bool:
    """Tell whether to ask an instance for its nomination.

    The instances in the settings nominate. They are asked in the order of
    their names, each after those before it have nominated this replica, so
    that two candidates never hold a part of the nominations each.

    :param replica: a replica, which may belong to a cluster already
    :param instance: name of the instance
    """
    dynamic_membership = replica.dynamic_membership
    eligible = dynamic_membership is None or (
        dynamic_membership.may_bootstrap and dynamic_membership.durable
    )
    return (
        eligible
        and not replica.cluster
        and instance in replica.instances
        and replica.nominators.issuperset(
            name for name in replica.instances if name < instance
        )
    )


def nominate(replica: Replica, message: JoinRequest) -> None:
    """Nominate the sender of a join request, or withdraw its nomination.

    The first candidate is nominated and stays so until it withdraws, or its
    instance returns under a new identity, since its disk is lost then. While
    any instance may belong to a cluster, nobody is nominated.
    """
    if replica.cluster:
        return
    sender = message.sender
    instance = parse_instance_name(sender)
    nominee = replica.nominee
    if nominee != sender and parse_instance_name(nominee) == instance:
        replica.nominee = ''
    if message.candidate:
        blank = replica.clusterless_instances | {instance}
        if not replica.nominee and blank.issuperset(
            replica.discovered_instances
        ):
            replica.nominee = sender
    elif replica.nominee == sender and not message.cluster:
        replica.nominee = ''


def record_nomination(replica: Replica, message: JoinResponse) -> None:
    """Record whether the sender of a response has nominated this replica.

    Without its nomination, those of the instances after it are withdrawn, so
    that they can't block the candidate that it has nominated.
    """
    instance = parse_instance_name(message.sender)
    if message.blank and message.nominee == replica.identity:
        if instance not in replica.nominators:
            replica.nominators.add(instance)
            # The next instance is asked without delay.
            replica.join_at = float('-inf')
        return
    replica.nominators -= {
        name for name in replica.nominators if name >= instance
    }


def nominate_self(replica: Replica) -> None:
    """Let this replica nominate itself, or withdraw that, in its turn."""
    own = parse_instance_name(replica.identity)
    if not asks_nomination(replica, own):
        replica.nominators.discard(own)
        if replica.nominee == replica.identity:
            replica.nominee = ''
    elif replica.nominee in ('', replica.identity):
        replica.nominee = replica.identity
        replica.nominators.add(own)


def may_bootstrap(replica: Replica, others: tuple[str, ...]) -> bool:
    """Tell whether this replica is the one to bootstrap the cluster.

    All instances in the settings must have nominated it, and all other known
    instances must have reported that they belong to no cluster. No second
    replica can get the nominations, since a nomination is not withdrawn as
    long as its candidate wants it.

    :param replica: the replica
    :param others: names of all other known instances
    """
    return (
        not replica.cluster
        and bool(replica.instances)
        and replica.nominators.issuperset(replica.instances)
        and replica.clusterless_instances.issuperset(others)
    )


def bootstrap(replica: Replica) -> None:
    """Create a cluster with this replica as its only voter."""
    membership = Membership(voters=(replica.identity,))
    replica.cluster = replica.identity
    replica.log.compact(Snapshot(membership=membership))
    replica.dirty = True
    replica.rewrite = True
