"""Registry of the numbered events that the processes log.

The thousands of a number name the part that logs it: 1 supervision and
settings, 2 balancer, 3 agent flows, 4 control, 5 links, 6 requests and ledger,
7 command line. The manual has a page generated from the texts and actions.
"""

from __future__ import annotations

import enum

import attrs


class Level(enum.Enum):
    """Severity of an event."""

    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


@attrs.frozen
class Event:
    """A kind of event that is logged.

    :param number: number of the event, which never changes
    :param level: severity
    :param text: what happened, for operators
    :param action: what an operator can do about it
    """

    number: int
    level: Level
    text: str
    action: str = 'None.'


TASK_FAILED = Event(
    1001,
    Level.WARNING,
    'A task failed and is restarted.',
    'Look at the error; the process keeps running.',
)
TASK_GIVEN_UP = Event(
    1002,
    Level.ERROR,
    'A task failed too often; the process stops.',
    'Look at the error, correct its cause and restart the process.',
)
ROLE_STARTED = Event(1003, Level.INFO, 'The role has started.')
SHUTDOWN_STARTED = Event(1004, Level.INFO, 'A graceful shutdown has begun.')
ROLE_STOPPED = Event(1005, Level.INFO, 'The role has stopped.')
START_REFUSED = Event(
    1006,
    Level.ERROR,
    'The role cannot be started.',
    'Look at the error; correct the settings or the files that they name.',
)
REQUEST_FAILED = Event(
    1009,
    Level.ERROR,
    'An HTTP request failed or could not be answered.',
    'Look at the error; a closed stream means that the client gave up.',
)
GENERATED_UNUSED = Event(
    1010,
    Level.WARNING,
    'A file with code of the build is not used; the start took longer.',
    'Run the build with the Python version that runs the processes.',
)
BALANCER_UNHEALTHY = Event(
    2001,
    Level.WARNING,
    'The health check of the balancer fails; the field reason says why.',
    'If its state is stale, check its connection to the control instances.',
)
BALANCER_HEALTHY = Event(
    2002, Level.INFO, 'The health check of the balancer succeeds.'
)
FLOW_OFFERED = Event(2101, Level.INFO, 'A new flow was offered to an agent.')
FLOW_REFUSED = Event(
    2102,
    Level.WARNING,
    'A flow was refused with a reset; no target has received a request.',
    'Look at the reason; compare the load of the agents of the service.',
)
FLOW_OWNER_LOOKUP = Event(
    2103,
    Level.INFO,
    'An agent does not hold a flow; the balancer looks up its owner.',
)
FLOW_LOST = Event(
    2104,
    Level.WARNING,
    'No agent holds a flow; its packets were dropped.',
    'Look for an agent or target of the service that has stopped.',
)
FLOW_GONE = Event(
    2108,
    Level.INFO,
    'A flow was reset; no target has it any more.',
)
ROUTES_CHANGED = Event(
    2105, Level.INFO, 'The balancer applies another version of the routes.'
)
ROUTES_UNREADABLE = Event(
    2106,
    Level.WARNING,
    'Routes could not be fetched from a control instance; another is tried.',
    'Check the control instance that is named as peer.',
)
ROUTES_UNUSABLE = Event(
    2109,
    Level.ERROR,
    'Routes can not be applied; those that are applied stay.',
    'Send the configuration again under a higher version, and report the'
    ' reason: control should have refused it.',
)
FLOW_ABANDONED = Event(
    2107,
    Level.WARNING,
    'No target accepts a flow; no reset is sent, since another balancer may '
    'have opened it.',
    'Compare the load of the agents of the service.',
)
FLOW_FAILED = Event(
    3001,
    Level.ERROR,
    'An unexpected error ended a flow; other flows are not affected.',
    'Report the error with what the caller was doing.',
)
FLOW_DECLINED = Event(3101, Level.INFO, 'The agent declined a new flow.')
FLOW_OPENED = Event(3102, Level.INFO, 'A flow was opened at the target.')
FLOW_ENDED = Event(3103, Level.INFO, 'A flow has ended.')
TARGET_CHANGED = Event(
    3104, Level.INFO, 'The target has started, has restarted or is leaving.'
)
ANNOUNCEMENT_INVALID = Event(
    3105,
    Level.WARNING,
    'The announcement of a target is invalid and is ignored.',
    'Look for another program that sends to the address of the agent.',
)
REPLICA_STARTED = Event(4001, Level.INFO, 'The replica has started.')
JOURNAL_CREATED = Event(
    4002,
    Level.WARNING,
    'The data folder was empty; the instance has a new identity.',
    'Expected at the first start. Otherwise the disk was lost: see the page '
    'on disk loss.',
)
JOURNAL_FAILED = Event(
    4003,
    Level.ERROR,
    'The journal could not be read or written; the replica stops.',
    'Free space or replace the disk, then restart the process; move a '
    'damaged journal away first.',
)
LEADER_CHANGED = Event(4004, Level.INFO, 'The known leader has changed.')
REPLICA_RETIRED = Event(
    4005,
    Level.ERROR,
    'The identity of this data folder was replaced; it cannot join again.',
    'Move the data folder away and restart the process.',
)
JOURNAL_BLOCKED = Event(
    4006,
    Level.ERROR,
    'The disk of the journal is full; the replica pauses until it has room.',
    'Free space; the replica goes on by itself. Until then this instance '
    'accepts no change and answers no read.',
)
JOURNAL_RESUMED = Event(
    4007, Level.WARNING, 'The disk of the journal has room again.'
)
VOTERS_MISSING = Event(
    4008,
    Level.WARNING,
    'Changes are accepted with fewer voters than the fault tolerance wants.',
    'Run control on more instances with a disk. As long as there are more '
    'voters than disks that may be lost, each change waits for more of them; '
    'with fewer, the tolerated loss of disks can destroy accepted changes.',
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
    'The lease of a node has expired; its announcement is withdrawn.',
    'Look at the instance that is named as peer.',
)
CONTROL_NODE_FENCED = Event(
    4054,
    Level.WARNING,
    'A message from an older incarnation of a node was dropped.',
    'Look for two processes with the same node name.',
)
AGENT_EVACUATION_CHANGED = Event(
    3110,
    Level.INFO,
    "The agent's availability zone was evacuated or returned to service.",
)
TARGET_LIMIT_CHANGED = Event(
    3111,
    Level.INFO,
    'The number of requests that the target serves well concurrently was '
    'learned anew; with 0, its slots count.',
)
CONTROL_NO_QUORUM = Event(
    4055,
    Level.WARNING,
    'A membership change could not be committed; it is retried.',
    'Check that a majority of the control instances is up.',
)
CONTROL_TOKEN_REFUSED = Event(
    4056,
    Level.WARNING,
    'A request without a valid token was refused.',
    'Find the sender; compare the token files.',
)
CONTROL_STALE = Event(
    4057,
    Level.WARNING,
    'A control instance has no quorum; the node connects to the next one.',
    'Check the links between the control instances.',
)
ROUTES_ACCEPTED = Event(4101, Level.INFO, 'A route set was accepted.')
ROUTES_REFUSED = Event(
    4102,
    Level.WARNING,
    'A route set was refused as a whole.',
    'Look at the reason; correct the route set.',
)
ROUTES_OUTCOME_UNKNOWN = Event(
    4103,
    Level.WARNING,
    'The outcome of a change or a read of the routes is not known.',
    'Check that a majority of the control instances is up; the sender '
    'repeats the request.',
)
EVACUATION_ACCEPTED = Event(
    4104,
    Level.INFO,
    'An order to evacuate an availability zone or to return it was accepted.',
)
EVACUATION_OUTCOME_UNKNOWN = Event(
    4105,
    Level.WARNING,
    'The outcome of an order about an evacuation, or of its read, is not '
    'known.',
    'Check that a majority of the control instances is up; the sender '
    'repeats the request.',
)
SETTINGS_CHANGED = Event(
    1007, Level.INFO, 'The settings file has changed and was reloaded.'
)
SETTINGS_UNREADABLE = Event(
    1008,
    Level.WARNING,
    'The settings file could not be reloaded; the previous settings apply.',
    'Correct the settings file.',
)
CONTROL_UNREACHABLE = Event(
    5001,
    Level.WARNING,
    'A control instance does not answer; the node connects to the next one.',
    'Check the control instance that is named as peer.',
)
CONTROL_RECOVERED = Event(
    5004, Level.INFO, 'A control instance answers again.'
)
LINK_KEY_REFUSED = Event(
    5002,
    Level.WARNING,
    'A message that failed authentication was rejected.',
    'Compare the key files of both ends.',
)
MESSAGE_UNREADABLE = Event(
    5003, Level.WARNING, 'A message that could not be decoded was dropped.'
)
DATAGRAM_DROPPED = Event(
    5006,
    Level.WARNING,
    'A datagram could not be sent or delivered and was dropped.',
    'Look at the reason: a full buffer means overload, others point to the '
    'network.',
)

#: Every event by its number.
EVENTS: dict[int, Event] = {
    event.number: event
    for event in tuple(globals().values())
    if isinstance(event, Event)
}
