"""Steps on targets that hang, slow down or differ in speed."""

from __future__ import annotations

from random import Random

import attrs
from behave import given
from behave import then
from behave import when
from mesh import Mesh

SERVICE = 0.05


@attrs.define(eq=False)
class HangingMesh(Mesh):
    """Mesh whose targets may hang: they accept flows and answer none."""

    hung_until: dict = attrs.field(factory=dict)

    def hang(self, names, seconds):
        for name in names:
            self.hung_until[name] = self.now + seconds

    def finish(self, name, target, flow):
        until = self.hung_until.get(name, 0.0)
        if until > self.now:
            self.at(until, self.finish, name, target, flow)
        else:
            super().finish(name, target, flow)


@given(
    '{balancers:d} balancers in zone "{zone}" with {agents:d} agents that'
    ' serve {slots:d} requests each'
)
def build(context, balancers, zone, agents, slots):
    mesh = context.mesh = HangingMesh()
    for number in range(balancers):
        mesh.add_balancer(f'b{number}', zone)
    for number in range(agents):
        mesh.add_agent(f'a{number}', zone, slots=slots, queue_max=4)
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
    context.mesh.hang([name], length / 1000)
    context.mesh.run(3)


@when(
    '{callers:d} callers call at once, and their target hangs for {length:d}'
    ' ms'
)
def call_hanging(context, callers, length):
    mesh = context.mesh
    mesh.hang(mesh.agents, length / 1000)
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
    mesh.at(mesh.now + begin, mesh.hang, names, length)
    mesh.at(context.recovered_at + 1.2, note_runs, context)
    play(context, part / 100 * slots / SERVICE, total)


def note_runs(context):
    targets = context.mesh.targets
    context.runs = {
        name: target.runs.total() for name, target in targets.items()
    }


def play(context, rate, length):
    """Let callers call at random times and with random work."""
    mesh = context.mesh
    random = Random(3)
    names = list(mesh.balancers)
    end = mesh.now + length
    context.calls = []

    def call():
        if mesh.now < end:
            work = random.gammavariate(4, SERVICE / 4)
            context.calls.append(mesh.call(random.choice(names), work))
            mesh.at(mesh.now + random.expovariate(rate), call)

    call()
    mesh.run(length + 3)


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
