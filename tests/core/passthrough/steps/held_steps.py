"""Steps on opening packets that a balancer holds until it has routes."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from mesh import encode
from mesh_steps import await_reports


@given(
    'a balancer "{name}" in zone "{zone}" that has just started and has no'
    ' routes'
)
def start_balancer_without_routes(context, name, zone):
    context.mesh.add_balancer(name, zone)
    context.mesh.balancers[name].started_at = context.mesh.now


@given('"{name}" knows the agents')
def let_agents_report(context, name):
    await_reports(context.mesh)
    assert context.mesh.balancers[name].count_agents(context.mesh.now)


@when(
    'a caller calls through "{name}", which gets its routes after {wait:d} ms'
)
def call_before_routes(context, name, wait):
    context.calls = [context.mesh.call(name)]
    context.mesh.run(wait / 1000)
    context.mesh.set_routes('s')


@when(
    '{number:d} callers send an opening packet to "{name}", which gets its'
    ' routes after {wait:d} ms'
)
def open_before_routes(context, number, name, wait):
    mesh = context.mesh
    context.calls = [mesh.call(name) for _ in range(number)]
    mesh.run(0.1)
    for attempt in context.calls:
        # Retransmissions and the end of an attempt are of no interest here.
        attempt.opened_at = mesh.now
    mesh.run(wait / 1000 - 0.1)
    mesh.set_routes('s')
    mesh.run(0.1)


@when(
    'a caller calls through "{name}", which gets routes without its service'
    ' after {wait:d} ms'
)
def call_before_other_routes(context, name, wait):
    context.calls = [context.mesh.call(name)]
    context.mesh.run(wait / 1000)
    context.mesh.set_routes()


@when(
    'a caller opens a flow through "{other}" after its first packet went to'
    ' "{name}"'
)
def open_elsewhere(context, other, name):
    mesh = context.mesh
    context.flow = mesh.call(name)
    context.calls = [context.flow]
    mesh.run(0.1)
    context.flow.balancer = other
    mesh.run(0.2)
    assert context.flow.opened_at is not None
    context.waiting = name


@when('"{name}" gets the flow\'s next packet and then its routes')
def get_next_packet(context, name):
    mesh = context.mesh
    packet = encode(context.flow.flow, 0, 8, 1, 100)
    mesh.receive_at_balancer(name, packet)
    mesh.set_routes('s')
    mesh.run(0.1)


@then('"{name}" has made no offer')
def check_no_offer(context, name):
    assert not context.mesh.balancers[name].counts['offers']


@then('no caller was refused')
def check_none_refused(context):
    assert 'refused' not in {one.outcome for one in context.calls}


@then('no caller was refused within {bound:d} ms of its call')
def check_none_refused_yet(context, bound):
    began_at = context.calls[0].began_at
    context.mesh.run(began_at + bound / 1000 - context.mesh.now)
    check_none_refused(context)
