"""Input events of a replica and the actions that it returns."""

from __future__ import annotations

import enum

import attrs

from .entries import Entry
from .entries import HardState
from .entries import Snapshot
from .messages import Message


@attrs.frozen
class Tick:
    """Time has passed; checks all timeouts."""


@attrs.frozen
class Received:
    """A message from another replica has arrived."""

    message: Message


@attrs.frozen
class Propose:
    """Commands to append to the log, in order.

    :param requests: number of each command, by which :class:`Appended` and
        :class:`Refused` name it
    :param commands: encoded commands, one for each number
    """

    requests: tuple[int, ...]
    commands: tuple[bytes, ...]


@attrs.frozen
class Read:
    """A linearizable read begins.

    :param request: number of the read, greater than 0, by which
        :class:`ReadReady` and :class:`Refused` name it
    """

    request: int


@attrs.frozen
class Compact:
    """A snapshot of the state machine was taken.

    :param index: index of the last entry applied to it
    :param state: the encoded state machine
    """

    index: int
    state: bytes


@attrs.frozen
class Leave:
    """The process of this replica is about to stop."""


Event = Tick | Received | Propose | Read | Compact | Leave


@attrs.frozen
class Persist:
    """Make this state durable before any later action is carried out.

    When that fails, none of the later actions may be carried out, and the
    replica must not be used again.

    :param cluster: identity of the replica that bootstrapped the cluster
    :param hard_state: term and vote
    :param entries: entries that replace all from the first one's index on
    :param snapshot: snapshot for a new journal, which ``entries`` then
        follow as the whole log; ``None`` to append to the present journal
    :param commit: index up to which entries are known to be committed
    """

    cluster: str
    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    commit: int = 0


@attrs.frozen
class Send:
    """Send a message.

    :param instance: name of the receiving instance
    :param message: the message
    """

    instance: str
    message: Message


@attrs.frozen
class Restore:
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@attrs.frozen
class Apply:
    """Apply a committed entry; each is returned once, in log order."""

    entry: Entry


@attrs.frozen
class Appended:
    """A proposed command was appended to the leader's log.

    The command is accepted once the entry with this index and term is
    applied; an entry of another term at this index means that it was not.

    :param request: number of the command
    :param index: index of its entry
    :param term: term of its entry
    """

    request: int
    index: int
    term: int


class Refusal(enum.Enum):
    """Why a proposal or a read was refused."""

    NOT_LEADER = 'not the leader'
    TOO_FEW_VOTERS = 'too few voters have joined'
    NO_ANSWER = 'no answer from the leader'


@attrs.frozen
class Refused:
    """A proposal or a read was refused, and has no effect later either.

    :param request: number of the proposal or read
    :param refusal: reason
    """

    request: int
    refusal: Refusal


@attrs.frozen
class ReadReady:
    """A linearizable read may read the state machine now.

    :param request: number of the read
    :param index: index up to which entries are applied
    """

    request: int
    index: int


@attrs.frozen
class Retired:
    """The identity of this replica is retired and never admitted again."""


Action = (
    Persist | Send | Restore | Apply | Appended | Refused | ReadReady | Retired
)
