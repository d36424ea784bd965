"""Wiring of an agent for a target of a pass-through service."""

from __future__ import annotations

import asyncio
from functools import partial
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.passthrough.actions import DeliverToCaller
from pistachiohook_core.passthrough.actions import DeliverToTarget
from pistachiohook_core.passthrough.actions import Log
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.agent import Agent
from pistachiohook_core.passthrough.discovery import AGENT
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.placement import REPORT_INTERVAL
from pistachiohook_core.passthrough.placement import REPORTS_PER_REMOTE_REPORT
from pistachiohook_core.passthrough.segments import read_flow
from pistachiohook_core.passthrough.segments import write_host

from ..datagrams import DatagramSocket
from ..endpoints import Health
from .asking import ask_control
from .carrying import build_receiver
from .carrying import build_sender

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.passthrough.actions import Action
    from pistachiohook_core.passthrough.agent import TargetAnnouncement
    from pistachiohook_core.passthrough.segments import SegmentFormat

    from ..logs import Report
    from ..supervisor import Supervisor
    from .carrying import SendMessage
    from .settings import AgentSettings

#: Time between two looks at what is over, in seconds: a third of the wait
#: for a target.
EXPIRE_INTERVAL = 0.025

#: Time between two looks at whether the last flow has ended, in seconds.
DRAIN_INTERVAL = 0.05

#: Time of a shutdown that is kept for the end of the process, in seconds.
EXIT_RESERVE = 1.0


@attrs.define
class AgentRole:
    """State of a running agent.

    :param settings: what it was told
    :param agent: its decisions
    :param finder: what it knows of control and the balancers
    :param outbound: socket that the target sends to
    :param send: sends a message about flows
    :param report: logs an event
    """

    settings: AgentSettings
    agent: Agent
    finder: Finder
    outbound: DatagramSocket
    send: SendMessage
    report: Report
    _state: TargetState = TargetState.UNKNOWN

    def find_health(self) -> Health:
        """Say whether flows may be opened here."""
        state = self.agent.find_state(self._now())
        return Health(state is TargetState.READY, state.value)

    async def shut_down(self) -> None:
        """Let the open flows end."""
        self.agent.stopping = True
        self._report_load(far=True)
        end = self._now() + self.settings.node.grace - EXIT_RESERVE
        while self.agent.in_progress and self._now() < end:
            await asyncio.sleep(DRAIN_INTERVAL)

    def announce_target(self, target: TargetAnnouncement) -> None:
        """Take what the target says of itself."""
        self._carry_out(self.agent.receive_announcement(target, self._now()))
        self._watch_state()

    def withdraw_target(self, name: str) -> None:
        """Take that the target is going away."""
        self._carry_out(self.agent.deregister_target(name))
        self._watch_state()

    def take_packet(self, data: bytes, sender: Address) -> None:
        """Take what the target sends."""
        del sender
        self._carry_out(self.agent.receive_packet(data, self._now()))

    def take_message(self, sender: Address, message: object) -> None:
        """Take a message from control or a balancer."""
        now = self._now()
        if isinstance(message, Welcome):
            self._report_to(self.finder.receive_welcome(sender, message, now))
            return
        self._carry_out(self.agent.receive_message(sender, message, now))

    async def expire(self) -> None:
        """Look for what is over, until cancelled."""
        while True:
            if self.agent.flows or self.agent.declined:
                self._carry_out(self.agent.expire(self._now()))
            self._watch_state()
            await asyncio.sleep(EXPIRE_INTERVAL)

    async def report_load(self) -> None:
        """Report to the balancers, until cancelled."""
        turn = 0
        while True:
            self._report_load(far=turn % REPORTS_PER_REMOTE_REPORT == 0)
            turn += 1
            await asyncio.sleep(REPORT_INTERVAL)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _watch_state(self) -> None:
        state = self.agent.find_state(self._now())
        if state is not self._state:
            self._state = state
            self._report_load(far=True)

    def _report_load(self, far: bool) -> None:
        zone = self.settings.node.zone
        self._report_to(
            node
            for node in self.finder.list_balancers()
            if far or node.zone == zone
        )

    def _report_to(self, nodes: Iterable[Node]) -> None:
        report = LoadReport(self.agent.describe_load(self._now()))
        for node in nodes:
            address = parse_address(node.address).value_or(None)
            if address is not None:
                self.send(address, report)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case DeliverToTarget(packet):
                    self.outbound.send(packet, self.settings.target)
                case DeliverToCaller(flow, packet):
                    self.outbound.send(packet, self._find_caller(flow))
                case Send(address, message):
                    self.send(address, message)
                case Log(event, fields):
                    self.report(event, **fields)

    def _find_caller(self, flow: bytes) -> Address:
        host = write_host(read_flow(flow)[0])
        return Address(host, self.settings.caller_port)


def start_agent(
    settings: AgentSettings,
    form: SegmentFormat,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> AgentRole:
    """Start the tasks of an agent below a supervisor.

    :param settings: what it is told
    :param form: form of the packets
    :param supervisor: keeps the tasks running
    :param metrics: counts of the process
    :param report: logs an event
    :raises OSError: when an address can't be bound
    """
    node = settings.node
    link = DatagramSocket(node.link, report)
    outbound = DatagramSocket(settings.outbound, report)
    link.open()
    outbound.open()
    agent = Agent(
        settings.service,
        node.zone,
        form,
        started=int(time.time() * 1000),
        started_at=asyncio.get_running_loop().time(),
        flow_age_max=settings.flow_age_max,
        counts=metrics.counts,
    )
    finder = Finder(node.zone, node.controls)
    send = build_sender(link)
    role = AgentRole(settings, agent, finder, outbound, send, report)
    itself = Node(str(node.link), node.zone)
    receive = build_receiver(role.take_message, report)
    supervisor.supervise('outbound', partial(outbound.serve, role.take_packet))
    supervisor.supervise('link', partial(link.serve, receive))
    supervisor.supervise('expiry', role.expire)
    supervisor.supervise('reports', role.report_load)
    supervisor.supervise(
        'control',
        partial(
            ask_control,
            AGENT,
            itself,
            finder,
            lambda: bool(finder.list_balancers()),
            send,
            report,
        ),
    )
    return role
