"""Wiring of the control role."""

from __future__ import annotations

from pathlib import Path
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.membership.holder import Holder
from pistachiohook_core.membership.leases import LeaseTable
from pistachiohook_core.membership.subscription import FRESHNESS_BOUND
from pistachiohook_core.subscription_messages import SUBSCRIPTION_CODEC
from returns.result import Failure as Failed

from ..endpoints import Health
from ..links import LinkServer
from .administration import Administration
from .api import serve_api
from .machine import ControlMachine
from .nodes import NodeServer
from .solitary import SolitaryReplicator
from .tokens import read_tokens

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from tornado.httpserver import HTTPServer

    from ..keys import LinkKeys
    from ..logs import Report
    from ..settings import ControlSettings
    from ..settings import Settings
    from ..supervisor import Supervisor
    from .replication import Replicator


@attrs.define
class ControlRole:
    """State of a running control instance.

    :param replicator: agrees with the other instances
    :param links: listening end of the nodes' connections
    :param link: where nodes connect
    :param api: the administration API
    """

    replicator: Replicator
    links: LinkServer
    link: Address
    api: HTTPServer

    def find_health(self) -> Health:
        """Return whether this instance has a quorum behind it."""
        freshness = self.replicator.freshness(time.monotonic())
        leader = self.replicator.leader or 'unknown'
        reason = f'leader {leader}, quorum proved {freshness:.1f} s ago'
        return Health(freshness <= FRESHNESS_BOUND, reason)

    async def shut_down(self) -> None:
        """Take no more connections; requests in progress are answered."""
        self.api.stop()
        await self.api.close_all_connections()
        self.links.close()


async def run_control(
    settings: Settings,
    table: ControlSettings,
    keys: LinkKeys,
    supervisor: Supervisor,
    report: Report,
) -> ControlRole:
    """Start the tasks of the control role below a supervisor.

    :param settings: settings of the process
    :param table: its table ``control_instance``
    :param keys: keys of the links
    :param supervisor: keeps the tasks running
    :param report: logs an event
    :raises ValueError: when the token file can't be read
    :raises OSError: when an address or a file can't be used
    """
    name = settings.name
    tokens = read_tokens(Path(table.tokens_file))
    if isinstance(tokens, Failed):
        raise ValueError(str(tokens.failure()))
    holder = Holder(name, LeaseTable(name, time.monotonic()))
    machine = ControlMachine(holder, report)
    replicator = SolitaryReplicator(name, Path(table.data_folder), machine)
    replicator.open()
    links = LinkServer(SUBSCRIPTION_CODEC, keys, report)
    link = links.listen(table.link)
    server = NodeServer(holder, replicator, links, report)
    administration = Administration(name, table.members, machine, replicator)
    api = serve_api(table.api, administration, tokens.unwrap(), report)
    supervisor.supervise('replicator', replicator.run)
    supervisor.supervise('nodes', server.serve)
    supervisor.supervise('leases', server.watch)
    supervisor.supervise('reads', server.prove)
    supervisor.supervise('reports', server.write)
    return ControlRole(replicator, links, link, api)
