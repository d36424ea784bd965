"""Request and response bodies of the administration API."""

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

#: Prefix of a problem's type, before the name of the problem.
PROBLEM_PREFIX = 'urn:pistachiohook:problem:'

#: Maximum length of a change id, in characters.
CHANGE_ID_MAX = 128


class ProblemName(enum.Enum):
    """Why a request failed; the value is the end of the problem's type."""

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
    """Description of a failed request, as ``application/problem+json``.

    :param type: :data:`PROBLEM_PREFIX` and a value of :class:`ProblemName`
    :param title: the value of the problem name in words
    :param status: HTTP status
    :param detail: what was found, and what was expected
    :param step: step that failed
    :param peer: instance or name at the other end of the step
    :param errors: all errors of the objects in the request
    :param conflict: the accepted change that conflicts with the request
    :param change_id: id with which to retry the change
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
    """Request to check a set of objects."""

    objects: tuple[RawObject, ...]


@attrs.frozen
class ChangeRequest:
    """Request to replace the whole configuration.

    :param revision: revision of the configuration that the change is based on
    :param change_id: unique id of the change; a retry carries the same one
    :param objects: all objects of the new configuration
    """

    revision: int
    change_id: str
    objects: tuple[RawObject, ...]


@attrs.frozen
class DrainRequest:
    """Request to drain a target.

    :param incarnation: incarnation of the agent to which the drain applies
    """

    incarnation: int


@attrs.frozen
class CheckDocument:
    """The set passed the check; the number of its objects of each kind."""

    services: int
    places: int
    policies: int


@attrs.frozen
class AcceptedDocument:
    """The change was accepted.

    :param revision: revision of the configuration with the change
    :param change_id: id of the change
    """

    revision: int
    change_id: str


@attrs.frozen
class Source:
    """Where an answer comes from, and how fresh it is.

    :param instance: control instance that answers
    :param linearized: whether the answer comes from a linearizable read, so
        that it reflects every change accepted before
    :param freshness: time since the instance's last quorum confirmation, in
        seconds
    """

    instance: str
    linearized: bool
    freshness: float


@attrs.frozen
class ConfigurationDocument:
    """The configuration.

    :param revision: revision of the configuration
    :param objects: all objects
    :param numbers: fencing numbers of the services by name
    :param change: the change that was accepted at the revision; ``None`` when
        it is no longer stored
    :param source: where the answer comes from
    """

    revision: int
    objects: ObjectSet
    numbers: dict[str, int]
    change: ChangeNote | None
    source: Source


@attrs.frozen
class StatusDocument:
    """Status of the system.

    :param configuration: revision of the configuration
    :param published: newest published revision
    :param rollout: nodes that apply the requested revision
    :param source: where the answer comes from
    """

    configuration: int
    published: int
    rollout: Rollout
    source: Source


@attrs.frozen
class TargetRow:
    """An announced target.

    :param target: the target as published or, when it is not published, as
        announced by its agent
    :param node: node that announces it
    :param holder: control instance that keeps the lease of the node
    :param published: whether it is published
    """

    target: Target
    node: str
    holder: str
    published: bool


@attrs.frozen
class TargetsDocument:
    """All announced targets."""

    targets: tuple[TargetRow, ...]
    source: Source


@attrs.frozen
class DrainedDocument:
    """The target gets no new work from this published revision on."""

    target: str
    revision: int


@attrs.frozen
class MemberRow:
    """A control instance.

    :param name: name of the instance
    :param api: address of its administration API
    :param leader: whether it is the leader
    :param nodes: number of nodes whose leases it keeps
    :param revision: newest published revision that it has reported
    :param behind: its nodes that apply an earlier revision
    """

    name: str
    api: str
    leader: bool
    nodes: int
    revision: int
    behind: tuple[LaggingNode, ...] = ()


@attrs.frozen
class MembersDocument:
    """All control instances named in the settings."""

    members: tuple[MemberRow, ...]
    source: Source


def encode_document(document: Any) -> bytes:
    """Encode a body as JSON."""
    return msgspec.json.encode(document)


def decode_document(
    data: bytes, kind: type[_Document], peer: str
) -> Result[_Document, Failure]:
    """Decode a body from JSON.

    :param data: the body
    :param kind: class of the document
    :param peer: who sent the body, for the failure
    """
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return Failed(Failure('read body', peer, str(error)))


def make_problem(name: ProblemName, detail: str, **more: Any) -> Problem:
    """Return a problem with the type, title and status of its name.

    :param name: why the request failed
    :param detail: what was found, and what was expected
    :param more: further fields of :class:`Problem`
    """
    return Problem(
        type=PROBLEM_PREFIX + name.value,
        title=name.value.replace('-', ' '),
        status=PROBLEM_STATUS[name],
        detail=detail,
        **more,
    )
