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
from returns.result import Result
from returns.result import Success

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
    from pistachiohook_core.failures import Failure
    from tornado.httpserver import HTTPServer

    from ..keys import LinkKeys
    from ..logs import Report
    from ..settings import ControlSettings
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
        """Take no more connections."""
        self.api.stop()
        self.links.close()


async def run_control(
    name: str,
    settings: ControlSettings,
    supervisor: Supervisor,
    keys: LinkKeys,
    report: Report,
) -> Result[ControlRole, Failure]:
    """Start the tasks of the control role below a supervisor.

    :param name: name of the instance
    :param settings: the table ``control_instance``
    :param supervisor: keeps the tasks running
    :param keys: keys of the links
    :param report: logs an event
    :returns: the running role, or why it could not start
    :raises OSError: when an address or a file can't be used
    """
    tokens = read_tokens(Path(settings.tokens_file))
    if isinstance(tokens, Failed):
        return Failed(tokens.failure())
    holder = Holder(name, LeaseTable(name, time.monotonic()))
    machine = ControlMachine(holder, report)
    replicator = SolitaryReplicator(name, Path(settings.data_folder), machine)
    replicator.open()
    links = LinkServer(SUBSCRIPTION_CODEC, keys, report)
    link = links.listen(settings.link)
    server = NodeServer(holder, replicator, links, report)
    administration = Administration(
        name, settings.members, machine, replicator
    )
    api = serve_api(settings.api, administration, tokens.unwrap(), report)
    supervisor.supervise('replicator', replicator.run)
    supervisor.supervise('nodes', server.serve)
    supervisor.supervise('leases', server.watch)
    supervisor.supervise('reads', server.prove)
    supervisor.supervise('reports', server.write)
    return Success(ControlRole(replicator, links, link, api))
