"""Commands of the replicated log of control, and their outcomes."""

from __future__ import annotations

import attrs

from ..codec import Codec
from ..membership.members import Announcement
from ..membership.members import Departure
from ..membership.members import Progress
from .objects import ObjectSet


@attrs.frozen
class Change:
    """Replace the whole configuration.

    :param change_id: unique id of the change; a retry carries the same one
    :param base: revision of the configuration that the change is based on
    :param objects: the new configuration, already checked
    :param author: name of the operator who requested it
    :param time: when it was proposed, in seconds since the epoch
    """

    change_id: str
    base: int
    objects: ObjectSet
    author: str
    time: float


@attrs.frozen
class Members:
    """Changes of the nodes whose leases one control instance keeps.

    :param holder: name of the control instance
    :param time: when it was proposed, in seconds since the epoch
    :param announced: announcements of new nodes and changed announcements
    :param departed: nodes that left or whose lease has expired
    :param progress: revisions that the nodes of the instance apply
    """

    holder: str
    time: float
    announced: tuple[Announcement, ...] = ()
    departed: tuple[Departure, ...] = ()
    progress: Progress = attrs.field(factory=Progress)


@attrs.frozen
class Drain:
    """Send a target no new work until its agent restarts.

    :param target: name of the target
    :param incarnation: incarnation of the agent to which the drain applies
    :param time: when it was proposed, in seconds since the epoch
    """

    target: str
    incarnation: int
    time: float


#: Any command.
Command = Change | Members | Drain


@attrs.frozen
class ChangeNote:
    """Description of an accepted change.

    :param change_id: id of the change
    :param base: revision of the configuration that the change was based on
    :param revision: revision at which it was accepted
    :param author: name of the operator who requested it
    :param time: when it was proposed, in seconds since the epoch
    :param changed: kind and name of each object added, changed or removed
    """

    change_id: str
    base: int
    revision: int
    author: str
    time: float
    changed: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """The change was accepted and takes effect at this revision."""

    revision: int


@attrs.frozen
class Conflict:
    """The change was based on a revision that is not the newest.

    :param base: revision that the change was based on
    :param revision: newest revision of the configuration
    :param winner: accepted change with the same base or, when that one is no
        longer stored, the newest accepted change
    """

    base: int
    revision: int
    winner: ChangeNote | None = None


@attrs.frozen
class ChangeIdReused:
    """The change id was already used for a change with other objects."""

    change_id: str


@attrs.frozen
class Noted:
    """The reported changes of the members are committed.

    :param revision: published revision after the command
    """

    revision: int


@attrs.frozen
class Drained:
    """The target gets no new work from this published revision on."""

    target: str
    revision: int


@attrs.frozen
class TargetUnknown:
    """The target does not exist, or its agent has restarted since.

    :param target: name of the target
    :param incarnation: its present incarnation; 0 when it does not exist
    """

    target: str
    incarnation: int = 0


@attrs.frozen
class Unreadable:
    """The command could not be decoded and changed nothing."""

    reason: str


#: Any outcome.
Outcome = (
    Accepted
    | Conflict
    | ChangeIdReused
    | Noted
    | Drained
    | TargetUnknown
    | Unreadable
)

#: Commands in the replicated log.
COMMAND_CODEC = Codec({1: Change, 2: Members, 3: Drain})

#: Outcomes, as stored for retries and sent between control instances.
OUTCOME_CODEC = Codec(
    {
        1: Accepted,
        2: Conflict,
        3: ChangeIdReused,
        4: Noted,
        5: Drained,
        6: TargetUnknown,
        7: Unreadable,
    }
)
