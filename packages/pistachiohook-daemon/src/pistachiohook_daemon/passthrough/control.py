"""Tasks and sockets of a control instance for pass-through services."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
import secrets
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.consensus.replica import DynamicMembership
from pistachiohook_core.events import EVACUATION_ACCEPTED
from pistachiohook_core.events import EVACUATION_OUTCOME_UNKNOWN
from pistachiohook_core.events import ROUTES_ACCEPTED
from pistachiohook_core.events import ROUTES_OUTCOME_UNKNOWN
from pistachiohook_core.events import ROUTES_REFUSED
from pistachiohook_core.failures import Failure
from pistachiohook_core.passthrough.commands import COMMAND_CODEC
from pistachiohook_core.passthrough.commands import load_routes
from pistachiohook_core.passthrough.commands import make_command
from pistachiohook_core.passthrough.commands import read_document
from pistachiohook_core.passthrough.commands import RouteStateMachine
from pistachiohook_core.passthrough.commands import SetEvacuation
from pistachiohook_core.passthrough.commands import unpack_routes
from pistachiohook_core.passthrough.discovery import CONTROL
from pistachiohook_core.passthrough.discovery import Directory
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.discovery import GOSSIP_INTERVAL
from pistachiohook_core.passthrough.discovery import HELLO_INTERVAL_UNREADY
from pistachiohook_core.passthrough.messages import Hello
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.routes import add_former_services
from pistachiohook_core.passthrough.routes import INVALID
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..clocks import read_clock
from ..control.disk import create_memory_files
from ..control.disk import open_data_folder
from ..control.peers import connect_peers_on_demand
from ..control.proposals import ANSWER_TIMEOUT
from ..control.proposals import Proposer
from ..control.replicator import Replicator
from ..control.replicator import StateMachine
from ..control.replicator import UNKNOWN_OUTCOME
from ..datagrams import DatagramSocket
from ..endpoints import Health
from ..serving import BINARY
from ..serving import HttpResponse
from ..serving import serve_http
from .transport import build_receiver
from .transport import build_sender

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.passthrough.commands import Evacuation
    from pistachiohook_core.passthrough.commands import ReplaceRoutes
    from pistachiohook_core.passthrough.routes import RouteSet
    from pistachiohook_core.storage.files import FileOperations

    from ..keys import LinkKeys
    from ..logs import Report
    from ..serving import HttpRequest
    from ..serving import RunningServer
    from ..supervisor import Supervisor
    from .settings import ControlSettings
    from .transport import SendMessage

#: Time for which a failed proposal of a change is retried, in seconds: less
#: than a second, after which the operator turns to another instance.
PROPOSE_RETRY_DURATION = 0.7

#: Time within which a quorum must confirm a read, in seconds: less than a
#: second, for the same reason.
READ_TIMEOUT = 0.9

#: Longest wait for the calls in progress at a shutdown, in seconds: the
#: longest that a change takes, whose last attempt may begin at the end of its
#: retries, and time to send the answer.
CALLS_TIMEOUT = PROPOSE_RETRY_DURATION + ANSWER_TIMEOUT + 0.3

#: Share of the longest duration of a shutdown after which an instance waits no
#: more until the others can do without its vote: they may have to elect a
#: leader first.
LEAVE_SHARE = 0.8

#: Largest age of a quorum confirmation that a message states, in seconds; it
#: stands for all larger ones, because nodes use only recent confirmations.
REPORTED_AGE_MAX = 3600.0


@attrs.define
class ControlRole:
    """State of a running control instance.

    :param settings: settings of the control instance
    :param route_state: replicated route set and evacuated zones
    :param replicator: replicates the state to the other instances
    :param proposer: forwards changes to the leader
    :param directory: live nodes
    :param finder: known control instances
    :param send: sends a message
    :param report: logs an event
    :param servers: HTTP servers whose calls in progress a shutdown answers
    """

    settings: ControlSettings
    route_state: RouteStateMachine
    replicator: Replicator
    proposer: Proposer
    directory: Directory
    finder: Finder
    send: SendMessage
    report: Report
    servers: list[RunningServer] = attrs.field(factory=list)

    def find_health(self) -> Health:
        """Tell whether a leader is known, so that changes can be accepted."""
        leader = self.replicator.leader
        return Health(bool(leader), f'leader {leader or "not known"}')

    async def shut_down(self) -> None:
        """Accept no more calls, answer those in progress, and vote no more.

        An operator whose call was cut off would not know its outcome. The
        wait is limited to half of the longest duration of a shutdown. The
        instance may be removed for good: if its vote went on to count, two
        such stops shortly after each other could leave no quorum.
        """
        began = read_clock()
        grace = self.settings.node.grace
        timeout = min(CALLS_TIMEOUT, grace / 2)
        await asyncio.gather(
            *(server.finish(timeout) for server in self.servers)
        )
        await self.replicator.leave(began + LEAVE_SHARE * grace - read_clock())

    async def replace_routes(
        self, routes: RouteSet, document: bytes
    ) -> Result[int, Failure]:
        """Apply a route set unless its version or a higher one is applied.

        :param routes: the new set
        :param document: the new set as its operator wrote it
        :returns: the version that is applied afterwards; or a failure, whose
            reason is :data:`~.routes.INVALID` or tells that the outcome is
            unknown
        """
        current = self.route_state.current
        if routes.version > current.version:
            routes = _add_current_services(routes, current)
        replacement = make_command(routes, document)
        loaded = load_routes(replacement.routes)
        if isinstance(loaded, Failed):
            failure = self.refuse_routes(routes.version, loaded.failure())
            return Failed(failure)
        if routes.version <= current.version:
            return Success(current.version)
        command = COMMAND_CODEC.encode(replacement)
        result = await self.proposer.propose(command, PROPOSE_RETRY_DURATION)
        if isinstance(result, Failed):
            failure = result.failure()
            self._report_unknown_outcome(routes.version, failure)
            return Failed(failure)
        outcome = COMMAND_CODEC.decode(result.unwrap(), 'leader').unwrap()
        self.report(
            ROUTES_ACCEPTED,
            version=routes.version,
            in_force=outcome.version,
            changed=outcome.changed,
            routes=len(routes.routes),
        )
        return Success(outcome.version)

    def refuse_routes(self, version: int, failure: Failure) -> Failure:
        """Log that a route set was refused, and return the failure.

        :param version: version of the set; 0 when it can't be decoded
        :param failure: first error in the set
        :returns: failure for the operator, with the reason
            :data:`~.routes.INVALID`
        """
        self.report(
            ROUTES_REFUSED,
            version=version,
            in_force=self.route_state.current.version,
            peer=failure.peer,
            reason=failure.reason,
        )
        return Failure(failure.step, failure.peer, INVALID)

    async def read_routes(self) -> Result[bytes, Failure]:
        """Return the newest route set that any control instance has accepted.

        :returns: the set as its operator wrote it, empty when there is none;
            or a failure when no quorum has confirmed the read in time
        """
        result = await self._confirm_state()
        if isinstance(result, Failed):
            self._report_unknown_outcome(
                self.route_state.current.version, result.failure()
            )
            return Failed(result.failure())
        if not self.route_state.current.version:
            return Success(b'')
        return Success(read_document(self.route_state.current))

    async def set_evacuated(
        self, zone: str, active: bool
    ) -> Result[int, Failure]:
        """Evacuate an availability zone, or return it to service.

        :param zone: name of the zone
        :param active: whether it is evacuated from now on
        :returns: the revision of the evacuated zones afterwards; or a failure
            when the outcome is unknown
        """
        command = COMMAND_CODEC.encode(SetEvacuation(zone, active))
        result = await self.proposer.propose(command, PROPOSE_RETRY_DURATION)
        if isinstance(result, Failed):
            self._report_unknown_evacuation(result.failure(), zone)
            return Failed(result.failure())
        outcome = COMMAND_CODEC.decode(result.unwrap(), 'leader').unwrap()
        self.report(
            EVACUATION_ACCEPTED,
            zone=zone,
            evacuated=active,
            revision=outcome.revision,
            changed=outcome.changed,
        )
        return Success(outcome.revision)

    async def read_evacuation(self) -> Result[Evacuation, Failure]:
        """Return the newest evacuated zones.

        :returns: the zones; or a failure when no quorum has confirmed the read
            in time
        """
        result = await self._confirm_state()
        if isinstance(result, Failed):
            self._report_unknown_evacuation(result.failure())
            return Failed(result.failure())
        return Success(self.route_state.evacuation)

    def handle_message(self, sender: Address, message: object) -> None:
        """Handle a hello of a node or the answer of another instance."""
        now = asyncio.get_running_loop().time()
        if isinstance(message, Welcome):
            self.finder.receive_welcome(sender, message, now)
        if not isinstance(message, Hello):
            return
        self.directory.receive_hello(message, now)
        controls, balancers = self.directory.list_for(message)
        age = self.replicator.freshness(read_clock())
        welcome = Welcome(
            self.directory.node,
            self.route_state.current.version,
            int(min(age, REPORTED_AGE_MAX) * 1000),
            str(self.settings.routes),
            controls,
            balancers,
            self.directory.number_lists(message),
            bool(self.settings.data_folder),
            self.route_state.evacuation.zones,
            self.route_state.evacuation.revision,
        )
        self.send(sender, welcome)

    async def gossip(self) -> None:
        """Send the list of live balancers to the other control instances.

        Sends it when the known nodes have changed, and periodically, until
        cancelled.
        """
        loop = asyncio.get_running_loop()
        sent: tuple[tuple[Node, ...], ...] = ()
        sent_at = float('-inf')
        while True:
            self.directory.expire(loop.time())
            balancers = self.directory.list_relayed_balancers()
            known = (balancers, self.directory.list_controls())
            if known != sent or loop.time() - sent_at >= GOSSIP_INTERVAL:
                sent, sent_at = known, loop.time()
                self._send_to_controls(balancers)
            await asyncio.sleep(HELLO_INTERVAL_UNREADY)

    def _send_to_controls(self, balancers: tuple[Node, ...]) -> None:
        """Send a hello with some balancers to the other control instances.

        Each answers with the lists of its nodes, unless they are known here.
        """
        for address in self.finder.list_controls():
            if address != self.settings.node.link:
                lists = self.finder.find_lists(address)
                hello = Hello(
                    CONTROL, self.directory.node, balancers, lists=lists
                )
                self.send(address, hello)

    async def _confirm_state(self) -> Result[int, Failure]:
        """Wait until the replicated state is confirmed as the newest."""
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                return await self.replicator.read_barrier()
        except TimeoutError:
            peer = self.replicator.leader
            return Failed(Failure('read', peer, UNKNOWN_OUTCOME))

    def _report_unknown_evacuation(
        self, failure: Failure, zone: str = ''
    ) -> None:
        self.report(
            EVACUATION_OUTCOME_UNKNOWN,
            zone=zone,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )

    def _report_unknown_outcome(self, version: int, failure: Failure) -> None:
        self.report(
            ROUTES_OUTCOME_UNKNOWN,
            version=version,
            in_force=self.route_state.current.version,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )


def start_control(
    settings: ControlSettings,
    keys: LinkKeys,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> ControlRole:
    """Open the files and sockets of a control instance and start its tasks.

    :param settings: settings of the control instance
    :param keys: keys of the links between control instances
    :param supervisor: runs the tasks and restarts those that fail
    :param metrics: metrics of the process
    :param report: logs an event
    :returns: state of the running control instance
    :raises OSError: when an address or a file can't be used
    """
    node = settings.node
    name = str(settings.peer)
    files = _open_files(settings.data_folder)
    route_state = RouteStateMachine()
    peers = connect_peers_on_demand(name, settings.peer, keys, report)
    replicator = Replicator(
        name=name,
        addresses={str(seed): str(seed) for seed in settings.seeds},
        files=files,
        state_machine=StateMachine(
            route_state.apply, route_state.restore, route_state.take_snapshot
        ),
        send=peers.send,
        report=report,
        folder_id=secrets.token_hex(8),
        seed=secrets.randbits(32),
        dynamic_membership=DynamicMembership(
            settings.tolerance,
            settings.may_bootstrap,
            durable=bool(settings.data_folder),
        ),
        counts=metrics.counts,
    )
    proposer = Proposer(name, replicator, peers.send)
    link = DatagramSocket(node.link, report)
    link.open()
    own_node = Node(str(node.link), node.zone)
    metrics.gauges |= {
        'evacuation_revision': lambda: route_state.evacuation.revision,
        'zones_evacuated': lambda: len(route_state.evacuation.zones),
    }
    role = ControlRole(
        settings,
        route_state,
        replicator,
        proposer,
        Directory(own_node),
        Finder(node.zone, node.controls),
        build_sender(link),
        report,
    )

    def show_routes(_: HttpRequest) -> HttpResponse:
        return HttpResponse(
            body=route_state.current.routes, content_type=BINARY
        )

    role.servers.append(
        serve_http(settings.routes, {'GET /routes': show_routes}, report)
    )
    receive = build_receiver(role.handle_message, report)
    supervisor.supervise('replicator', replicator.run)
    supervisor.supervise(
        'peers', partial(peers.serve, proposer, replicator.receive)
    )
    supervisor.supervise('link', partial(link.serve, receive))
    supervisor.supervise('gossip', role.gossip)
    return role


def _add_current_services(
    routes: RouteSet, current: ReplaceRoutes
) -> RouteSet:
    """Note the services that each route names in the applied set."""
    if not current.version:
        return routes
    try:
        former = unpack_routes(current.routes)
    except ValueError:
        # A set that nobody can read must still be replaceable.
        return routes
    return add_former_services(routes, former)


def _open_files(data_folder: str) -> FileOperations:
    if not data_folder:
        return create_memory_files()
    return open_data_folder(Path(data_folder)).files
