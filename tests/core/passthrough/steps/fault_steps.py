"""Steps on callers while processes pause and messages are lost."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given
from behave import then
from behave import when
from mesh import Mesh
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.messages import FindOwner
from pistachiohook_core.passthrough.messages import WithdrawOffer

#: Time that is simulated after the last call, in seconds.
TAIL = 6.0


@given('{count:d} calls are scheduled within {length:d} s')
def plan_calls(context, count, length):
    mesh = context.mesh
    mesh.run(1)
    random = Random(6)
    names = list(mesh.balancers)
    context.start = mesh.now
    context.length = length
    context.calls = []

    def call():
        name = random.choice(names)
        context.calls.append(mesh.call(name, retries=2))

    for _ in range(count):
        mesh.at(mesh.now + random.uniform(0, length), call)


def finish(context):
    context.mesh.run(context.start + context.length + TAIL - context.mesh.now)


@when('{part:d} of 100 messages between balancers and agents are lost')
def lose(context, part):
    random = Random(7)
    context.mesh.is_lost = lambda *_: random.random() < part / 100
    finish(context)


@when('{what} is paused from {begin:d} s on for {length:f} s')
def pause_one(context, what, begin, length):
    mesh = context.mesh
    names = mesh.agents if what == 'an agent' else mesh.balancers
    mesh.run(begin)
    mesh.paused_until[next(iter(names))] = mesh.now + length
    context.resumed = mesh.now + length
    finish(context)


@when(
    'each process is paused for {length:f} s in each second, one after another'
)
def pause_in_turn(context, length):
    mesh = context.mesh
    for number, name in enumerate((*mesh.agents, *mesh.balancers)):
        for second in range(context.length):
            begin = mesh.now + second + number * 0.15
            mesh.at(begin, mesh.paused_until.__setitem__, name, begin + length)
    finish(context)


@when(
    'the answers to offers are lost and {count:d} callers call at {pause:d} ms'
    ' intervals'
)
def lose_answers(context, count, pause):
    mesh = context.mesh
    mesh.is_lost = lambda sender, _: sender in mesh.agents
    names = list(mesh.balancers)
    context.calls = []
    for number in range(count):
        context.calls.append(mesh.call(names[number % len(names)]))
        mesh.run(pause / 1000)
    mesh.run(1)


@when(
    "a caller's next packets are lost for {seconds:d} s after a target has"
    ' accepted its flow'
)
def lose_next_packets(context, seconds):
    mesh = context.mesh
    context.calls = [mesh.call('b1')]
    mesh.run(0.002)
    mesh.is_lost = lambda sender, _: sender in mesh.balancers
    mesh.run(seconds)
    mesh.is_lost = None


@then('each flow was offered to one target')
def check_offered_once(context):
    offers = sum(
        one.counts['offers'] for one in context.mesh.balancers.values()
    )
    assert offers == len(context.calls), offers


@then('{count:d} calls are answered')
def check_answered(context, count):
    ends = [
        context.mesh.find_last_attempt(one).outcome for one in context.calls
    ]
    assert Counter(ends) == {'answered': count}, Counter(ends)


@then('no open flow was reset, no request ran twice, and no refused one ran')
def check_intact(context):
    attempts = context.mesh.attempts
    assert 'broken' not in {one.outcome for one in attempts.values()}
    targets = context.mesh.targets.values()
    runs = sum((target.runs for target in targets), Counter())
    assert max(runs.values()) == 1
    refused = [f for f, one in attempts.items() if one.outcome == 'refused']
    assert not any(runs[flow] for flow in refused)


@then(
    'the calls from {pause:d} s after the pause on are answered within'
    ' {bound:d} ms'
)
def check_later(context, pause, bound):
    since = context.resumed + pause
    calls = [one for one in context.calls if one.began_at >= since]
    assert calls
    late = [
        one
        for one in calls
        if one.outcome != 'answered'
        or (one.ended_at - one.began_at) * 1000 > bound
    ]
    assert not late, late


@when(
    'a target of 1 agent is called while {what} takes from {least:d} to'
    ' {most:d} ms'
)
def sweep_one(context, what, least, most):
    sweep(context, 1, what, least, most)


@when(
    'a target of each of {agents:d} agents is called while {what} takes from'
    ' {least:d} to {most:d} ms'
)
def sweep(context, agents, what, least, most):
    """Simulate each delay, half a millisecond apart, in a separate mesh."""
    context.sweep = {}
    context.mesh = Mesh()
    for half in range(2 * least, 2 * most):
        mesh = Mesh()
        mesh.add_balancer('b', 'x')
        for number in range(agents):
            mesh.add_agent(f'a{number}', 'x')
        mesh.set_routes('s')
        mesh.run(0.5)
        attempt = mesh.call('b')
        if what == "the target's accept":
            mesh.accept_s = half / 2000
        else:
            mesh.paused_until['a0'] = mesh.now + half / 2000
        mesh.run(4)
        context.sweep[half / 2] = attempt
        context.mesh.attempts[half] = attempt
        for name, target in mesh.targets.items():
            target.runs = Counter({half: target.runs[attempt.flow]})
            context.mesh.targets[half, name] = target


@then('the caller is answered whenever it takes less than {bound:d} ms')
def check_sweep(context, bound):
    lost = [
        wait
        for wait, attempt in context.sweep.items()
        if wait < bound and attempt.outcome != 'answered'
    ]
    assert not lost, lost


@when(
    'a flow is offered to 1 agent through 2 balancers, and the first one'
    ' withdraws it before the target accepts'
)
def withdraw_first(context):
    mesh = context.mesh = Mesh(accept_s=0.03)
    for name in ('b1', 'b2'):
        mesh.add_balancer(name, 'x')
    mesh.add_agent('a', 'x')
    mesh.set_routes('s')
    mesh.run(0.5)
    # No message reaches the first balancer.
    mesh.is_lost = lambda _, receiver: receiver == 'b1'
    context.call = mesh.call('b1')
    context.call.balancer = 'b2'
    mesh.send_opening(context.call, 1)
    mesh.run(0.01)
    mesh.send('b1', Send(mesh.address('a'), WithdrawOffer(context.call.flow)))
    mesh.disconnected.add('b1')
    mesh.run(3)


@then('the caller is answered within {bound:d} ms')
def check_call(context, bound):
    call = context.call
    assert call.outcome == 'answered', call
    assert (call.ended_at - call.began_at) * 1000 <= bound, call


@given('a target has accepted a flow whose caller has not gone on yet')
def accept_flow(context):
    mesh = context.mesh
    context.call = mesh.call('b1')
    context.calls = [context.call]
    mesh.run(0.0015)
    context.owner = next(
        agent
        for agent in mesh.agents.values()
        if context.call.flow in agent.flows
    )
    context.number = context.owner.flows[context.call.flow].sequence
    assert context.number


def claims(context, acknowledged):
    question = FindOwner('s', context.call.flow, acknowledged)
    sender = context.mesh.address('b1')
    return context.owner.receive_message(sender, question, context.mesh.now)


@then(
    'its agent claims the flow of a packet that acknowledges the next number'
)
def check_claims(context):
    assert claims(context, context.number + 1)


@then(
    'it claims none that acknowledges the number itself, or the one after next'
)
def check_claims_no_other(context):
    assert not claims(context, context.number)
    assert not claims(context, context.number + 2)
