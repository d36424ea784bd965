"""Steps on flows through a simulated network."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given
from behave import then
from behave import when
from mesh import encode
from mesh import ENDS
from mesh import ENTRY
from mesh import ENTRY_NUMBER
from mesh import Mesh
from mesh import OPENS
from pistachiohook_core.passthrough.actions import ResetCaller
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.messages import Load
from pistachiohook_core.passthrough.messages import Offer
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_core.passthrough.placement import estimate_wait
from pistachiohook_core.passthrough.segments import make_flow
from pistachiohook_core.passthrough.segments import read_flow


def await_reports(mesh):
    """Run the mesh until the agents have sent their first load reports."""
    mesh.run(0.5)


def find_owner(mesh, attempt):
    return next(
        name
        for name, target in mesh.targets.items()
        if attempt.flow in target.flows
    )


@given(
    'balancers "{one}" and "{two}" and agents "{three}" and "{four}" in'
    ' zone "{zone}"'
)
def build(context, one, two, three, four, zone):
    context.mesh = Mesh()
    for name in (one, two):
        context.mesh.add_balancer(name, zone)
    for name in (three, four):
        context.mesh.add_agent(name, zone)
    await_reports(context.mesh)


@given('the routes send flows to service "{service}"')
def set_service(context, service):
    context.mesh.set_routes(service)


@when('a caller calls through "{balancer}"')
def call(context, balancer):
    context.calls = [context.mesh.call(balancer)]
    context.mesh.run(3)


@when('{number:d} callers call through "{balancer}"')
def call_many(context, number, balancer):
    context.calls = []
    for _ in range(number):
        context.calls.append(context.mesh.call(balancer))
        context.mesh.run(0.06)
    context.mesh.run(3)


@given('a caller has opened a flow of {length:d} ms through "{balancer}"')
def open_flow(context, length, balancer):
    context.flow = context.mesh.call(balancer, length / 1000)
    context.calls = [context.flow]
    context.mesh.run(0.05)
    assert context.flow.opened_at is not None
    context.owner = find_owner(context.mesh, context.flow)


@when('its packets are sent to "{balancer}"')
def move(context, balancer):
    context.flow.balancer = balancer
    context.mesh.send_subsequent(context.flow, 0, 0)


@when('the agent that owns it restarts')
def restart_agent(context):
    mesh = context.mesh
    del mesh.agents[context.owner]
    mesh.run(0.1)
    mesh.start_agent(context.owner)
    mesh.send_subsequent(context.flow, 0, 0)


@given('agent "{name}" has just become unreachable')
def disconnect_agent(context, name):
    context.mesh.disconnected.add(name)


@given('the target of "{name}" has just stopped answering')
def stop_target(context, name):
    context.mesh.targets[name].alive = False


@when('its target announces that it is leaving')
def leave(context):
    context.mesh.announce(context.owner, leaving=True)


@given('the target of "{name}" has restarted at {started:d}')
def restart_target(context, name, started):
    context.mesh.announce(name, started)


@when('its target restarts at {started:d}')
def restart_own_target(context, started):
    context.mesh.targets[context.owner].flows.clear()
    context.mesh.announce(context.owner, started)


@when(
    'a delayed announcement says that the target of "{name}" started at'
    ' {started:d} is leaving'
)
def announce_late(context, name, started):
    context.mesh.announce(name, started, sequence=10**6, leaving=True)


@then('the target of "{name}" accepts new flows')
def check_accepting(context, name):
    agent = context.mesh.agents[name]
    assert agent.find_state(context.mesh.now) is TargetState.READY


@then('the agent that owned it counts no flow')
def check_no_load(context):
    assert context.mesh.agents[context.owner].in_progress == 0
    assert context.mesh.agents[context.owner].expected == 0.0


@when('the caller repeats its request')
def repeat_request(context):
    context.mesh.run(0.25)


@then('the agent that owned it has {number:d} flows')
def count_flows(context, number):
    agent = context.mesh.agents[context.owner]
    assert agent.in_progress == number
    assert len(agent.flows) == number


@when('the address of its agent is reused by service "{service}"')
def reuse(context, service):
    mesh = context.mesh
    mesh.targets[context.owner].flows.clear()
    mesh.start_agent(context.owner, service)
    mesh.announce(context.owner, started=10**6)
    context.received = mesh.targets[context.owner].unknown_flow_packets
    mesh.run(0.01)


@when('the caller sends another packet')
def send_another(context):
    context.mesh.send_subsequent(context.flow, 0, 10)
    context.mesh.run(0.3)


@then('the target of service "{service}" has received no packet')
def check_received_none(context, service):
    target = context.mesh.targets[context.owner]
    assert target.unknown_flow_packets == context.received
    assert not target.flows


@given('the route is removed')
@when('the route is removed')
def remove_route(context):
    context.mesh.set_routes()


@then('the open flow is not reset')
def not_reset(context):
    context.mesh.run(1)
    assert context.flow.outcome != 'broken', context.flow


@then('a new call through "{balancer}" is refused within {bound:d} ms')
def refuse_new(context, balancer, bound):
    context.calls = [context.mesh.call(balancer)]
    context.mesh.run(2)
    check_refused(context, bound)


@when('a packet of an unknown flow arrives at "{balancer}"')
def receive_unknown(context, balancer):
    packet = encode(b'u' * 12, 0, 1, 1, 5)
    found = context.mesh.balancers[balancer].receive_packet(packet, 1.0)
    context.actions = found


@then('nothing is sent')
def sent_nothing(context):
    assert context.actions == [], context.actions


@given('the first message from "{balancer}" to each agent is lost')
def lose_first(context, balancer):
    seen = set()

    def is_lost(sender, receiver):
        first = sender == balancer and receiver not in seen
        if sender == balancer:
            seen.add(receiver)
        return first

    context.mesh.is_lost = is_lost


@given('all messages of "{balancer}" are lost')
def lose_all(context, balancer):
    context.mesh.is_lost = lambda sender, _: sender == balancer


@when(
    'a caller sends its opening packet through "{first}" and retransmits it'
    ' through "{other}"'
)
def call_moving(context, first, other):
    attempt = context.mesh.call(first)
    context.calls = [attempt]
    context.mesh.run(0.1)
    attempt.balancer = other
    context.mesh.run(3)


@when(
    'a caller opens a flow through "{first}" and "{other}" and continues'
    ' through "{last}" for {length:f} s'
)
def call_returning(context, first, other, last, length):
    mesh = context.mesh
    attempt = mesh.call(first)
    context.calls = [attempt]
    mesh.run(0.1)
    attempt.balancer = other
    mesh.run(0.101)
    attempt.balancer = last
    mesh.run(length)
    attempt.balancer = other
    mesh.run(3)


@given('the targets of "{one}" and "{two}" accept after {wait:d} ms')
def accept_slowly(context, one, two, wait):
    context.mesh.accept_s = wait / 1000


@when('{number:d} random packets arrive at "{balancer}" and at "{agent}"')
def receive_random(context, number, balancer, agent):
    random = Random(1)
    context.actions = []
    for _ in range(number):
        packet = random.randbytes(random.randrange(27))
        if len(packet) == 23:
            continue
        mesh = context.mesh
        context.actions += mesh.balancers[balancer].receive_packet(packet, 1)
        context.actions += mesh.agents[agent].receive_packet(packet, 1)


@then('the call is answered within {bound:d} ms')
@then('each call is answered within {bound:d} ms')
def check_answered(context, bound):
    context.mesh.run(3)
    for attempt in context.calls:
        assert attempt.outcome == 'answered', attempt
        took = (attempt.ended_at - attempt.began_at) * 1000
        assert took <= bound, (took, attempt)


@then('the call is refused within {bound:d} ms')
def check_refused(context, bound):
    for attempt in context.calls:
        assert attempt.outcome == 'refused', attempt
        took = (attempt.ended_at - attempt.began_at) * 1000
        assert took <= bound, took


@then('the open flow is answered')
def open_answered(context):
    assert context.flow.outcome == 'answered', context.flow


@then('its target has run the request once')
@then('the request has run once in total')
def ran_once(context):
    flow = context.calls[0].flow
    runs = [target.runs[flow] for target in context.mesh.targets.values()]
    assert sum(runs) == 1, runs


@then('its target has run {number:d} request')
def ran_number(context, number):
    assert context.mesh.targets[context.owner].runs.total() == number


@then('the target of "{name}" has run no request')
def ran_none(context, name):
    assert not context.mesh.targets[name].runs


@then('no other target has received a packet of it')
def check_no_other(context):
    others = [
        target
        for name, target in context.mesh.targets.items()
        if name != context.owner
    ]
    assert not any(target.unknown_flow_packets for target in others)


@given('balancers in zones "{one}" and "{two}" with {agents:d} agents each')
def build_zones(context, one, two, agents):
    context.mesh = Mesh()
    for zone in (one, two):
        context.mesh.add_balancer(f'b{zone}', zone)
        for number in range(agents):
            context.mesh.add_agent(f'a{zone}{number}', zone, slots=4)
    context.mesh.set_routes('s')
    await_reports(context.mesh)


@given('{balancers:d} balancers in zone "{zone}" with {agents:d} agents')
def build_zone(context, balancers, zone, agents):
    context.mesh = Mesh()
    for number in range(balancers):
        context.mesh.add_balancer(f'b{number}', zone)
    for number in range(agents):
        context.mesh.add_agent(f'a{number}', zone, slots=4)
    context.mesh.set_routes('s')
    await_reports(context.mesh)


@given(
    '{balancers:d} balancers in zone "{one}" and {agents:d} agents in zone'
    ' "{two}"'
)
def build_remote(context, balancers, one, agents, two):
    context.mesh = Mesh()
    for number in range(balancers):
        context.mesh.add_balancer(f'b{number}', one)
    for number in range(agents):
        context.mesh.add_agent(f'a{number}', two, slots=4)
    context.mesh.set_routes('s')
    await_reports(context.mesh)


@when(
    '{callers:d} callers in each zone call every {pause:d} ms for {length:d} s'
)
def load_zones(context, callers, pause, length):
    load(context, ('bx', 'by'), callers, pause, length)


@when(
    '{callers:d} callers of zone "{zone}" call every {pause:d} ms for'
    ' {length:d} s'
)
def load_zone(context, callers, zone, pause, length):
    load(context, (f'b{zone}',), callers, pause, length)


def load(context, balancers, callers, pause, length):
    context.calls = []
    random = Random(1)
    for _ in range(length * 1000 // pause):
        for balancer in balancers:
            for _ in range(callers):
                work = random.expovariate(20)
                context.calls.append(context.mesh.call(balancer, work))
        context.mesh.run(pause / 1000)
    context.mesh.run(5)


@when('callers load {part:d} of 100 slots for {length:d} s')
def load_slots(context, part, length):
    mesh = context.mesh
    random = Random(2)
    slots = sum(target.slots for target in mesh.targets.values())
    rate = slots * part / 100 / 0.05
    context.calls = []
    end = mesh.now + length
    names = list(mesh.balancers)
    while mesh.now < end:
        work = random.expovariate(20)
        context.calls.append(mesh.call(random.choice(names), work))
        mesh.run(random.expovariate(rate))
    mesh.run(5)


@when('{callers:d} callers of zone "{zone}" call at once')
def call_at_once(context, callers, zone):
    mesh = context.mesh
    context.calls = [mesh.call(f'b{zone}') for _ in range(callers)]
    mesh.run(10)


@then('all calls are answered and none crosses zones')
def none_crosses(context):
    assert all(one.outcome == 'answered' for one in context.calls)
    assert not list_crossing(context)


@then('some calls have crossed zones')
def some_cross(context):
    assert list_crossing(context)


def list_crossing(context):
    mesh = context.mesh
    return [
        one
        for one in context.calls
        if mesh.zones[one.balancer] != mesh.zones[find_owner(mesh, one)]
    ]


@then('{part:d} of 100 calls are answered within {bound:d} ms')
def check_part(context, part, bound):
    good = [
        one
        for one in context.calls
        if one.outcome == 'answered'
        and (one.ended_at - one.began_at) * 1000 <= bound
    ]
    assert len(good) * 100 >= part * len(context.calls), (
        len(good),
        len(context.calls),
    )


@then('the busiest target has run at most {bound:f} times the mean')
def check_imbalance(context, bound):
    runs = [one.runs.total() for one in context.mesh.targets.values()]
    assert max(runs) <= bound * sum(runs) / len(runs), runs


@given(
    'a target with {slots:d} slots, {flows:d} flows and {work:d} ms for each'
    ' flow'
)
def set_load(context, slots, flows, work):
    context.load = Load(
        1, 1, 's', 'x', TargetState.READY, slots, flows, float(work)
    )


@then('one more flow waits {wait:g} ms')
def check_wait(context, wait):
    load = context.load
    assert estimate_wait(load, load.flows) == wait


@then('every call is answered or refused')
def check_ended(context):
    outcomes = {one.outcome for one in context.calls}
    assert outcomes <= {'answered', 'refused'}, outcomes


@then('each refused call was refused within {bound:d} ms and has not run')
def check_refusals(context, bound):
    refused = [one for one in context.calls if one.outcome == 'refused']
    assert refused
    for one in refused:
        assert (one.ended_at - one.began_at) * 1000 <= bound, one
        runs = [
            target.runs[one.flow] for target in context.mesh.targets.values()
        ]
        assert not any(runs)


@given(
    '{balancers:d} balancers in zone "{zone}" with {agents:d} agents whose'
    ' targets queue {queue:d}'
)
def build_queueing(context, balancers, zone, agents, queue):
    context.mesh = Mesh()
    for number in range(balancers):
        context.mesh.add_balancer(f'b{zone}{number or ""}', zone)
    for number in range(agents):
        context.mesh.add_agent(f'a{number}', zone, slots=2, queue_max=queue)
    context.mesh.set_routes('s')
    await_reports(context.mesh)


@when(
    '{callers:d} callers call at once, every third of them on an urgent route'
)
def call_mixed(context, callers):
    mesh = context.mesh
    names = list(mesh.balancers)
    context.calls = [
        mesh.call(names[number % len(names)], urgent=number % 3 == 0)
        for number in range(callers)
    ]
    mesh.run(10)


@when(
    '{callers:d} callers of zone "{zone}" call at once and a target starts'
    ' to leave'
)
def call_and_leave(context, callers, zone):
    mesh = context.mesh
    context.calls = [mesh.call(f'b{zone}') for _ in range(callers)]
    mesh.run(0.08)
    mesh.announce('a0', leaving=True)
    mesh.run(10)


@then('all calls are answered and no target has shed any')
def none_shed(context):
    outcomes = Counter(one.outcome for one in context.calls)
    assert set(outcomes) == {'answered'}, outcomes
    assert not any(one.shed for one in context.mesh.targets.values())


@then('half of the calls are answered within {bound:d} ms')
def check_half(context, bound):
    check_part(context, 50, bound)


@then('the urgent calls took at most half as long as the others on average')
def check_urgent(context):
    def mean(calls):
        calls = [one for one in calls if one.outcome == 'answered']
        return sum(one.ended_at - one.began_at for one in calls) / len(calls)

    urgent = mean([one for one in context.calls if one.urgent])
    others = mean([one for one in context.calls if not one.urgent])
    assert urgent <= others / 2, (urgent, others)


@when(
    'callers with a deadline of {deadline:d} ms and {retries:d} retries load'
    ' {part:d} of 100 slots for {length:d} s'
)
def plan_load(context, deadline, retries, part, length):
    mesh = context.mesh
    random = Random(3)
    slots = sum(target.slots for target in mesh.targets.values())
    rate = slots * part / 100 / 0.05
    context.start = mesh.now
    context.calls = []
    names = list(mesh.balancers)

    def call():
        attempt = mesh.call(
            random.choice(names),
            random.expovariate(20),
            deadline=mesh.now + deadline / 1000,
            retries=retries,
        )
        context.calls.append(attempt)
        if mesh.now < context.start + length:
            mesh.at(mesh.now + random.expovariate(rate), call)

    call()


@when('all balancers drop all packets from {begin:d} s on for {length:f} s')
def cut_balancers(context, begin, length):
    mesh = context.mesh
    mesh.run(begin)
    mesh.disconnected = set(mesh.balancers)
    mesh.run(length)
    mesh.disconnected = set()
    context.back = mesh.now
    mesh.run(12)


@then(
    'of the calls from {pause:f} s after the outage on, {part:d} of 100 are'
    ' answered within {bound:d} ms'
)
def check_recovery(context, pause, part, bound):
    since = context.back + pause
    calls = [one for one in context.calls if one.began_at >= since]
    ends = [(one, context.mesh.find_last_attempt(one)) for one in calls]
    good = [
        one
        for one, end in ends
        if end.outcome == 'answered'
        and (end.ended_at - one.began_at) * 1000 <= bound
    ]
    assert len(good) * 100 >= part * len(calls), (len(good), len(calls))


@then(
    'of the calls during the last {length:f} s of the outage, {part:d} of'
    ' 100 are answered'
)
def check_held(context, length, part):
    calls = [
        one
        for one in context.calls
        if context.back - length <= one.began_at < context.back
    ]
    good = [
        one
        for one in calls
        if context.mesh.find_last_attempt(one).outcome == 'answered'
    ]
    assert len(good) * 100 >= part * len(calls), (len(good), len(calls))


@given(
    'a balancer "{name}" in zone "{zone}" that has just started and has its'
    ' routes'
)
def start_balancer(context, name, zone):
    mesh = context.mesh
    mesh.add_balancer(name, zone)
    mesh.balancers[name].started_at = mesh.now
    mesh.set_routes('s')


@when(
    '{gone:d} callers send an opening packet and disappear, and {others:d}'
    ' others call after {pause:d} ms'
)
def call_and_disappear(context, gone, others, pause):
    mesh = context.mesh
    vanished = [mesh.call('bx') for _ in range(gone)]
    mesh.run(0.0015)
    for attempt in vanished:
        attempt.outcome = 'vanished'
    mesh.run(pause / 1000)
    context.calls = [mesh.call('bx') for _ in range(others)]
    mesh.run(5)


@then('the other callers are answered within {bound:d} ms')
def check_others(context, bound):
    check_answered(context, bound)


@when(
    'the target of "{name}" restarts at {started:d} by its clock and announces'
    ' itself for {seconds:d} s'
)
def start_back(context, name, started, seconds):
    for number in range(seconds):
        context.mesh.announce(name, started, sequence=number + 1)
        context.mesh.run(1.2)


@when(
    '{number:d} delayed announcements of the target of "{name}" started at'
    ' {started:d} arrive between its own'
)
def report_late(context, number, name, started):
    for sequence in range(number):
        context.mesh.announce(name, started, sequence=100 + sequence)
        context.mesh.run(0.6)
        context.mesh.announce(name, 5000)
        context.mesh.run(0.6)


@then(
    'the target of "{name}" accepts new flows as the one started at'
    ' {started:d}'
)
def check_accepting_as(context, name, started):
    check_accepting(context, name)
    assert context.mesh.agents[name].target.started == started


@given('agent "{name}" has reported that it is stopping')
def stop_agent(context, name):
    mesh = context.mesh
    mesh.agents[name].stopping = True
    mesh.run(0.5)
    assert find_load(context, 'b1', name).state is TargetState.LEAVING


@when(
    'agent "{name}" restarts {seconds:f} s before its former start by its'
    ' clock'
)
def start_agent_back(context, name, seconds):
    mesh = context.mesh
    former = mesh.agents.pop(name)
    mesh.run(0.5)
    mesh.start_agent(name)
    mesh.agents[name].started = former.started - int(seconds * 1000)
    mesh.announce(name, 2)
    mesh.run(0.5)


def find_load(context, balancer, agent):
    mesh = context.mesh
    views = mesh.balancers[balancer].views
    return views.find('s', mesh.address(agent)).load


@then('"{balancer}" knows that agent "{name}" accepts new flows')
def knows_ready(context, balancer, name):
    assert find_load(context, balancer, name).state is TargetState.READY


@when(
    'each balancer runs for {share:f} of 100 of the time and {count:d} callers'
    ' call within {length:d} s'
)
def call_with_share(context, share, count, length):
    mesh = context.mesh
    mesh.run(1)
    mesh.cpu_share = share / 100
    random = Random(4)
    context.calls = []
    names = list(mesh.balancers)

    def call():
        context.calls.append(mesh.call(random.choice(names)))

    for _ in range(count):
        mesh.at(mesh.now + random.uniform(0, length), call)
    mesh.run(length + 5)


@then('no offer has timed out')
def check_none_timed_out(context):
    for balancer in context.mesh.balancers.values():
        assert not balancer.counts['offers_unanswered'], balancer.counts


def find_balancer(mesh):
    return next(iter(mesh.balancers.values()))


@when(
    'the target starts to leave, and an opening packet arrives with its'
    ' retransmissions after {late:f} s'
)
def open_late(context, late):
    mesh = context.mesh
    mesh.run(1)
    mesh.announce('a0', leaving=True)
    mesh.run(1)
    find_balancer(mesh).counts.clear()
    flow = context.flow = make_flow(1, 9_999, ENTRY_NUMBER, ENTRY.port)
    context.resets = []
    mesh.run(late)
    for retransmission in range(3):
        packet = encode(flow, OPENS, 7, retransmission)
        actions = find_balancer(mesh).receive_packet(packet, mesh.now)
        context.resets += [
            action for action in actions if isinstance(action, ResetCaller)
        ]


@then(
    'the balancer has refused the flow once and has sent a reset for each'
    ' packet'
)
def check_refused_once(context):
    counts = find_balancer(context.mesh).counts
    assert counts['flows_refused'] == 1, counts
    assert len(context.resets) == 3, context.resets


@when('a new flow from the same port is opened after the target has restarted')
def open_again(context):
    mesh = context.mesh
    mesh.announce('a0', started=2)
    mesh.run(1)
    packet = encode(context.flow, OPENS, 7, 0)
    context.actions = find_balancer(mesh).receive_packet(packet, mesh.now)


@then('it is offered to an agent')
def check_offered(context):
    offers = [
        action
        for action in context.actions
        if isinstance(action, Send) and isinstance(action.message, Offer)
    ]
    assert len(offers) == 1, context.actions


@when('nobody calls for {length:d} s')
def pass_idle(context, length):
    context.mesh.messages_between_zones = 0
    context.mesh.messages_from.clear()
    context.mesh.expiries.clear()
    context.mesh.run(length)
    context.idle_length = length


@then('each agent has checked its flows at most {most:d} times a second')
def check_expiries(context, most):
    mesh = context.mesh
    checks = {name: mesh.expiries[name] for name in mesh.agents}
    assert max(checks.values()) <= most * context.idle_length + 1, checks


@then('each agent has sent at most {most:d} messages a second')
def check_message_rate(context, most):
    mesh = context.mesh
    sent = {name: mesh.messages_from[name] for name in mesh.agents}
    assert max(sent.values()) <= most * context.idle_length, sent


@then(
    "each agent has sent the other zone's balancer at most {most:d} messages"
)
def check_messages(context, most):
    mesh = context.mesh
    assert mesh.messages_between_zones <= most * len(mesh.agents), (
        mesh.messages_between_zones
    )


@then('every balancer knows {number:d} reporting agents')
def check_reporting(context, number):
    mesh = context.mesh
    for balancer in mesh.balancers.values():
        assert balancer.count_agents(mesh.now) == number


def restart_all(context, target_started):
    """Restart the balancer and all agents while a flow is open."""
    mesh = context.mesh
    flow = context.flow
    for name in list(mesh.agents):
        mesh.start_agent(name)
        mesh.announce(name, target_started)
    mesh.restart_balancer('b0')
    await_reports(mesh)
    mesh.messages_from.clear()
    mesh.send_subsequent(flow, 0, 10)


@when(
    'all agents and "b0" have restarted, their targets have not, and the'
    ' caller sends another packet'
)
def restart_agents_alone(context):
    context.mesh.run(1)
    restart_all(context, target_started=1)


@when(
    'all agents and "b0" have restarted {seconds:g} s after their targets, and'
    ' the caller sends another packet'
)
def restart_everything(context, seconds):
    mesh = context.mesh
    mesh.run(2)
    for target in mesh.targets.values():
        target.flows.clear()
        target.unknown_flow_packets = 0
    started = int((mesh.now - seconds) * 1000)
    restart_all(context, started)
    mesh.run(0.19)


@then('the open flow is answered within {bound:d} ms after that')
def check_found(context, bound):
    mesh = context.mesh
    owner = mesh.agents[context.owner]
    mesh.run(bound / 1000)
    flow = owner.flows.get(context.flow.flow)
    assert flow is not None
    entry = mesh.balancers['b0'].flows.get(context.flow.flow)
    assert entry.agent == mesh.address(context.owner), entry


@then('at most {most:d} messages were sent for it')
def check_messages_sent(context, most):
    sent = context.mesh.messages_from.total()
    reports = len(context.mesh.agents)
    assert sent <= most + reports, sent


@then('no target has received a packet of it')
def check_none_received(context):
    received = [
        target.unknown_flow_packets for target in context.mesh.targets.values()
    ]
    assert not any(received), received


@given('the caller {verb} the sequence number')
def set_check(context, verb):
    context.mesh.checks_sequence = verb == 'checks'


@given('a caller has been answered through "{balancer}"')
def answer_one(context, balancer):
    context.flow = context.mesh.call(balancer)
    context.mesh.run(0.5)
    assert context.flow.outcome == 'answered'
    context.owner = find_owner(context.mesh, context.flow)


@when(
    'it opens a flow of {length:d} ms from the same port at another target,'
    ' and the former target sends its answer again'
)
def use_port_again(context, length):
    mesh, former = context.mesh, context.flow
    mesh.announce(context.owner, leaving=True)
    mesh.run(0.3)
    for name, target in mesh.targets.items():
        if name != context.owner:
            # Targets draw their sequence numbers independently.
            next(target.numbers)
    mesh.ports = iter([read_flow(former.flow)[1]])
    context.flow = mesh.call(former.balancer, length / 1000)
    mesh.run(0.05)
    assert context.flow.flow == former.flow
    assert context.flow.opened_at is not None
    number = mesh.targets[context.owner].flows[former.flow]
    assert number != context.flow.accepted
    mesh.send_from_target(
        context.owner, encode(former.flow, ENDS, number + 1, 0, 100)
    )
    mesh.run(3)
    context.length = length / 1000


@then('the caller has {taken} the copy for its answer')
def check_copy(context, taken):
    flow = context.flow
    assert flow.outcome == 'answered', flow
    own = flow.ended_at - flow.began_at >= context.length
    assert own is (taken == 'not taken'), flow


@when('all messages of its agent to balancers are lost for {seconds:d} s')
def lose_reports(context, seconds):
    mesh = context.mesh
    mesh.is_lost = lambda sender, _: sender == context.owner
    mesh.run(seconds)
    mesh.is_lost = None
