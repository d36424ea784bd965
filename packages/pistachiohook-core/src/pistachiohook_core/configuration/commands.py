"""Commands that the control instances replicate, and their outcomes."""

from __future__ import annotations

import attrs

from ..codec import Codec
from ..membership.members import Announcement
from ..membership.members import Departure
from ..membership.members import Progress
from .objects import ObjectSet


@attrs.frozen
class Change:
    """Put a whole set of objects in place of the one before.

    :param change_id: name of this change; a resend carries the same one
    :param base: revision of the configuration that it was made against
    :param objects: the set, checked
    :param author: who asks for it
    :param time: when it was proposed, in seconds since the epoch
    """

    change_id: str
    base: int
    objects: ObjectSet
    author: str
    time: float


@attrs.frozen
class Members:
    """What one control instance has learned of its nodes.

    :param holder: the control instance
    :param time: when it was proposed, in seconds since the epoch
    :param announced: nodes that are new or tell something new
    :param departed: nodes that left or whose lease has run out
    :param progress: what its nodes apply
    """

    holder: str
    time: float
    announced: tuple[Announcement, ...] = ()
    departed: tuple[Departure, ...] = ()
    progress: Progress = attrs.field(factory=Progress)


@attrs.frozen
class Drain:
    """Take a target out for new work until its agent starts again.

    :param target: name of the target
    :param incarnation: start of its agent that is meant
    :param time: when it was proposed, in seconds since the epoch
    """

    target: str
    incarnation: int
    time: float


#: Any command.
Command = Change | Members | Drain


@attrs.frozen
class ChangeNote:
    """A change that was accepted.

    :param change_id: name of the change
    :param base: revision of the configuration that it was made against
    :param revision: revision at which it was accepted
    :param author: who asked for it
    :param time: when it was proposed, in seconds since the epoch
    :param changed: objects that were added, changed or removed
    """

    change_id: str
    base: int
    revision: int
    author: str
    time: float
    changed: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """The change is accepted, and holds from this revision on."""

    revision: int


@attrs.frozen
class Conflict:
    """The change was made against a revision that is not the newest.

    :param base: revision that the change was made against
    :param revision: newest revision of the configuration
    :param winner: the change that was accepted against the same base or,
        when that is long ago, the newest one
    """

    base: int
    revision: int
    winner: ChangeNote | None = None


@attrs.frozen
class ChangeIdReused:
    """The change id already names a change with other objects."""

    change_id: str


@attrs.frozen
class Noted:
    """What was told of the members is written.

    :param revision: published revision afterwards
    """

    revision: int


@attrs.frozen
class Drained:
    """The target takes no new work from this published revision on."""

    target: str
    revision: int


@attrs.frozen
class TargetUnknown:
    """No such target, or it has started again since.

    :param target: name of the target
    :param incarnation: its incarnation now; 0 when there is none
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

#: Outcomes, as they are kept for a resend and sent between instances.
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
