"""Tasks and sockets of an agent for a target of a pass-through service."""

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
from pistachiohook_core.passthrough.capacity import LimitReason
from pistachiohook_core.passthrough.discovery import AGENT
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.kept_flows import choose_holders
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.placement import find_report_intervals
from pistachiohook_core.passthrough.segments import read_flow
from pistachiohook_core.passthrough.segments import write_host

from ..datagrams import DatagramSocket
from ..endpoints import Health
from .polling import poll_control
from .timers import DeadlineTimer
from .transport import build_receiver
from .transport import build_sender

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.passthrough.actions import Action
    from pistachiohook_core.passthrough.agent_state import TargetAnnouncement
    from pistachiohook_core.passthrough.segments import SegmentFormat

    from ..logs import Report
    from ..supervisor import Supervisor
    from .settings import AgentSettings
    from .transport import SendMessage

#: Interval at which a shutdown checks whether flows are in progress, in
#: seconds.
DRAIN_INTERVAL = 0.05

#: Part of the longest duration of a shutdown that is reserved for the exit of
#: the process, in seconds.
EXIT_RESERVE = 1.0


@attrs.define
class AgentRole:
    """State of a running agent.

    :param settings: settings of the agent
    :param agent: state machine that decides about flows
    :param finder: known control instances and balancers
    :param outbound: socket to which the target sends its packets
    :param send: sends a message about flows
    :param report: logs an event
    """

    settings: AgentSettings
    agent: Agent
    finder: Finder
    outbound: DatagramSocket
    send: SendMessage
    report: Report
    _reported_state: TargetState = TargetState.UNKNOWN
    _timer: DeadlineTimer = attrs.field(init=False)

    @_timer.default
    def _create_timer(self) -> DeadlineTimer:
        return DeadlineTimer(self._expire)

    def find_health(self) -> Health:
        """Tell whether the target accepts new flows."""
        state = self.agent.find_state(self._now())
        return Health(state is TargetState.READY, state.value)

    async def shut_down(self) -> None:
        """Open no more flows, and wait until those in progress have ended.

        The wait is limited by the longest duration of a shutdown.
        """
        self.agent.stopping = True
        self._report_load(include_remote=True)
        end = self._now() + self.settings.node.grace - EXIT_RESERVE
        while self.agent.in_progress and self._now() < end:
            await asyncio.sleep(DRAIN_INTERVAL)
        holders = choose_holders(
            self._list_balancers(local=True), self._list_balancers(local=False)
        )
        own = self.settings.node.link
        self._execute(self.agent.leave_flows(own, holders, self._now()))

    def receive_announcement(self, target: TargetAnnouncement) -> None:
        """Apply an announcement of the target."""
        self._execute(self.agent.receive_announcement(target, self._now()))
        self._report_new_state()

    def deregister_target(self, name: str) -> None:
        """Mark the target as leaving when it deregisters itself."""
        self._execute(self.agent.deregister_target(name))
        self._report_new_state()

    def handle_packet(self, data: bytes, sender: Address) -> None:
        """Handle a packet that the target has sent."""
        del sender
        self._execute(self.agent.receive_packet(data, self._now()))
        self._report_new_state()

    def handle_message(self, sender: Address, message: object) -> None:
        """Handle a message of a control instance or a balancer."""
        now = self._now()
        if isinstance(message, Welcome):
            unknown = self.finder.receive_welcome(sender, message, now)
            self._follow_evacuation(now)
            self._report_to(unknown)
            return
        self._execute(self.agent.receive_message(sender, message, now))

    async def report_load(self) -> None:
        """Report the load to the balancers periodically, until cancelled.

        Balancers of other availability zones get fewer reports.
        """
        remote_at = float('-inf')
        while True:
            self._set_intervals()
            include_remote = self._now() >= remote_at
            if include_remote:
                remote_at = self._now() + self.agent.report_intervals.remote
            self._report_load(include_remote)
            await asyncio.sleep(self.agent.report_intervals.local)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _follow_evacuation(self, now: float) -> None:
        """Apply the newest known state of the own availability zone."""
        if self.finder.informed:
            evacuated = self.settings.node.zone in self.finder.evacuated
            self._execute(self.agent.set_evacuated(evacuated, now))
            self._report_new_state()

    def _set_intervals(self) -> None:
        zone = self.settings.node.zone
        balancers = self.finder.list_balancers()
        local = sum(node.zone == zone for node in balancers)
        self.agent.report_intervals = find_report_intervals(
            local, len(balancers) - local
        )

    def _expire(self) -> None:
        self._execute(self.agent.expire(self._now()))
        self._report_new_state()

    def _report_new_state(self) -> None:
        state = self.agent.find_state(self._now())
        if state is not self._reported_state:
            self._reported_state = state
            self._report_load(include_remote=True)

    def _list_balancers(self, local: bool) -> list[Address]:
        """Return the balancers of the own availability zone or of others."""
        zone = self.settings.node.zone
        addresses = (
            parse_address(node.address).value_or(None)
            for node in self.finder.list_balancers()
            if (node.zone == zone) == local
        )
        return [address for address in addresses if address is not None]

    def _report_load(self, include_remote: bool) -> None:
        zone = self.settings.node.zone
        self._report_to(
            node
            for node in self.finder.list_balancers()
            if include_remote or node.zone == zone
        )

    def _report_to(self, nodes: Iterable[Node]) -> None:
        """Report the load to some balancers.

        Those of other zones get no report until there is something to report:
        all agents of a system that starts know no target yet.
        """
        load = self.agent.describe_load(self._now())
        report = LoadReport(load)
        for node in nodes:
            is_remote = node.zone != load.zone
            if is_remote and load.state is TargetState.UNKNOWN:
                continue
            address = parse_address(node.address).value_or(None)
            if address is not None:
                self.send(address, report)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case DeliverToTarget(packet):
                    self.outbound.send(packet, self.settings.target)
                case DeliverToCaller(flow, packet):
                    self.outbound.send(packet, self._find_caller_address(flow))
                case Send(address, message):
                    self.send(address, message)
                case Log(event, fields):
                    self.report(event, **fields)
        self._timer.set(self.agent.find_next_deadline())

    def _find_caller_address(self, flow: bytes) -> Address:
        host = write_host(read_flow(flow)[0])
        return Address(host, self.settings.caller_port)


def start_agent(
    settings: AgentSettings,
    segment_format: SegmentFormat,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
    started: int | None = None,
) -> AgentRole:
    """Open the sockets of an agent and start its tasks.

    :param settings: settings of the agent
    :param segment_format: wire format of the packets
    :param supervisor: runs the tasks and restarts those that fail
    :param metrics: metrics of the process
    :param report: logs an event
    :param started: start time of the process, in milliseconds of wall-clock
        time; now when it isn't known
    :returns: state of the running agent
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
        segment_format,
        started=int(time.time() * 1000) if started is None else started,
        started_at=asyncio.get_running_loop().time(),
        flow_age_max=settings.flow_age_max,
        zone_known=False,
        counts=metrics.counts,
        cold_bounds=settings.cold_bounds,
    )
    finder = Finder(node.zone, node.controls)
    metrics.gauges |= {
        'evacuation_revision': lambda: finder.evacuation,
        'zones_evacuated': lambda: len(finder.evacuated),
        'zone_evacuated': lambda: int(agent.evacuated),
        'flows_open': agent.count_open,
        **_list_capacity_gauges(agent),
    }
    send = build_sender(link)
    role = AgentRole(settings, agent, finder, outbound, send, report)
    own_node = Node(str(node.link), node.zone)
    receive = build_receiver(role.handle_message, report)
    supervisor.supervise(
        'outbound', partial(outbound.serve, role.handle_packet)
    )
    supervisor.supervise('link', partial(link.serve, receive))
    supervisor.supervise('reports', role.report_load)
    supervisor.supervise(
        'control',
        partial(
            poll_control,
            AGENT,
            own_node,
            finder,
            lambda: bool(finder.list_balancers()),
            send,
            report,
        ),
    )
    return role


def _list_capacity_gauges(agent: Agent) -> dict[str, Callable[[], float]]:
    """Return the gauges of what an agent has learned about its target.

    The reason for the last change of the limit is its number in the order of
    :class:`LimitReason`.
    """
    now = asyncio.get_running_loop().time
    capacity = agent.capacity
    reasons = list(LimitReason)
    return {
        'target_limit': agent.find_limit,
        'target_limit_reason': lambda: reasons.index(capacity.reason),
        'target_service_ms': lambda: agent.estimate_service(now()),
        'target_sample_age_s': lambda: round(now() - capacity.sampled_at, 3),
    }
