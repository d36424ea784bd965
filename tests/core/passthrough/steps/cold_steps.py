"""Steps on the bound of requests to cold targets."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from random import Random
import zlib

import attrs
from behave import given
from behave import then
from behave import when
from mesh import decode
from mesh import encode
from mesh import Mesh
from mesh import OPENS
from mesh import SEGMENT_FORMAT
import msgspec
from pistachiohook_core.addresses import Address
from pistachiohook_core.passthrough.actions import DeliverToTarget
from pistachiohook_core.passthrough.agent import Agent
from pistachiohook_core.passthrough.agent_state import TargetAnnouncement
from pistachiohook_core.passthrough.cold_starts import Allowance
from pistachiohook_core.passthrough.cold_starts import charge_request
from pistachiohook_core.passthrough.cold_starts import ColdBounds
from pistachiohook_core.passthrough.cold_starts import empty_bucket
from pistachiohook_core.passthrough.cold_starts import estimate_token_wait
from pistachiohook_core.passthrough.cold_starts import set_rate
from pistachiohook_core.passthrough.commands import unpack_routes
from pistachiohook_core.passthrough.messages import FLOW_CODEC
from pistachiohook_core.passthrough.messages import ForwardedPacket
from pistachiohook_core.passthrough.messages import Offer
from pistachiohook_core.passthrough.messages import WithdrawOffer
from pistachiohook_core.passthrough.routes import ColdRate
from pistachiohook_core.passthrough.routes import RouteSet
from pool_mesh import PoolMesh

#: Time for which targets are cold and calls arrive, in seconds.
COLD_S, FLOOD_S = 4.0, 3.5


def count_window(times, end):
    """Return how many of the sorted times are in the second before an end."""
    return bisect_left(times, end + 1e-9) - bisect_left(times, end - 1 + 1e-9)


@attrs.define(eq=False)
class ColdMesh(PoolMesh):
    """Mesh that records when requests reach each target."""

    #: Times of first opening packets and of later requests, by target.
    admitted: dict = attrs.field(factory=lambda: defaultdict(list))
    #: Times of all requests, by target.
    arrived: dict = attrs.field(factory=lambda: defaultdict(list))
    seen: set = attrs.field(factory=set)
    cold: list = attrs.field(factory=list)
    cold_until: float = 0.0

    def deliver_to_target(self, name, packet):
        segment = decode(packet)
        key = (name, segment.flow, segment.opens or segment.sequence)
        if (segment.opens or segment.length) and key not in self.seen:
            self.seen.add(key)
            first = segment.sequence == 8
            if not segment.opens:
                self.arrived[name].append(self.now)
            if segment.opens or not first:
                self.admitted[name].append(self.now)
        super().deliver_to_target(name, packet)

    def send_answer(self, name, *answer):
        """Send the answer on a pooled flow or on a short one."""
        kind = PoolMesh if len(answer) == 2 else Mesh
        kind.send_answer(self, name, *answer)

    def turn_cold(self, names):
        """Let targets be cold from now on, without a loss of flows."""
        self.admitted.clear()
        self.arrived.clear()
        self.cold, self.cold_until = names, self.now + COLD_S
        for name in names:
            self.announce(name, cold_s=COLD_S)


def restart_agent(mesh, name):
    mesh.start_agent(name)
    mesh.announce(name, cold_s=mesh.cold_until - mesh.now)


def restart_target(mesh, name):
    mesh.targets[name].flows.clear()
    mesh.announce(name, int(mesh.now * 1000), cold_s=COLD_S)


@when(
    'random requests are charged to an allowance of {rate:g}, {over:g} and'
    ' {slack:g}'
)
def charge_random(context, rate, over, slack):
    random = Random(1)
    context.limit = rate * over + slack
    context.rate, context.seconds = rate, 400 / rate + 20
    allowance = set_rate(Allowance(), rate, ColdBounds(over, slack), 0.0)
    now, times, context.worst, context.admitted = 0.0, [], 0, 0
    while now < context.seconds:
        now += random.expovariate(rate * 5)
        if random.random() < 0.2 / rate / 20:
            allowance = empty_bucket(allowance, now)
        forced = now > context.seconds / 2 and random.random() < 0.05
        free = not estimate_token_wait(allowance, 1, now)
        if free or forced:
            allowance = charge_request(allowance, now)
            times.append(now)
            context.admitted += 1
        if free:
            context.worst = max(context.worst, count_window(times, now))


@then('each window that ends with an admission is within the bound')
def check_windows(context):
    assert context.worst <= context.limit, (context.worst, context.limit)


@then('at least {share:g} of the rate is admitted')
def check_admitted(context, share):
    wanted = share * context.rate * context.seconds
    assert context.admitted >= wanted, (context.admitted, wanted)


@given(
    '{balancers:d} balancers and {agents:d} agents whose targets bear'
    ' {rate:g} requests per second while cold'
)
def build_cold(context, balancers, agents, rate):
    mesh = context.mesh = ColdMesh()
    for number in range(balancers):
        mesh.add_balancer(f'b{number}', 'x')
    for number in range(agents):
        mesh.add_agent(f'a{number}', 'x', slots=20)
    rates = (ColdRate('s', rate, COLD_S),) if rate else ()
    mesh.set_routes('s', cold_rates=rates)
    context.rate = rate
    context.random = Random(3)
    mesh.run(0.5)
    # Agents learn the rate from offers.
    for balancer in list(mesh.balancers) * 4:
        mesh.call(balancer)
    mesh.run(0.5)


def start_flood(context, per_second, urgent=False):
    mesh, calls = context.mesh, []

    def call():
        balancer = context.random.choice(list(mesh.balancers))
        calls.append(mesh.call(balancer, urgent=urgent))

    for _ in range(int(per_second * FLOOD_S)):
        mesh.at(mesh.now + context.random.uniform(0, FLOOD_S), call)
    return calls


@when(
    'the targets turn cold for 4 s, {number:d} calls per second arrive and'
    ' {event}'
)
def flood(context, number, event):
    mesh = context.mesh
    mesh.turn_cold(list(mesh.agents))
    if event == 'a balancer has routes without a rate':
        table = attrs.evolve(mesh.balancers['b1'].table, cold_rates={})
        mesh.balancers['b1'].table = table
    for name in mesh.agents:
        if event == 'the zone was evacuated before':
            mesh.announce(name)
            mesh.agents[name].begin_cold(mesh.now)
        for delay in (1.5, 1.9):
            if f'{delay} s' in event:
                restart = (
                    restart_agent if 'agents' in event else restart_target
                )
                mesh.at(mesh.now + delay, restart, mesh, name)
    context.calls = start_flood(context, number)
    mesh.run(FLOOD_S + 2)


@then('no cold target gets more requests in any second than the bound')
def check_bound(context):
    mesh, limit = context.mesh, context.rate * 1.5 + 5
    for times in (
        [time for time in kind[name] if time <= mesh.cold_until]
        for kind in (mesh.admitted, mesh.arrived)
        for name in mesh.cold
    ):
        worst = max(count_window(times, time) for time in times)
        assert worst <= limit, (worst, limit)


@then('each gets at least {share:g} of its rate')
def check_used(context, share):
    for name in context.mesh.agents:
        got = len(context.mesh.admitted[name])
        assert got >= share * context.rate * FLOOD_S, got


@then('all calls are answered, and the agents report and count no allowance')
def check_unbounded(context):
    assert {call.outcome for call in context.calls} == {'answered'}
    for agent in context.mesh.agents.values():
        assert agent.describe_load(context.mesh.now).cold_allowance == -1
        assert not [name for name in agent.counts if name.startswith('cold')]


@given('{number:d} callers have opened a flow each')
def open_flows(context, number):
    mesh = context.mesh
    context.owners = range(number)
    for owner in context.owners:
        mesh.ask(owner, 'b0', 0.02, 1.0)
        mesh.run(0.1)
    mesh.run(1)


@when(
    'the targets turn cold for 4 s, each sends a request per second and'
    ' {number:d} calls per second arrive'
)
def flood_beside_requests(context, number):
    mesh = context.mesh
    opened = len(mesh.requests)
    mesh.turn_cold(list(mesh.agents))
    for owner in context.owners:
        start = mesh.now + context.random.uniform(0, 0.9)
        for second in range(4):
            mesh.at(start + second, mesh.ask, owner, 'b1', 0.02, 0.9)
    context.calls = start_flood(context, number)
    mesh.run(FLOOD_S + 2)
    context.requests = mesh.requests[opened:]


@then('all requests on open flows are answered')
def check_requests(context):
    assert len(context.requests) == 4 * len(context.owners)
    for request in context.requests:
        assert (request.outcome, request.tries) == ('answered', 1), request


@then('at most {number:d} new flows per second are opened')
def check_opened(context, number):
    answered = sum(call.outcome == 'answered' for call in context.calls)
    assert 0 < answered <= number * FLOOD_S, answered


@when(
    'the target of agent 0 turns cold for 4 s and {number:d} calls per'
    ' second arrive'
)
def flood_beside_warm(context, number):
    context.mesh.turn_cold(['a0'])
    context.calls = start_flood(context, number)
    context.mesh.run(FLOOD_S + 2)


@then('each is answered within {bound:d} ms')
def check_each(context, bound):
    for call in context.calls:
        assert call.outcome == 'answered', call
        assert call.ended_at - call.began_at <= bound / 1000, call


@then('fewer than {part:d} of 100 are declined by an agent')
def check_declined(context, part):
    agents = context.mesh.agents.values()
    declined = sum(agent.counts['flows_declined'] for agent in agents)
    assert declined < part / 100 * len(context.calls), declined


@when(
    'the targets turn cold for 4 s, {urgent:d} urgent and {other:d} other'
    ' calls per second arrive'
)
def flood_both(context, urgent, other):
    context.mesh.turn_cold(list(context.mesh.agents))
    context.urgent = start_flood(context, urgent, urgent=True)
    context.others = start_flood(context, other)
    context.mesh.run(FLOOD_S + 2)
    context.calls = context.urgent + context.others


@then('all urgent calls but {part:d} of 100 are answered')
def check_urgent(context, part):
    outcomes = [call.outcome for call in context.urgent]
    missing = len(outcomes) - outcomes.count('answered')
    assert missing <= part / 100 * len(outcomes), missing


def list_times(calls, outcome):
    """Return the sorted times until calls ended, in milliseconds."""
    return sorted(
        (call.ended_at - call.began_at) * 1000
        for call in calls
        if call.outcome == outcome
    )


@then('the answered ones are answered within {bound:d} ms')
def check_answered_in_time(context, bound):
    times = list_times(context.calls, 'answered')
    assert times[-1] <= bound, times[-10:]


@then(
    '{part:d} of 100 refused ones are refused within {soon:d} ms, and all'
    ' within {bound:d} ms'
)
def check_refused_at_once(context, part, soon, bound):
    times = list_times(context.calls, 'refused')
    assert times[len(times) * part // 100] <= soon, times
    assert times[-1] <= bound, times[-10:]


def start_agent(now):
    """Return an agent whose target has announced that it is cold."""
    agent = Agent('s', 'x', SEGMENT_FORMAT, started=1, started_at=now)
    target = TargetAnnouncement('t', 1, 1, 4, False, now + COLD_S)
    agent.receive_announcement(target, now)
    return agent


def make_offer(opening):
    return Offer('s', 1000, 1000, 275, 1, opening, 20.0, COLD_S)


@when('an offer with a rate of {rate} for {seconds} s reaches a cold target')
def offer_odd_rate(context, rate, seconds):
    context.agent = start_agent(0.0)
    offer = attrs.evolve(
        make_offer(encode(b'f' * 12, OPENS, 7)),
        cold_rate=float(rate),
        cold_s=float(seconds),
    )
    balancer = Address('b1', 1)
    context.actions = context.agent.receive_message(balancer, offer, 1.0)


@then('it is accepted, and there is no bound')
def check_no_bound(context):
    assert any(isinstance(one, DeliverToTarget) for one in context.actions)
    assert context.agent.describe_load(1.0).cold_allowance == -1


@when('a cold target has got allowance and {event}')
def empty_allowance(context, event):
    agent = start_agent(0.0)
    offer = make_offer(encode(b'f' * 12, OPENS, 7))
    agent.receive_message(Address('b1', 1), offer, 0.0)
    assert agent.describe_load(1.0).cold_allowance > 1
    if event == 'the target restarts':
        target = TargetAnnouncement('t', 2, 1, 4, False, 1.0 + COLD_S)
        agent.receive_announcement(target, 1.0)
    elif event == 'the agent restarts':
        agent = start_agent(1.0)
        agent.learn_cold_rate(20.0, COLD_S, 1.0)
    else:
        agent.begin_cold(1.0)
    context.agent = agent


@then('there is no allowance, and 50 ms later there is some')
def check_allowance(context):
    allowances = [
        context.agent.describe_load(now).cold_allowance for now in (1.0, 1.06)
    ]
    assert allowances[0] == 0 < allowances[1], allowances


@when('an opening packet reaches a cold target and {case} follows')
def charge_once(context, case):
    agent = start_agent(0.0)
    one, other = Address('b1', 1), Address('b2', 1)
    flow = b'f' * 12
    opening = encode(flow, OPENS, 7)
    offer = make_offer(opening)
    actions = agent.receive_message(one, offer, 1.0)
    again = one
    if case == 'an offer of another balancer':
        again = other
    elif case == 'a new offer after the accept timed out':
        actions += agent.expire(1.1)
    elif case == 'a new offer after a withdrawal':
        actions += agent.receive_message(one, WithdrawOffer(flow), 1.1)
    if case == 'the first request':
        agent.receive_packet(encode(flow, 2, 1000), 1.1)
        request = ForwardedPacket('s', encode(flow, 0, 8, 1001, 50))
        agent.receive_message(one, request, 1.2)
    else:
        actions += agent.receive_message(again, offer, 1.2)
    delivered = DeliverToTarget(opening)
    context.packets = actions.count(delivered)
    context.agent = agent


@then(
    'the target has got {packets:d} opening packets and {number:d} request'
    ' is charged'
)
def check_charged(context, packets, number):
    assert context.packets == packets, context.packets
    assert context.agent.counts['cold_requests'] == number


@when('a route set and an offer without the rate of cold targets are read')
def read_earlier(context):
    routes, offer = (
        msgspec.msgpack.decode(msgspec.msgpack.encode(value))
        for value in (RouteSet(3, ('s',), ()), Offer('s', 1, 1, 1, 1, b''))
    )
    del routes['cold_rates'], offer['cold_rate'], offer['cold_s']
    packed = zlib.compress(msgspec.msgpack.encode(routes))
    context.routes = unpack_routes(packed)
    data = msgspec.msgpack.encode((1, offer))
    context.offer = FLOW_CODEC.decode(data, 'b').unwrap()


@then('they have no rate')
def check_no_rate(context):
    assert context.routes == RouteSet(3, ('s',), ())
    assert (context.offer.cold_rate, context.offer.cold_s) == (0.0, 0.0)
