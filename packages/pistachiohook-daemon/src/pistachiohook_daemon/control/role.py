"""Starts the tasks of the control role."""

from __future__ import annotations

from functools import partial
from pathlib import Path
import secrets
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.membership.leases import LeaseTable
from pistachiohook_core.membership.server import SubscriptionServer
from pistachiohook_core.membership.subscription import FRESHNESS_BOUND
from pistachiohook_core.subscription_messages import SUBSCRIPTION_CODEC
from returns.result import Failure as Failed

from ..clocks import read_clock
from ..endpoints import Health
from ..links import LinkServer
from ..settings import MemberSettings
from .administration import Administration
from .api import serve_api
from .disk import open_data_folder
from .nodes import NodeServer
from .peers import connect_peers
from .proposals import Proposer
from .replicator import Replicator
from .replicator import StateMachine
from .state_machine import ControlStateMachine
from .tokens import read_tokens

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.configuration.state import State

    from ..keys import LinkKeys
    from ..logs import Report
    from ..serving import RunningServer
    from ..settings import ControlSettings
    from ..settings import Settings
    from ..supervisor import Supervisor
    from .disk import DataFolder
    from .peers import Peers

#: Longest wait for the requests in progress at a shutdown, in seconds.
REQUESTS_TIMEOUT = 3.0


@attrs.define
class ControlRole:
    """State of a running control instance.

    :param replicator: replicates commands among the instances
    :param links: listening end of the nodes' links
    :param link: address to which nodes connect
    :param api: HTTP server of the administration API
    :param peers: links to the other instances
    :param folder: open data folder
    :param state_machine: the replicated state
    """

    replicator: Replicator
    links: LinkServer
    link: Address
    api: RunningServer
    peers: Peers
    folder: DataFolder
    state_machine: ControlStateMachine

    @property
    def state(self) -> State:
        """The replicated state up to the last command applied here."""
        return self.state_machine.state

    def find_health(self) -> Health:
        """Return whether a quorum has recently confirmed this instance."""
        freshness = self.replicator.freshness(read_clock())
        leader = self.replicator.leader or 'unknown'
        reason = f'leader {leader}, quorum confirmed {freshness:.1f} s ago'
        return Health(freshness <= FRESHNESS_BOUND, reason)

    async def shut_down(self) -> None:
        """Answer the requests in progress and close all connections."""
        await self.api.finish(REQUESTS_TIMEOUT)
        await self.api.close_connections()
        self.links.close()
        self.peers.close()


async def run_control(
    settings: Settings,
    table: ControlSettings,
    keys: LinkKeys,
    supervisor: Supervisor,
    report: Report,
) -> ControlRole:
    """Start the tasks of the control role under a supervisor.

    :param settings: settings of the process
    :param table: the settings' table ``control_instance``
    :param keys: keys of the links
    :param supervisor: runs the tasks and restarts those that fail
    :param report: logs an event
    :raises ValueError: when the token file can't be read
    :raises OSError: when the address of the API can't be bound or the data
        folder can't be opened
    :raises pynng.NNGException: when the address of a link can't be bound
    """
    name = settings.name
    tokens = read_tokens(Path(table.tokens_file))
    if isinstance(tokens, Failed):
        raise ValueError(str(tokens.failure()))
    members = table.members or (MemberSettings(name, table.peer, table.api),)
    folder = open_data_folder(Path(table.data_folder))
    subscriptions = SubscriptionServer(name, LeaseTable(name, read_clock()))
    state_machine = ControlStateMachine(subscriptions, report)
    peers = connect_peers(name, table.peer, members, keys, report)
    replicator = Replicator(
        name=name,
        addresses={member.name: str(member.peer) for member in members},
        files=folder.files,
        state_machine=StateMachine(
            state_machine.apply,
            state_machine.restore,
            state_machine.take_snapshot,
        ),
        send=peers.send,
        report=report,
        folder_id=secrets.token_hex(8),
        seed=secrets.randbits(32),
    )
    proposer = Proposer(name, replicator, peers.send)
    links = LinkServer(SUBSCRIPTION_CODEC, keys, report)
    link = links.listen(table.link)
    server = NodeServer(subscriptions, replicator, proposer, links, report)
    administration = Administration(
        name, members, state_machine, replicator, proposer
    )
    api = serve_api(table.api, administration, tokens.unwrap(), report)
    supervisor.supervise('replicator', replicator.run)
    supervisor.supervise('connections', peers.receive_handshakes)
    serve_peers = partial(peers.serve, proposer, replicator.receive)
    supervisor.supervise('peers', serve_peers)
    supervisor.supervise('nodes', server.serve)
    supervisor.supervise('leases', server.update_nodes)
    supervisor.supervise('reads', server.confirm_nodes)
    supervisor.supervise('reports', server.report_nodes)
    return ControlRole(
        replicator, links, link, api, peers, folder, state_machine
    )
