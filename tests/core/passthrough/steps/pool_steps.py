"""Steps on callers that keep flows open in pools."""

from __future__ import annotations

from random import Random

from behave import given
from behave import then
from behave import when
from pool_mesh import PoolMesh

#: Mean service time of a request and its deadline, in seconds.
SERVICE, DEADLINE = 0.017, 0.5


@given(
    '{balancers:d} balancers and {agents:d} agents over {zones:d} zones whose'
    ' targets have one slot'
)
def build(context, balancers, agents, zones):
    mesh = context.mesh = PoolMesh()
    for number in range(balancers):
        mesh.add_balancer(f'b{number}', f'z{number % zones}')
    for number in range(agents):
        mesh.add_agent(
            f'a{number}', f'z{number % zones}', slots=1, queue_max=4
        )
    mesh.set_routes('s')
    mesh.run(0.5)


@when(
    '{callers:d} callers with {kind} load {load:d} of 100 slots for'
    ' {length:d} s'
)
def play(context, callers, kind, load, length):
    context.kind, context.callers, context.load = kind, callers, load
    play_load(context, range(callers), load, length)
    context.mesh.run(1)


def play_load(context, owners, load, length):
    mesh = context.mesh
    rate = load / 100 * len(mesh.targets) / SERVICE
    random = Random(11)
    names = list(mesh.balancers)
    end = mesh.now + length

    def ask():
        if mesh.now >= end:
            return
        owner = random.choice(owners)
        name = names[(owner + 3 * random.randrange(3)) % len(names)]
        short = {'pools': False, 'short flows': True}.get(
            context.kind, random.random() < 0.3
        )
        work = random.gammavariate(4, SERVICE / 4)
        mesh.ask(owner, name, work, DEADLINE, short=short)
        mesh.at(mesh.now + random.expovariate(rate), ask)

    ask()
    mesh.run(length)


@when(
    'a target joins zone "{zone}" and {callers:d} other callers come and load'
    ' {load:d} of 100 slots for {length:d} s'
)
def join(context, zone, callers, load, length):
    mesh = context.mesh
    context.joined, context.zone = 'joined', zone
    mesh.add_agent('joined', zone, slots=1, queue_max=4)
    mesh.run(0.3)
    context.before = {
        name: target.runs.total() for name, target in mesh.targets.items()
    }
    first = context.callers
    play_load(context, range(first, first + callers), load, length)
    mesh.run(1)


@when('every agent restarts and the callers go on for {length:d} s')
def restart(context, length):
    mesh = context.mesh
    for name in list(mesh.agents):
        del mesh.agents[name]
        mesh.start_agent(name)
        mesh.announce(name)
    mesh.run(0.3)
    play_load(context, range(context.callers), context.load, length)
    mesh.run(1)


@then(
    '{answered:d} of 1000 requests are answered and {prompt:d} of 1000 within'
    ' {bound:d} ms'
)
def check_answers(context, answered, prompt, bound):
    requests = context.mesh.requests
    done = [one for one in requests if one.outcome == 'answered']
    soon = [
        one for one in done if (one.ended_at - one.began_at) * 1000 <= bound
    ]
    found = (len(requests), len(done), len(soon))
    assert len(done) * 1000 >= answered * len(requests), found
    assert len(soon) * 1000 >= prompt * len(requests), found


@then('no open flow has been reset')
def check_no_reset(context):
    flows = context.mesh.attempts.values()
    assert not [flow for flow in flows if flow.outcome == 'broken']


@then(
    'the new target has run at least {part:f} times the mean of its zone'
    ' meanwhile'
)
def check_joined(context, part):
    mesh = context.mesh
    runs = {
        name: target.runs.total() - context.before[name]
        for name, target in mesh.targets.items()
        if mesh.zones[name] == context.zone
    }
    mean = sum(runs.values()) / len(runs)
    assert runs[context.joined] >= part * mean, runs


@then('no flow is in progress at any agent')
def check_none_in_progress(context):
    found = {
        name: agent.in_progress for name, agent in context.mesh.agents.items()
    }
    assert not any(found.values()), found


@then('flows are open at every agent')
def check_open(context):
    agents = context.mesh.agents.values()
    assert all(agent.flows for agent in agents)
