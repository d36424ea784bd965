"""Builds an agent from its settings and starts its tasks."""

from __future__ import annotations

from functools import partial
import hashlib
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.membership.weights import WeightController
from pistachiohook_core.published import Target
from pistachiohook_core.requests.history import MembershipHistory
from pistachiohook_core.requests.ledger_client import LedgerClient
from pistachiohook_core.requests.ledger_replica import LedgerReplica
from pistachiohook_core.requests.scheduler import Scheduler
from pistachiohook_core.requests.scheduler import SchedulerSettings
from pistachiohook_core.steering.envelope import Keys
from pistachiohook_core.steering.flows import AgentRouter

from ..clocks import read_clock
from ..datagrams import DatagramSocket
from ..subscriber import build_subscriber
from .answers import describe_problem
from .answers import encode_answer
from .answers import NOT_RUN
from .engine import configure_quic
from .engine import Engine
from .flows import FlowService
from .hand_over import HandOverServer
from .hand_over import ProofChecker
from .ledger import LedgerService
from .load import LoadService
from .peers import PEER_CODEC
from .peers import PeerLinks
from .requests import RequestService
from .role import AgentRole
from .role import IDLE_TIMEOUT

if TYPE_CHECKING:
    from pistachiohook_core.metrics import Metrics

    from ..keys import LinkKeys
    from ..logs import Report
    from ..settings import AgentSettings
    from ..settings import Settings
    from ..supervisor import Supervisor

#: Lifetime of an idempotency key before the policy of the service has been
#: received, in seconds.
KEY_LIFETIME = 600.0


@attrs.frozen
class _AgentContext:
    """What the parts of an agent are built from.

    :param settings: settings of the process
    :param agent_settings: the agent's part of them
    :param link_keys: keys of links and envelopes
    :param metrics: takes counts and durations
    :param report: logs an event
    """

    settings: Settings
    agent_settings: AgentSettings
    link_keys: LinkKeys
    metrics: Metrics
    report: Report


def start_agent(
    settings: Settings,
    agent_settings: AgentSettings,
    link_keys: LinkKeys,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> AgentRole:
    """Bind the sockets and start the tasks of an agent.

    :param settings: settings of the process
    :param agent_settings: the agent's part of them
    :param link_keys: keys of links and envelopes
    :param supervisor: runs the agent's tasks
    :param metrics: takes counts and durations
    :param report: logs an event
    :raises OSError: when an address cannot be bound or a file cannot be read
    """
    context = _AgentContext(
        settings, agent_settings, link_keys, metrics, report
    )
    sealed = DatagramSocket(agent_settings.sealed, report)
    peers = PeerLinks(agent_settings.target, PEER_CODEC, link_keys, report)
    controller = WeightController(agent_settings.slots)
    target = _describe_target(context, sealed, peers, controller.weight)
    flows = _build_flows(context, target, sealed, peers)
    ledger = _build_ledger(target, peers)
    requests = _build_requests(context, ledger)
    target = attrs.evolve(
        target, hand_over=_listen_for_peers(context, requests)
    )
    role = AgentRole(agent_settings, target, metrics, flows, requests, ledger)
    role.load = LoadService(
        agent_settings.target,
        agent_settings.target_address,
        requests,
        peers,
        controller,
        role.announce_weight,
    )
    role.engine = _build_engine(context, role)
    flows.engine = role.engine
    role.subscriber = build_subscriber(
        settings.name, settings.control, link_keys, report, role.apply
    )
    ledger.measure_freshness = role.subscriber.measure_freshness
    role.subscriber.announce(target=target)
    _start_tasks(supervisor, role, role.load, sealed, peers)
    return role


def _describe_target(
    context: _AgentContext,
    sealed: DatagramSocket,
    peers: PeerLinks,
    weight: int,
) -> Target:
    agent_settings = context.agent_settings
    return Target(
        name=agent_settings.target,
        service=agent_settings.service,
        availability_zone=context.settings.availability_zone,
        agent=sealed.open(),
        link=peers.listen(agent_settings.link),
        incarnation=time.time_ns(),
        slots=agent_settings.slots,
        weight=weight,
    )


def _build_flows(
    context: _AgentContext,
    target: Target,
    sealed: DatagramSocket,
    peers: PeerLinks,
) -> FlowService:
    link_keys = context.link_keys
    keys = Keys(link_keys.current, link_keys.former)
    router = AgentRouter(
        target.service, target.name, target.agent, target.incarnation
    )
    return FlowService(router, keys, sealed, peers, context.metrics)


def _build_ledger(target: Target, peers: PeerLinks) -> LedgerService:
    """Return the ledger of an agent that has just started.

    It has no records: its replica does not know the keys from before.
    """
    lifetime = KEY_LIFETIME
    client = LedgerClient(
        target.name, target.incarnation, lifetime, MembershipHistory(lifetime)
    )
    replica = LedgerReplica(
        target.name, target.incarnation, time.time(), lifetime
    )
    unused_answer = encode_answer(describe_problem(NOT_RUN))
    return LedgerService(client, replica, peers, unused_answer)


def _build_requests(
    context: _AgentContext, ledger: LedgerService
) -> RequestService:
    agent_settings = context.agent_settings
    scheduler = Scheduler(
        SchedulerSettings(agent_settings.slots), read_clock()
    )
    return RequestService(
        scheduler,
        ledger,
        agent_settings.target_address,
        context.metrics,
        context.link_keys,
    )


def _listen_for_peers(
    context: _AgentContext, requests: RequestService
) -> Address:
    agent_settings = context.agent_settings
    server = HandOverServer(
        partial(requests.accept, handed_over=True),
        requests.cancel,
        agent_settings.target,
        ProofChecker(context.link_keys),
        context.report,
    )
    return server.listen(
        agent_settings.hand_over or Address(agent_settings.link.host, 0)
    )


def _build_engine(context: _AgentContext, role: AgentRole) -> Engine:
    agent_settings = context.agent_settings
    return Engine(
        configuration=configure_quic(
            agent_settings.certificate,
            agent_settings.private_key,
            IDLE_TIMEOUT,
        ),
        reset_key=_derive_reset_key(context.link_keys),
        transmit=role.flows.transmit,
        receive_event=role.receive_event,
        mark_established=role.flows.mark_established,
        end_flow=role.end_flow,
        report=context.report,
    )


def _derive_reset_key(link_keys: LinkKeys) -> bytes:
    """Return the key of the reset tokens, which is the same at every agent.

    Any agent can therefore reset a connection of another one.
    """
    keyed = hashlib.blake2b(key=link_keys.current, person=b'reset tokens')
    return keyed.digest()


def _start_tasks(
    supervisor: Supervisor,
    role: AgentRole,
    load: LoadService,
    sealed: DatagramSocket,
    peers: PeerLinks,
) -> None:
    assert role.subscriber is not None
    receive_sealed = partial(sealed.serve, role.flows.receive_sealed)
    receive_messages = partial(peers.serve, role.receive_message)
    supervisor.supervise('sealed', receive_sealed)
    supervisor.supervise('flows', role.flows.run)
    supervisor.supervise('peers', receive_messages)
    supervisor.supervise('idle links', peers.close_idle_links)
    supervisor.supervise('ledger', role.ledger.run)
    supervisor.supervise('requests', role.requests.run)
    supervisor.supervise('load', load.poll_load)
    supervisor.supervise('free slots', load.report_free_slots)
    supervisor.supervise('keepalive', role.keep_alive)
    supervisor.supervise('subscriber', role.subscriber.run)
