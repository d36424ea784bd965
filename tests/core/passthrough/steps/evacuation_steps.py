"""Steps on the evacuation of availability zones."""

from __future__ import annotations

from random import Random

from behave import given
from behave import then
from behave import when
from mesh import ACCEPTS
from mesh import encode
from mesh import Mesh
from mesh import OPENS
from mesh import SEGMENT_FORMAT
from pistachiohook_core.addresses import Address
from pistachiohook_core.passthrough.actions import DeliverToCaller
from pistachiohook_core.passthrough.actions import DeliverToTarget
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.agent import Agent
from pistachiohook_core.passthrough.agent_state import TargetAnnouncement
from pistachiohook_core.passthrough.commands import COMMAND_CODEC
from pistachiohook_core.passthrough.commands import ReplaceRoutes
from pistachiohook_core.passthrough.commands import RouteStateMachine
from pistachiohook_core.passthrough.commands import SetEvacuation
from pistachiohook_core.passthrough.discovery import AGENT
from pistachiohook_core.passthrough.discovery import Directory
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.messages import DeclineReason
from pistachiohook_core.passthrough.messages import ForwardedPacket
from pistachiohook_core.passthrough.messages import Hello
from pistachiohook_core.passthrough.messages import LateAccept
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import Offer
from pistachiohook_core.passthrough.messages import OfferDeclined
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_core.passthrough.messages import Welcome

#: What the version before this command wrote for routes of version 7.
EARLIER = bytes.fromhex(
    '920183a8646f63756d656e74c40164a6726f75746573c40172a776657273696f6e07'
)
#: Time that is simulated after the last call, in seconds.
TAIL = 6.0
BALANCER = Address('b', 1)
FLOW = b'f' * 12


def split_zones(text):
    return tuple(filter(None, text.strip('-').split(',')))


@when('the orders {orders} are committed')
def commit(context, orders):
    context.machine = RouteStateMachine()
    for index, order in enumerate(orders.split()):
        command = SetEvacuation(order[1:], order[0] == '+')
        context.machine.apply(index, COMMAND_CODEC.encode(command))


@then('the zones {zones} are evacuated at revision {revision:d}')
def check_evacuation(context, zones, revision):
    found = context.machine.evacuation
    assert (found.zones, found.revision) == (split_zones(zones), revision)


@then('a restored snapshot holds the same')
def check_snapshot(context):
    restored = RouteStateMachine()
    restored.restore(context.machine.take_snapshot())
    assert restored == context.machine, restored


@then('a snapshot and an entry of an earlier version hold version {number:d}')
def check_earlier(context, number):
    context.machine, applied = RouteStateMachine(), RouteStateMachine()
    context.machine.restore(EARLIER)
    applied.apply(1, EARLIER)
    assert context.machine == applied
    assert applied.current == ReplaceRoutes(number, b'r', b'd')


@then('without an evacuation, the snapshot is the same')
def check_same_snapshot(context):
    assert context.machine.take_snapshot() == EARLIER


@then('it ends an evacuation that the instance has not heard the end of')
def check_restored_over(context):
    commit(context, '+x')
    context.machine.restore(EARLIER)
    assert not context.machine.evacuation.zones


def make_welcome(revision=0, zones=(), version=1, age=5000):
    node = Node('c:1', 'x')
    return Welcome(
        node, version, age, '', (), (), evacuated=zones, evacuation=revision
    )


def follow(finder, agent, welcome, now):
    """Let an agent follow an answer as its role does."""
    finder.receive_welcome(Address('c', 1), welcome, now)
    if not finder.informed:
        return []
    return agent.set_evacuated(agent.zone in finder.evacuated, now)


def start_agent(zone_known=True):
    agent = Agent(
        's', 'x', SEGMENT_FORMAT, 1, started_at=0.0, zone_known=zone_known
    )
    agent.receive_announcement(TargetAnnouncement('t', 1, 1, 2, False, 0), 0.0)
    return agent


@when('answers with {answers} arrive at an agent of zone "x"')
def receive_answers(context, answers):
    context.agent, context.finder = start_agent(), Finder('x', ())
    for answer in answers.split():
        revision, _, zones = answer.replace('r', '0:').partition(':')
        welcome = make_welcome(int(revision), split_zones(zones))
        follow(context.finder, context.agent, welcome, 1.0)


@then('it follows revision {revision:d}, and its state is "{state}"')
def check_followed(context, revision, state):
    assert context.finder.evacuation == revision
    assert context.agent.find_state(9.0) is TargetState(state)


@when(
    'agents that follow the revisions {one:d}, {two:d} and {three:d} send'
    ' hellos'
)
def send_hellos(context, one, two, three):
    context.directory = Directory(Node('c:1', 'x'))
    for revision in (one, two, three):
        node = Node(f'a{revision}:1', 'x')
        hello = Hello(AGENT, node, evacuation=revision)
        context.directory.receive_hello(hello, 1.0)


@then('{following:d} of {known:d} agents follow revision {revision:d}')
def check_followers(context, following, known, revision):
    found = context.directory.count_followers(revision)
    assert found == (following, known), found


@then('{seconds:f} seconds later none is known')
def check_none_known(context, seconds):
    context.directory.expire(1.0 + seconds)
    check_followers(context, 0, 0, 0)


@given(
    'zones "{one}" and "{two}" with a balancer and {count:d} agents of'
    ' {slots:d} slots each'
)
def build_zones(context, one, two, count, slots):
    mesh = context.mesh = Mesh()
    context.finders = {}
    context.unreached = set()
    context.revision = 0
    for zone in (one, two):
        mesh.add_balancer(f'b{zone}', zone)
        for number in range(count):
            mesh.add_agent(f'a{zone}{number}', zone, slots=slots)
    mesh.set_routes('s')
    mesh.run(11)


@given('{count:d} calls within {length:d} s, some of {long:d} s')
def plan_mixed_calls(context, count, length, long):
    mesh, random = context.mesh, Random(3)
    context.calls, context.start = [], mesh.now
    names = list(mesh.balancers)

    def call(number):
        work = float(long) if number % 30 == 0 else None
        name = random.choice(names)
        context.calls.append(mesh.call(name, work, retries=2))

    for number in range(count):
        mesh.at(mesh.now + random.uniform(0, length), call, number)


def order(context, zones):
    """Let the agents hear that these zones are evacuated, and report it."""
    mesh = context.mesh
    context.revision += 1
    welcome = make_welcome(context.revision, zones)
    for name, agent in mesh.agents.items():
        if name in context.unreached:
            continue
        finder = context.finders.setdefault(name, Finder('', ()))
        before = agent.find_state(mesh.now)
        mesh.carry_out(name, follow(finder, agent, welcome, mesh.now))
        if agent.find_state(mesh.now) is not before:
            report = LoadReport(agent.describe_load(mesh.now))
            for balancer in mesh.balancers:
                mesh.send(name, Send(mesh.address(balancer), report))


def freeze_balancers(context):
    for name in context.mesh.balancers:
        context.mesh.paused_until[name] = context.mesh.now + 0.15


def restart_agents(context):
    """Restart the agents, which hear that their zone is evacuated later."""
    mesh = context.mesh
    mesh.run(0.3)
    for name in context.names:
        mesh.stop_agent(name)
        del context.finders[name]
        mesh.start_agent(name)
        mesh.agents[name].zone_known = False
        mesh.announce(name)
    mesh.run(0.1)
    repeat_order(context)


def repeat_order(context):
    context.revision -= 1
    order(context, (context.zone,))


def lose_reports(context):
    """Lose what the agents of the zone send without being asked."""
    context.lost_until = context.mesh.now + 0.1
    context.mesh.is_lost = lambda sender, _: (
        sender in context.names and context.mesh.now < context.lost_until
    )


def partition_agent(context):
    """Cut an agent from control, but not from balancers."""
    context.unreached = {context.names[0]}


def reconnect_agent(context):
    context.mesh.run(0.5)
    context.unreached = set()
    repeat_order(context)
    context.evacuated_at = context.mesh.now


#: What happens just before and after an order, by the name of the fault.
FAULTS = {
    'the balancers are frozen': (freeze_balancers, None),
    'the first reports are lost': (lose_reports, None),
    'an agent hears of it later': (partition_agent, reconnect_agent),
    'its agents are restarted': (None, restart_agents),
    'the order arrives repeatedly': (None, repeat_order),
}


@when('zone "{zone}" is evacuated after {seconds:d} s while {fault}')
def evacuate_during(context, zone, seconds, fault):
    mesh = context.mesh
    context.zone = zone
    context.names = [name for name in mesh.agents if mesh.zones[name] == zone]
    mesh.accept_s = 0.03 if 'slowly' in fault else 0.0
    mesh.run(seconds)
    before, after = FAULTS.get(fault, (None, None))
    if before:
        before(context)
    order(context, (zone,))
    context.evacuated_at = mesh.now
    agents = [mesh.agents[name] for name in context.names]
    context.open = sum(agent.count_open() for agent in agents)
    if after:
        after(context)
    mesh.run(context.start + 4 + TAIL - mesh.now)


@then('its targets were given no new flow from then on')
def check_no_new(context):
    attempts = context.mesh.attempts
    # An opening packet that was delivered before may be accepted later.
    new = [
        attempts[flow]
        for name in context.names
        for flow in context.mesh.targets[name].flows
        if attempts[flow].began_at > context.evacuated_at
    ]
    assert not new, new


@then('its targets had flows that were open then')
def check_had_open(context):
    assert context.open, context.open


@then('all calls are answered, none ran twice, and no flow was reset')
def check_all_answered(context):
    mesh = context.mesh
    ends = [mesh.find_last_attempt(call).outcome for call in context.calls]
    assert set(ends) == {'answered'}, ends
    assert 'broken' not in {one.outcome for one in mesh.attempts.values()}
    runs = [n for one in mesh.targets.values() for n in one.runs.values()]
    assert max(runs) == 1


@given('the agents of zone "{zone}" have just become reachable')
def fill_other_zone(context, zone):
    """Let the balancers offer flows to the other zone first."""
    mesh = context.mesh
    names = [name for name in mesh.agents if mesh.zones[name] == zone]
    mesh.disconnected.update(names)
    context.names = names
    context.start = mesh.now


@when(
    '{count:d} callers call, and zone "{zone}" is evacuated {wait:d} ms later'
)
def call_and_evacuate(context, count, zone, wait):
    mesh = context.mesh
    balancer = f'b{zone}'
    context.calls = [mesh.call(balancer, 0.08) for _ in range(count)]
    mesh.run(wait / 1000)
    context.waiting = {
        key for agent in mesh.agents.values() for key in agent.waiting
    }
    mesh.disconnected.difference_update(context.names)
    order(context, (zone,))
    # The regular check of the flows would decline them up to 25 ms later.
    assert not any(agent.waiting for agent in mesh.agents.values())
    mesh.run(3)


@then(
    'the calls that waited there are answered in zone "{zone}" within'
    ' {bound:d} ms'
)
def check_moved(context, zone, bound):
    mesh = context.mesh
    assert context.waiting
    for flow in context.waiting:
        call = mesh.attempts[flow]
        assert call.outcome == 'answered', call
        assert (call.ended_at - call.began_at) * 1000 <= bound, call
        served = [n for n, one in mesh.targets.items() if one.runs[flow]]
        assert [mesh.zones[name] for name in served] == [zone], served


@given('an agent whose target has been delivered an opening packet')
def deliver_opening(context):
    context.agent = start_agent()
    context.packet = encode(FLOW, OPENS)
    context.offer = Offer('s', 500, 500, 500, 1, context.packet)
    actions = context.agent.receive_message(BALANCER, context.offer, 1.0)
    assert DeliverToTarget(context.packet) in actions


@given('the target has accepted it')
def accept_opening(context):
    context.agent.receive_packet(encode(FLOW, ACCEPTS, 9), 1.01)


@when('its zone is evacuated and the packet is {how} again')
def repeat_opening(context, how):
    context.agent.set_evacuated(True, 1.02)
    forwarded = ForwardedPacket('s', context.packet)
    message = context.offer if how == 'offered' else forwarded
    context.actions = context.agent.receive_message(BALANCER, message, 1.03)


def check_only_declined(actions):
    sent = [one.message for one in actions if isinstance(one, Send)]
    assert not any(isinstance(one, DeliverToTarget) for one in actions)
    assert [type(one) for one in sent] == [OfferDeclined], actions
    assert sent[0].reason is DeclineReason.NOT_READY
    assert sent[0].load.state is TargetState.EVACUATED


@then('it is declined and nothing is delivered')
def check_declined(context):
    check_only_declined(context.actions)


@then('when the target accepts it late, the caller is not told')
def check_withheld(context):
    accept = encode(FLOW, ACCEPTS, 9)
    actions = context.agent.receive_packet(accept, 1.04)
    assert actions == [Send(BALANCER, LateAccept(FLOW))], actions


@then('it is declined again when the acceptance leads to an offer')
def check_declined_again(context):
    agent = context.agent
    check_only_declined(agent.receive_message(BALANCER, context.offer, 1.05))


@then('it is delivered')
def check_delivered(context):
    assert context.actions == [DeliverToTarget(context.packet)]
    accept = encode(FLOW, ACCEPTS, 9)
    actions = context.agent.receive_packet(accept, 1.04)
    assert actions == [DeliverToCaller(FLOW, accept)], actions


@when('both zones are evacuated and the agents are {how}')
def evacuate_both(context, how):
    mesh = context.mesh
    order(context, ('x', 'y'))
    mesh.run(0.01)
    for name, agent in mesh.agents.items():
        if how == 'silent':
            mesh.paused_until[name] = mesh.now + 8
        if how == 'without targets':
            agent.target = None
    mesh.run(7)


@then('a call through each balancer is refused within {bound:d} ms')
def check_refused_at_once(context, bound):
    mesh = context.mesh
    calls = [mesh.call(name) for name in mesh.balancers]
    mesh.run(0.5)
    for call in calls:
        assert call.outcome == 'refused', call
        assert (call.ended_at - call.began_at) * 1000 <= bound, call


@when('both zones are returned to service and the agents run')
def return_both(context):
    mesh = context.mesh
    mesh.run(1)
    for name in mesh.agents:
        mesh.announce(name)
    order(context, ())
    mesh.run(0.1)


@then('calls are answered in both zones')
def check_both_serve(context):
    mesh = context.mesh
    calls = [mesh.call(name) for name in mesh.balancers for _ in range(4)]
    mesh.run(2)
    assert {call.outcome for call in calls} == {'answered'}, calls
    flows = {call.flow for call in calls}
    zones = {
        mesh.zones[n] for n, t in mesh.targets.items() if flows & set(t.runs)
    }
    assert zones == {'x', 'y'}, zones


@when('an agent starts that {answer}')
def start_answered(context, answer):
    context.agent = start_agent(zone_known=False)
    welcome = {
        'is told routes alone': make_welcome(),
        'is told that its zone is empty': make_welcome(3, ('x',)),
        'hears an instance without state': make_welcome(version=0),
        'is told that there is no state': make_welcome(version=0, age=50),
    }.get(answer)
    if welcome is not None:
        follow(Finder('x', ()), context.agent, welcome, 0.05)


@then('its state is "{state}" after {time:f} s')
def check_state(context, state, time):
    assert context.agent.find_state(time) is TargetState(state)
    offer = Offer('s', 500, 500, 500, 1, encode(FLOW, OPENS))
    context.agent.receive_message(BALANCER, offer, time)
    assert (FLOW in context.agent.flows) == (state == 'ready')
