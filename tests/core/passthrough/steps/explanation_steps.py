"""Steps on explanations of where a new flow would be placed."""

from __future__ import annotations

import attrs
from behave import then
from behave import when
from mesh import CALLER_MS
from mesh import ENTRY
from pistachiohook_core.events import FLOW_OFFERED
from pistachiohook_core.passthrough.explanation import explain_placement
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.routes import build_table
from pistachiohook_core.passthrough.routes import Share
from pistachiohook_core.passthrough.segments import describe_flow


def explain(context, age_ms=0.0, zone=''):
    """Ask the balancer of zone x."""
    balancer = context.mesh.balancers['bx']
    return explain_placement(balancer, ENTRY, age_ms, context.mesh.now, zone)


def find_outcome(context, age_ms=0.0):
    (service,) = explain(context, age_ms).unwrap().services
    return service.outcome


def describe(outcome):
    """Return the kind of an outcome and the agent, if there is one."""
    return ' '.join((outcome.kind, outcome.agent.partition(':')[0])).strip()


def find_first_offers(mesh):
    """Return the agent that each flow was offered to first."""
    return {
        fields['flow']: fields['agent']
        for event, fields in mesh.logs
        if event is FLOW_OFFERED and fields['offer'] == 1
    }


def open_flows(context, number, interval_ms, before):
    """Call function ``before`` just before each of the flows arrives.

    :returns: the target of each flow
    """
    mesh = context.mesh
    calls = []
    for _ in range(number):
        calls.append(mesh.call('bx'))
        mesh.at(mesh.now + CALLER_MS / 1000 - 1e-9, before, calls[-1])
        mesh.run(interval_ms / 1000)
    mesh.run(3)
    return [
        [
            name
            for name, target in mesh.targets.items()
            if call.flow in target.flows
        ]
        for call in calls
    ]


@when(
    '{number:d} flows are opened, one every {interval:d} ms, and the balancer'
    ' is asked before each'
)
def ask_before_each(context, number, interval):
    context.named = {}

    def ask(call):
        flow = describe_flow(call.flow)
        context.named[flow] = find_outcome(context).agent

    context.load = number, interval
    context.served = open_flows(context, number, interval, ask)


@then(
    'each flow was offered first to the agent that the balancer had named, one'
    ' of {agents:d}'
)
def check_first_offers(context, agents):
    assert len(context.named) == context.load[0]
    assert find_first_offers(context.mesh) == context.named
    assert len(set(context.named.values())) == agents


@then('the same targets serve the flows of a system where nobody asks')
def check_unchanged(context):
    context.execute_steps(
        'Given balancers in zones "x" and "y" with 5 agents each'
    )
    served = open_flows(context, *context.load, lambda _: None)
    assert served == context.served


@when('the balancer is asked at once')
def change_nothing(context):
    """Leave the agents idle."""


@when('the targets of {one} and {other} leave')
@when('the target of {one} leaves')
def leave(context, one, other=None):
    for name in filter(None, (one, other)):
        context.mesh.announce(name, leaving=True)
    context.mesh.run(4)


@when('{one} and {other} have {flows:d} flows')
@when('{one} has {flows:d} flows')
def load(context, one, flows, other=None):
    for name in filter(None, (one, other)):
        context.mesh.agents[name].in_progress = flows
    context.mesh.run(4)


@when('{name} has not answered an offer')
def suspect(context, name):
    mesh = context.mesh
    address = mesh.address(name)
    mesh.balancers['bx'].views.find('s', address).suspect = True


@when('{one} and {other} are silent for {seconds:d} s')
@when('{one} is silent for {seconds:d} s')
def silence(context, one, seconds, other=None):
    context.mesh.disconnected.update(filter(None, (one, other)))
    context.mesh.run(seconds)


@when('all agents are silent for {seconds:d} s')
def silence_all(context, seconds):
    context.mesh.disconnected.update(context.mesh.agents)
    context.mesh.run(seconds)


@when('the balancer has no routes')
def remove_routes(context):
    context.mesh.balancers['bx'].table = None


@when('no route has the entry')
def remove_route(context):
    context.mesh.set_routes()


@when('{name} reports a limit of {limit:d} and room for {flows:f} cold flows')
def report_figures(context, name, limit, flows):
    mesh = context.mesh
    load = attrs.evolve(
        mesh.agents[name].describe_load(mesh.now),
        limit=limit,
        cold_allowance=flows,
    )
    mesh.balancers['bx'].receive_message(
        mesh.address(name), LoadReport(load), mesh.now
    )


@when(
    '{weight:d} of {total:d} flows of the route go to service "{one}" and the'
    ' others to "{other}"'
)
def split_route(context, weight, total, one, other):
    mesh = context.mesh
    shares = (Share(one, weight), Share(other, total - weight))
    routes = attrs.evolve(
        mesh.route_set,
        version=mesh.version + 1,
        routes=(attrs.evolve(mesh.route_set.routes[0], shares=shares),),
    )
    mesh.balancers['bx'].set_routes(build_table(routes))


@then('the outcome is {expected}: "{reason}"')
def check_outcome(context, expected, reason):
    context.outcome = find_outcome(context)
    assert describe(context.outcome) == expected, context.outcome
    assert context.outcome.reason == reason, context.outcome


@then('this is what happens to a caller that calls then')
def check_call(context):
    mesh, outcome = context.mesh, context.outcome
    call = mesh.call('bx')
    mesh.run(3)
    offered = find_first_offers(mesh).get(describe_flow(call.flow), '')
    took = call.ended_at - call.began_at if call.ended_at else None
    match outcome.kind:
        case 'target':
            assert offered == outcome.agent, (offered, outcome)
        case 'wait':
            assert not offered
            assert took >= outcome.wait_ms / 1000, (call.outcome, took)
        case 'refused':
            assert call.outcome == 'refused', call.outcome
            assert took < 0.05, took


@then('the outcome for a flow of {age:d} ms is {expected}')
def check_aged(context, age, expected):
    found = explain(context, age)
    actual = found.map(lambda one: describe(one.services[0].outcome))
    assert expected in (
        actual.value_or(None),
        actual.swap().map(lambda failure: failure.reason).value_or(None),
    ), found


@then('these agents are listed')
def check_listed(context):
    (service,) = explain(context).unwrap().services
    agents = (*service.candidates, *service.excluded)
    shown = [
        [
            str(getattr(agent, name)).removesuffix(':1')
            for name in context.table.headings
        ]
        for agent in agents
    ]
    assert shown == [list(row) for row in context.table], shown


@then('{one} and {other} are listed for zone "{zone}"')
def check_zone(context, one, other, zone):
    (service,) = explain(context, zone=zone).unwrap().services
    agents = (*service.candidates, *service.excluded)
    assert [agent.agent for agent in agents] == [f'{one}:1', f'{other}:1']


@then(
    '{listed:d} of {number:d} {kind} of service "{name}" are listed, for'
    ' {share:f} of the flows'
)
def check_bounded(context, listed, number, kind, name, share):
    (service,) = (
        service
        for service in explain(context).unwrap().services
        if service.service == name
    )
    assert len(getattr(service, kind)) == listed
    assert getattr(service, f'{kind}_omitted') == number - listed
    assert service.share == share
