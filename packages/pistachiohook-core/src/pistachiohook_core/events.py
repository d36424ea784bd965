"""Registry of the numbered events that the processes log.

Numbers: 1000 supervision and settings, 2000 balancer, 3000 agent flows,
4000 control, 5000 links, 6000 requests and ledger, 7000 command line.
"""

from __future__ import annotations

import enum

import attrs


class Level(enum.Enum):
    """How urgent an event is."""

    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


@attrs.frozen
class Event:
    """One kind of thing that is worth a line in the log.

    :param number: stable number of the event
    :param level: how urgent it is
    :param text: what happened, for an operator
    :param action: what an operator may do about it
    """

    number: int
    level: Level
    text: str
    action: str = 'None.'


TASK_FAILED = Event(
    1001,
    Level.WARNING,
    'A task failed and is started again.',
    'Look at the error; the process goes on.',
)
TASK_GIVEN_UP = Event(
    1002,
    Level.ERROR,
    'A task failed too often; the process stops.',
    'Look at the error, mend its cause, start the process again.',
)
ROLE_STARTED = Event(1003, Level.INFO, 'The role is started.')
SHUTDOWN_STARTED = Event(1004, Level.INFO, 'A graceful shutdown begins.')
ROLE_STOPPED = Event(1005, Level.INFO, 'The role has stopped.')
START_REFUSED = Event(
    1006,
    Level.ERROR,
    'The role cannot be started.',
    'Look at the error, mend the settings or the files that they name.',
)
REQUEST_FAILED = Event(
    1009,
    Level.ERROR,
    'A call was not answered as it should be.',
    'Look at the error; a closed connection is the asker giving up.',
)
GENERATED_UNUSED = Event(
    1010,
    Level.WARNING,
    'Methods that the build has compiled are not used; the start took longer.',
    'Build again with the Python that runs the processes.',
)
BALANCER_UNHEALTHY = Event(
    2001,
    Level.WARNING,
    'The balancer reports itself unhealthy; the reason stands beside.',
    'When the reason is stale state, check the way to the control instances.',
)
BALANCER_HEALTHY = Event(
    2002, Level.INFO, 'The balancer reports itself healthy.'
)
FLOW_OFFERED = Event(2101, Level.INFO, 'A new flow was offered to an agent.')
FLOW_REFUSED = Event(
    2102,
    Level.WARNING,
    'A flow was refused with a reset; no target has seen a request.',
    'Look at the reason; compare the load of the agents of the service.',
)
FLOW_OWNER_LOOKUP = Event(
    2103, Level.INFO, 'An agent does not hold a flow; its owner is looked for.'
)
FLOW_LOST = Event(
    2104,
    Level.WARNING,
    'No agent holds a flow; its packets were dropped.',
    'Look for an agent or target of the service that has ended.',
)
ROUTES_CHANGED = Event(
    2105, Level.INFO, 'Routes of another version are in force here.'
)
ROUTES_UNREADABLE = Event(
    2106,
    Level.WARNING,
    'Routes could not be fetched from a control instance; another is tried.',
    'Check the control instance that is named as peer.',
)
FLOW_ABANDONED = Event(
    2107,
    Level.WARNING,
    'No target takes a flow; its caller has gone on elsewhere: no reset.',
    'Compare the load of the agents of the service.',
)
FLOW_FAILED = Event(
    3001,
    Level.ERROR,
    'A flow had an unexpected fault and was ended; the others go on.',
    'Report the error with what the caller was doing.',
)
FLOW_DECLINED = Event(
    3101, Level.INFO, 'A flow was not opened at this target.'
)
FLOW_OPENED = Event(3102, Level.INFO, 'A flow is open at the target.')
FLOW_ENDED = Event(3103, Level.INFO, 'A flow has ended.')
TARGET_CHANGED = Event(
    3104, Level.INFO, 'The target has started anew, or is leaving.'
)
ANNOUNCEMENT_INVALID = Event(
    3105,
    Level.WARNING,
    'What a target says of itself could not be read; it is ignored.',
    'Look for another program that uses the address of the agent.',
)
REPLICA_STARTED = Event(4001, Level.INFO, 'The replica is started.')
JOURNAL_CREATED = Event(
    4002,
    Level.WARNING,
    'The data folder was empty; the instance has a new identity.',
    'Expected at the first start. Else the disk was lost: see the page on '
    'disk loss.',
)
JOURNAL_FAILED = Event(
    4003,
    Level.ERROR,
    'The journal could not be read or written; the replica stops.',
    'Free or replace the disk, then start the process again; a damaged '
    'journal is moved away first.',
)
LEADER_CHANGED = Event(4004, Level.INFO, 'The known leader has changed.')
REPLICA_RETIRED = Event(
    4005,
    Level.ERROR,
    'The identity of this data folder was replaced and is not let in again.',
    'Move the data folder away and start the process again.',
)
CONTROL_CHANGE_ACCEPTED = Event(
    4051, Level.INFO, 'A change of the configuration was accepted.'
)
CONTROL_CHANGE_REFUSED = Event(
    4052, Level.INFO, 'A change of the configuration was refused.'
)
CONTROL_LEASE_EXPIRED = Event(
    4053,
    Level.WARNING,
    'The lease of a node has run out; it is withdrawn.',
    'Look at the instance that is named as peer.',
)
CONTROL_NODE_FENCED = Event(
    4054,
    Level.WARNING,
    'A message of an older incarnation of a node was dropped.',
    'Look for two processes with one node name.',
)
CONTROL_NO_QUORUM = Event(
    4055,
    Level.WARNING,
    'A membership change could not be written; it is tried again.',
    'Check that a majority of the control instances is up.',
)
CONTROL_TOKEN_REFUSED = Event(
    4056,
    Level.WARNING,
    'A request with a wrong token, or none, was refused.',
    'Look for who sends it; compare the token files.',
)
CONTROL_STALE = Event(
    4057,
    Level.WARNING,
    'A control instance answers without a quorum; the node turns to the next.',
    'Check the links between the control instances.',
)
ROUTES_ACCEPTED = Event(4101, Level.INFO, 'A route set was accepted.')
ROUTES_REFUSED = Event(
    4102,
    Level.WARNING,
    'A route set was refused as a whole.',
    'Look at the reason; correct the set.',
)
ROUTES_OUTCOME_UNKNOWN = Event(
    4103,
    Level.WARNING,
    'The outcome of a change or read of the routes is not known.',
    'Check that a majority of the control instances is up; it is sent again.',
)
SETTINGS_CHANGED = Event(
    1007, Level.INFO, 'The settings file has changed and was read again.'
)
SETTINGS_UNREADABLE = Event(
    1008,
    Level.WARNING,
    'The changed settings file could not be read; the former stay in force.',
    'Correct the settings file.',
)
CONTROL_UNREACHABLE = Event(
    5001,
    Level.WARNING,
    'No answer from a control instance; the node turns to the next.',
    'Check the control instance that is named as peer.',
)
CONTROL_RECOVERED = Event(
    5004, Level.INFO, 'A control instance answers again.'
)
LINK_KEY_REFUSED = Event(
    5002,
    Level.WARNING,
    'A message with a wrong key, or none, was dropped.',
    'Compare the key files of both ends.',
)
MESSAGE_UNREADABLE = Event(
    5003, Level.WARNING, 'A message that could not be decoded was dropped.'
)
DATAGRAM_DROPPED = Event(
    5006,
    Level.WARNING,
    'A datagram was not sent or not taken by the system; it is gone.',
    'Look at the reason; a full buffer is overload, others are the network.',
)

#: Every event by its number.
EVENTS: dict[int, Event] = {
    event.number: event
    for event in tuple(globals().values())
    if isinstance(event, Event)
}
