"""Wiring of a control instance for pass-through services."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
import secrets
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.consensus.replica import DynamicMembership
from pistachiohook_core.events import ROUTES_ACCEPTED
from pistachiohook_core.events import ROUTES_OUTCOME_UNKNOWN
from pistachiohook_core.events import ROUTES_REFUSED
from pistachiohook_core.failures import Failure
from pistachiohook_core.passthrough.commands import COMMAND_CODEC
from pistachiohook_core.passthrough.commands import make_command
from pistachiohook_core.passthrough.commands import read_document
from pistachiohook_core.passthrough.commands import RouteStateMachine
from pistachiohook_core.passthrough.discovery import CONTROL
from pistachiohook_core.passthrough.discovery import Directory
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.discovery import GOSSIP_INTERVAL
from pistachiohook_core.passthrough.discovery import HELLO_INTERVAL_UNREADY
from pistachiohook_core.passthrough.messages import Hello
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.routes import check_routes
from pistachiohook_core.passthrough.routes import INVALID
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..control.disk import create_memory_files
from ..control.disk import open_data_folder
from ..control.peers import connect_peers_on_demand
from ..control.proposals import Proposer
from ..control.replicator import Replicator
from ..control.replicator import StateMachine
from ..control.replicator import UNKNOWN_OUTCOME
from ..datagrams import DatagramSocket
from ..endpoints import Health
from ..serving import BINARY
from ..serving import HttpResponse
from ..serving import serve_http
from .carrying import build_receiver
from .carrying import build_sender

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.passthrough.routes import RouteSet
    from pistachiohook_core.storage.files import FileOperations

    from ..keys import LinkKeys
    from ..logs import Report
    from ..serving import HttpRequest
    from ..supervisor import Supervisor
    from .carrying import SendMessage
    from .settings import ControlSettings

#: Time in which a change is proposed again, in seconds: the operator asks
#: another instance after a second.
PROPOSE_PATIENCE = 0.7

#: Wait for a quorum to confirm a read, in seconds; the same bound.
READ_TIMEOUT = 0.9

#: Largest age of a proof that is told, in seconds; an older one is useless.
AGE_MAX = 3600.0


@attrs.define
class ControlRole:
    """State of a running control instance.

    :param settings: what it was told
    :param orders: the replicated state
    :param replicator: agrees with the other instances
    :param proposer: hands changes to the leader
    :param directory: nodes that were heard
    :param finder: what it knows of the other instances
    :param send: sends a message
    :param report: logs an event
    """

    settings: ControlSettings
    orders: RouteStateMachine
    replicator: Replicator
    proposer: Proposer
    directory: Directory
    finder: Finder
    send: SendMessage
    report: Report

    def find_health(self) -> Health:
        """Say whether changes can be accepted."""
        leader = self.replicator.leader
        return Health(bool(leader), f'leader {leader or "not known"}')

    async def shut_down(self) -> None:
        """Stop at once; what was accepted is on the disks of others."""

    async def replace_routes(
        self, routes: RouteSet, document: bytes
    ) -> Result[int, Failure]:
        """Put a route set in force, unless one of its version or above is.

        :param routes: the set
        :param document: the same as its operator wrote it
        :returns: the version in force; or a failure, whose reason is
            :data:`~.routes.INVALID` or that the outcome is not known
        """
        faults = check_routes(routes)
        if faults:
            return Failed(self.refuse_routes(routes.version, faults[0]))
        if routes.version <= self.orders.current.version:
            return Success(self.orders.current.version)
        command = COMMAND_CODEC.encode(make_command(routes, document))
        result = await self.proposer.propose(command, PROPOSE_PATIENCE)
        if isinstance(result, Failed):
            failure = result.failure()
            self._report_uncertain(routes.version, failure)
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

    def refuse_routes(self, version: int, fault: Failure) -> Failure:
        """Refuse a set as a whole, for the log and the operator.

        :param version: its number; 0 when it can't be read
        :param fault: what is wrong
        """
        self.report(
            ROUTES_REFUSED,
            version=version,
            in_force=self.orders.current.version,
            peer=fault.peer,
            reason=fault.reason,
        )
        return Failure(fault.step, fault.peer, INVALID)

    async def read_routes(self) -> Result[bytes, Failure]:
        """Return the newest route set that was accepted anywhere.

        :returns: the set as its operator wrote it; empty when there is none
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                result = await self.replicator.read_barrier()
        except TimeoutError:
            peer = self.replicator.leader
            result = Failed(Failure('read', peer, UNKNOWN_OUTCOME))
        if isinstance(result, Failed):
            self._report_uncertain(
                self.orders.current.version, result.failure()
            )
            return Failed(result.failure())
        if not self.orders.current.version:
            return Success(b'')
        return Success(read_document(self.orders.current))

    def take_message(self, sender: Address, message: object) -> None:
        """Answer a node that says hello, or hear another instance."""
        now = asyncio.get_running_loop().time()
        if isinstance(message, Welcome):
            self.finder.receive_welcome(sender, message, now)
        if not isinstance(message, Hello):
            return
        self.directory.receive_hello(message, now)
        controls, balancers = self.directory.list_for(message)
        age = self.replicator.freshness(time.monotonic())
        welcome = Welcome(
            self.directory.node,
            self.orders.current.version,
            int(min(age, AGE_MAX) * 1000),
            str(self.settings.routes),
            controls,
            balancers,
        )
        self.send(sender, welcome)

    async def gossip(self) -> None:
        """Tell the other control instances who is heard, until cancelled."""
        loop = asyncio.get_running_loop()
        told: tuple[tuple[Node, ...], ...] = ()
        told_at = float('-inf')
        while True:
            self.directory.expire(loop.time())
            heard = self.directory.list_direct_balancers()
            known = (heard, self.directory.list_controls())
            if known != told or loop.time() - told_at >= GOSSIP_INTERVAL:
                told, told_at = known, loop.time()
                self._tell_others(Hello(CONTROL, self.directory.node, heard))
            await asyncio.sleep(HELLO_INTERVAL_UNREADY)

    def _tell_others(self, hello: Hello) -> None:
        for address in self.finder.list_controls():
            if address != self.settings.node.link:
                self.send(address, hello)

    def _report_uncertain(self, version: int, failure: Failure) -> None:
        self.report(
            ROUTES_OUTCOME_UNKNOWN,
            version=version,
            in_force=self.orders.current.version,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )


def start_control(
    settings: ControlSettings,
    keys: LinkKeys,
    supervisor: Supervisor,
    report: Report,
) -> ControlRole:
    """Start the tasks of a control instance below a supervisor.

    :param settings: what it is told
    :param keys: keys of the links between control instances
    :param supervisor: keeps the tasks running
    :param report: logs an event
    :raises OSError: when an address or a file can't be used
    """
    node = settings.node
    name = str(settings.peer)
    files = _open_files(settings.data_folder)
    orders = RouteStateMachine()
    peers = connect_peers_on_demand(name, settings.peer, keys, report)
    replicator = Replicator(
        name=name,
        addresses={str(seed): str(seed) for seed in settings.seeds},
        files=files,
        state_machine=StateMachine(
            orders.apply, orders.restore, orders.take_snapshot
        ),
        send=peers.send,
        report=report,
        folder_id=secrets.token_hex(8),
        seed=secrets.randbits(32),
        dynamic_membership=DynamicMembership(
            settings.tolerance,
            settings.may_found,
            durable=bool(settings.data_folder),
        ),
    )
    proposer = Proposer(name, replicator, peers.send)
    link = DatagramSocket(node.link, report)
    link.open()
    itself = Node(str(node.link), node.zone)
    role = ControlRole(
        settings,
        orders,
        replicator,
        proposer,
        Directory(itself),
        Finder(node.zone, node.controls),
        build_sender(link),
        report,
    )

    def show_routes(_: HttpRequest) -> HttpResponse:
        return HttpResponse(body=orders.current.routes, content_type=BINARY)

    serve_http(settings.routes, {'GET /routes': show_routes}, report)
    receive = build_receiver(role.take_message, report)
    supervisor.supervise('replicator', replicator.run)
    supervisor.supervise(
        'peers', partial(peers.serve, proposer, replicator.receive)
    )
    supervisor.supervise('link', partial(link.serve, receive))
    supervisor.supervise('gossip', role.gossip)
    return role


def _open_files(data_folder: str) -> FileOperations:
    if not data_folder:
        return create_memory_files()
    return open_data_folder(Path(data_folder)).files
