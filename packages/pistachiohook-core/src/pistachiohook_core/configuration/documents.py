"""Bodies of the administration API."""

from __future__ import annotations

import enum
from typing import Any
from typing import TypeVar

import attrs
import msgspec
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..failures import Failure
from ..membership.members import LaggingNode
from ..membership.rollout import Rollout
from ..published import Target
from .commands import ChangeNote
from .commands import Conflict
from .objects import ObjectError
from .objects import ObjectSet
from .objects import RawObject

_Document = TypeVar('_Document')

#: What stands before the name of a problem in its type.
PROBLEM_PREFIX = 'urn:pistachiohook:problem:'

#: Longest change id, in characters.
CHANGE_ID_MAX = 128


class ProblemName(enum.Enum):
    """Why a request was not carried out; ends the type of a problem."""

    BAD_REQUEST = 'bad-request'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not-found'
    BAD_SET = 'bad-set'
    CONFLICT = 'conflict'
    CHANGE_ID_REUSED = 'change-id-reused'
    NO_QUORUM = 'no-quorum'
    UNKNOWN_OUTCOME = 'unknown-outcome'
    INTERNAL = 'internal'


#: HTTP status of each problem.
PROBLEM_STATUS = {
    ProblemName.BAD_REQUEST: 400,
    ProblemName.UNAUTHORIZED: 401,
    ProblemName.FORBIDDEN: 403,
    ProblemName.NOT_FOUND: 404,
    ProblemName.BAD_SET: 422,
    ProblemName.CONFLICT: 409,
    ProblemName.CHANGE_ID_REUSED: 409,
    ProblemName.NO_QUORUM: 503,
    ProblemName.UNKNOWN_OUTCOME: 504,
    ProblemName.INTERNAL: 500,
}


@attrs.frozen
class Problem:
    """A refusal, as ``application/problem+json``.

    :param type: :data:`PROBLEM_PREFIX` and a name of :class:`ProblemName`
    :param title: what the name means
    :param status: HTTP status
    :param detail: what was found, and what was expected
    :param step: what was being done
    :param peer: the instance or name at the other end
    :param errors: every fault of a set of objects
    :param conflict: what was accepted instead
    :param change_id: change to send again
    """

    type: str
    title: str
    status: int
    detail: str
    step: str = ''
    peer: str = ''
    errors: tuple[ObjectError, ...] = ()
    conflict: Conflict | None = None
    change_id: str = ''


@attrs.frozen
class CheckRequest:
    """A set to check."""

    objects: tuple[RawObject, ...]


@attrs.frozen
class ChangeRequest:
    """A set to put in place of the one before.

    :param revision: revision of the configuration that it was made against
    :param change_id: name of the change; the same one in a resend
    :param objects: the whole set
    """

    revision: int
    change_id: str
    objects: tuple[RawObject, ...]


@attrs.frozen
class DrainRequest:
    """A target to drain.

    :param incarnation: start of its agent that is meant
    """

    incarnation: int


@attrs.frozen
class CheckDocument:
    """The set has no fault; it holds so many objects."""

    services: int
    places: int
    policies: int


@attrs.frozen
class AcceptedDocument:
    """The change is accepted.

    :param revision: revision of the configuration from here on
    :param change_id: name of the change
    """

    revision: int
    change_id: str


@attrs.frozen
class Source:
    """What stands behind an answer.

    :param instance: control instance that answers
    :param linearized: whether it holds all that was accepted before
    :param freshness: age of its last proof of a quorum, in seconds
    """

    instance: str
    linearized: bool
    freshness: float


@attrs.frozen
class ConfigurationDocument:
    """The configuration.

    :param revision: revision of the configuration
    :param objects: the whole set
    :param numbers: fencing numbers of the services
    :param change: the change that made it, when it is still kept
    :param source: what stands behind the answer
    """

    revision: int
    objects: ObjectSet
    numbers: dict[str, int]
    change: ChangeNote | None
    source: Source


@attrs.frozen
class StatusDocument:
    """Where the system stands.

    :param configuration: revision of the configuration
    :param published: newest published revision
    :param rollout: nodes that apply the revision that was asked for
    :param source: what stands behind the answer
    """

    configuration: int
    published: int
    rollout: Rollout
    source: Source


@attrs.frozen
class TargetRow:
    """An announced target.

    :param target: what is published, or what its agent announces
    :param node: node that announces it
    :param holder: control instance that keeps its lease
    :param published: whether it is published
    """

    target: Target
    node: str
    holder: str
    published: bool


@attrs.frozen
class TargetsDocument:
    """Every announced target."""

    targets: tuple[TargetRow, ...]
    source: Source


@attrs.frozen
class DrainedDocument:
    """The target takes no new work from this published revision on."""

    target: str
    revision: int


@attrs.frozen
class MemberRow:
    """A control instance.

    :param name: name of the instance
    :param api: where its administration API listens
    :param leader: whether it leads
    :param nodes: nodes whose leases it keeps
    :param revision: newest published revision that it has reported
    :param behind: its nodes that apply less
    """

    name: str
    api: str
    leader: bool
    nodes: int
    revision: int
    behind: tuple[LaggingNode, ...] = ()


@attrs.frozen
class MembersDocument:
    """Every control instance that the settings name."""

    members: tuple[MemberRow, ...]
    source: Source


def encode_document(document: Any) -> bytes:
    """Encode a body as JSON."""
    return msgspec.json.encode(document)


def decode_document(
    data: bytes, kind: type[_Document], peer: str
) -> Result[_Document, Failure]:
    """Decode a body.

    :param data: JSON
    :param kind: class of the document
    :param peer: who sent it
    """
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failed(Failure('read body', peer, str(error)))


def make_problem(name: ProblemName, detail: str, **more: Any) -> Problem:
    """Build a problem.

    :param name: why the request was not carried out
    :param detail: what was found, and what was expected
    :param more: further members of :class:`Problem`
    """
    return Problem(
        type=PROBLEM_PREFIX + name.value,
        title=name.value.replace('-', ' '),
        status=PROBLEM_STATUS[name],
        detail=detail,
        **more,
    )
