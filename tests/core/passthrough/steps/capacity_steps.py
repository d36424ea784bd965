"""Steps on targets that hang, slow down or differ in speed."""

from __future__ import annotations

import attrs
from behave import given
from behave import then
from behave import when
from pistachiohook_core.passthrough.messages import LoadReport
from uneven_mesh import play
from uneven_mesh import SERVICE
from uneven_mesh import UnevenMesh


def hang(mesh, names, seconds):
    mesh.set_speed(names, 0.0)
    mesh.at(mesh.now + seconds, mesh.set_speed, names, 1.0)


@given(
    '{balancers:d} balancers in zone "{zone}" with {agents:d} agents that'
    ' serve {slots:d} requests each'
)
def build(context, balancers, zone, agents, slots):
    mesh = context.mesh = UnevenMesh()
    for number in range(balancers):
        mesh.add_balancer(f'b{number}', zone)
    for number in range(agents):
        mesh.add_target(f'a{number}', zone, slots)
    mesh.set_routes('s')
    mesh.run(0.5)


def call_once(context, callers):
    mesh = context.mesh
    names = list(mesh.balancers)
    context.calls = [
        mesh.call(names[number % len(names)]) for number in range(callers)
    ]


@when(
    '{callers:d} callers call at once, and the target of "{name}" hangs after'
    ' {wait:d} ms for {length:d} ms'
)
def call_and_hang(context, callers, name, wait, length):
    call_once(context, callers)
    context.mesh.run(wait / 1000)
    hang(context.mesh, [name], length / 1000)
    context.mesh.run(3)


@when(
    '{callers:d} callers call at once, and their target hangs for {length:d}'
    ' ms'
)
def call_hanging(context, callers, length):
    mesh = context.mesh
    hang(mesh, list(mesh.agents), length / 1000)
    call_once(context, callers)


@when('{length:d} ms pass')
def wait_on(context, length):
    context.mesh.run(length / 1000)


@when(
    'the target of {who} hangs from {begin:f} s on for {length:f} s, while'
    ' callers load {part:d} of 100 slots for {total:d} s'
)
def load_and_hang(context, who, begin, length, part, total):
    mesh = context.mesh
    names = list(mesh.agents) if who == 'every agent' else [who.strip('"')]
    slots = sum(target.slots for target in mesh.targets.values())
    context.recovered_at = mesh.now + begin + length
    mesh.at(mesh.now + begin, hang, mesh, names, length)
    mesh.at(context.recovered_at + 1.2, note_runs, context)
    context.calls = play(mesh, part / 100 * slots / SERVICE, total)


def note_runs(context):
    targets = context.mesh.targets
    context.runs = {
        name: target.runs.total() for name, target in targets.items()
    }


@when(
    'one request takes {length:d} ms, and others arrive one after the other'
    ' for 1 s'
)
def call_long(context, length):
    mesh = context.mesh
    mesh.call('b0', length / 1000)
    mesh.run(0.01)
    for _ in range(15):
        mesh.call('b0')
        mesh.run(0.07)


def list_waits(context):
    return {
        (balancer, view.address.host): view.wait_ms
        for balancer, process in context.mesh.balancers.items()
        for view in process.views.list_service('s')
    }


@then('no balancer expects a wait above {most:d} ms')
def check_no_wait(context, most):
    waits = list_waits(context)
    assert waits, waits
    assert max(waits.values()) <= most, waits


@then(
    'every balancer expects a wait of at least {least:d} ms there and none'
    ' elsewhere'
)
def check_waits(context, least):
    for (_, name), wait in list_waits(context).items():
        hangs = bool(context.mesh.targets[name].running)
        found = list_waits(context)
        assert (wait >= least) if hangs else not wait, found


@then('all but {few:d} of the calls are answered within {bound:d} ms')
def check_most(context, few, bound):
    late = [
        (one.outcome, one.ended_at)
        for one in context.calls
        if one.outcome != 'answered'
        or one.ended_at - one.began_at > bound / 1000
    ]
    assert len(late) <= few, late


@then('no call has been refused')
def check_none_refused(context):
    outcomes = [one.outcome for one in context.calls]
    assert 'refused' not in outcomes, outcomes.count('refused')


@then(
    '{part:d} of 100 of the calls from {pause:g} s after its recovery on are'
    ' answered within {bound:d} ms'
)
def check_recovered(context, part, pause, bound):
    calls = [
        one
        for one in context.calls
        if one.began_at >= context.recovered_at + pause
    ]
    soon = [
        one
        for one in calls
        if one.outcome == 'answered'
        and one.ended_at - one.began_at <= bound / 1000
    ]
    assert calls, context.calls
    assert len(soon) * 100 >= part * len(calls), (len(soon), len(calls))


@then(
    '"{name}" has run at least {part:f} times the mean from 1.2 s after its'
    ' recovery on'
)
def check_share(context, name, part):
    runs = {
        host: target.runs.total() - context.runs[host]
        for host, target in context.mesh.targets.items()
    }
    assert runs[name] >= part * sum(runs.values()) / len(runs), runs


@given('a target that is fast up to {knee:d} of its {slots:d} requests')
def build_knee(context, knee, slots):
    mesh = context.mesh = UnevenMesh()
    mesh.add_balancer('b0', 'x')
    mesh.add_target('a0', 'x', slots, 4.0, knee)
    mesh.set_routes('s')
    mesh.run(0.5)


@given('it is loaded at {part:d} of 100 of what it can do for {length:d} s')
@when('it is loaded at {part:d} of 100 of what it can do for {length:d} s')
def load_knee(context, part, length):
    work = context.mesh.work['a0']
    rate = part / 100 * 4.0 * work.knee / SERVICE
    context.calls = play(context.mesh, rate, length)


@when(
    'its speed changes by a factor of {factor:g} every {pause:g} s meanwhile'
)
def change_speed(context, factor, pause):
    mesh = context.mesh
    for number in range(20):
        speed = 4.0 if number % 2 else 4.0 * factor
        mesh.at(mesh.now + number * pause, mesh.set_speed, ['a0'], speed)


@when('all its regular reports are lost')
def lose_reports(context):
    context.mesh.reports = False


@when('its first report arrives again')
def repeat_report(context):
    mesh = context.mesh
    load = mesh.agents['a0'].describe_load(mesh.now)
    early = attrs.evolve(load, sequence=1, limit=0)
    mesh.balancers['b0'].receive_message(
        mesh.address('a0'), LoadReport(early), mesh.now
    )


@when('its agent restarts')
def restart(context):
    mesh = context.mesh
    del mesh.agents['a0']
    mesh.start_agent('a0')
    mesh.announce('a0')
    mesh.run(0.5)


@then('its limit is {least:d} to {most:d} at its agent and at the balancer')
def check_limit(context, least, most):
    mesh = context.mesh
    view = mesh.balancers['b0'].views.find('s', mesh.address('a0'))
    found = (mesh.agents['a0'].capacity.limit, view.load.limit)
    assert all(least <= limit <= most for limit in found), found


@when('its requests take {factor:d} times as long for {length:d} s')
def slow_down(context, factor, length):
    mesh = context.mesh
    context.usual_ms = mesh.agents['a0'].service_ms
    mesh.set_speed(['a0'], 4.0 / factor)
    play(mesh, 20, length)
    assert mesh.agents['a0'].service_ms > 2 * context.usual_ms


@then('its agent expects at most {factor:g} times the usual time')
def check_usual(context, factor):
    found = context.mesh.agents['a0'].describe_load(context.mesh.now)
    assert found.service_ms <= factor * context.usual_ms, found
