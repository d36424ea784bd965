"""Steps for the agents of a ledger and their faults."""

from __future__ import annotations

from behave import given
from behave import step
from behave import then
from behave import when
from ledger_bench import Bench
from ledger_bench import make_bench
from ledger_bench import make_key
from ledger_bench import START
from pistachiohook_core.requests.keys import place_replicas
from pistachiohook_core.requests.ledger_messages import Tick


@given('{count:d} agents that share a ledger')
def make_agents(context, count):
    context.bench = make_bench(count)
    context.key = make_key(context.bench)
    context.sent = {}


@given('{count:d} agents of a service that was formed just now')
def make_cold_agents(context, count):
    context.bench = Bench(tuple('abc'[:count]), formed_at=START)
    for name in context.bench.names:
        context.bench.start(name)
    context.key = make_key(context.bench)
    context.sent = {}


@given('control no longer reaches {name:w}')
def stop_confirming(context, name):
    context.bench.unconfirmed.add(name)


@when('the order is sent to {name:w}')
def send_order(context, name):
    context.sent[name] = context.bench.request(name, context.key)


@when('a is killed, before it requests votes')
def kill_before_vote(context):
    context.bench.network.clear()
    context.bench.kill('a')


@when('a is killed, once the replicas have voted')
def kill_after_votes(context):
    bench = context.bench
    for _ in range(len(bench.network)):
        bench.deliver(0)
    bench.network[:] = [
        message for message in bench.network if message[1] != 'a'
    ]
    bench.kill('a')


@when('a is killed, once it is granted the key')
def kill_after_grant(context):
    context.bench.deliver_all()
    assert context.bench.granted_to[context.key] == 'a'
    context.bench.kill('a')


@when('a is killed, once the run has ended')
def kill_after_run(context):
    context.bench.deliver_all()
    context.bench.end_run(context.key, b'answer')
    context.bench.network.clear()
    context.bench.kill('a')


@when('a is killed, once one replica has stored the answer')
def kill_after_one_acknowledgement(context):
    bench = context.bench
    bench.deliver_all()
    bench.end_run(context.key, b'answer')
    others = [message for message in bench.network if message[1] != 'a']
    bench.network[:] = others[:1]
    bench.deliver_all()
    bench.kill('a')


@when('a is killed, once all replicas have stored the answer')
def kill_after_all_acknowledgements(context):
    context.bench.deliver_all()
    context.bench.end_run(context.key, b'answer')
    context.bench.deliver_all()
    context.bench.kill('a')


@when('control removes a after {seconds:d} s')
def remove_holder(context, seconds):
    context.bench.members.discard('a')
    context.bench.advance(float(seconds))


@when('the order is sent again to {name:w}')
def resend_order(context, name):
    context.sent[name] = context.bench.request(name, context.key)
    context.bench.deliver_all()


@when('the order is granted to a')
def grant_order(context):
    context.bench.request('a', context.key)
    context.bench.deliver_all()
    assert context.bench.granted_to[context.key] == 'a'


@when('the order is granted to a, which leaves')
def grant_and_leave(context):
    grant_order(context)
    context.bench.leave('a')


@when('the target answers')
def answer(context):
    context.bench.deliver_all()
    context.bench.end_run(context.key, b'answer')
    context.bench.deliver_all()
    context.bench.advance(0.5)


@when("the target's answer is lost")
def lose_answer(context):
    context.bench.end_run(context.key, None)
    context.bench.deliver_all()


@when('the target answers while all messages are lost')
def answer_without_messages(context):
    context.bench.end_run(context.key, b'answer')
    context.bench.network.clear()


@when('nothing more happens')
def do_nothing(context):
    """Do nothing: the run continues."""


@step('{seconds:d} s pass')
def pass_time(context, seconds):
    context.bench.advance(float(seconds))


@when('the order is sent twice at once to a')
def send_twice(context):
    context.bench.request('a', context.key)
    context.second = context.bench.request('a', context.key)
    context.bench.deliver_all()


@then('the second order is {outcome}')
def check_second(context, outcome):
    assert context.bench.outcomes[context.second] == outcome


@when('an order with a key {form} is sent to a')
def send_with_key(context, form):
    bench = context.bench
    keys = {
        'without an issue time': 'random-random-random',
        'issued 700 s ago': make_key(bench, age=700.0),
        'issued 20 s ahead': make_key(bench, age=-20.0),
        'of another order': context.key,
    }
    if keys[form] == context.key:
        bench.request('b', context.key, body=b'another')
        bench.deliver_all()
    context.sent['a'] = bench.request('a', keys[form])
    bench.deliver_all()


@when('{name:w} leaves')
def leave(context, name):
    context.bench.leave(name)


@when('a replica of the order leaves')
def leave_replica(context):
    members = context.bench.read_members()
    context.bench.leave(place_replicas(context.key, members)[0])


@when('the order is sent again to a live agent')
def resend_to_live(context):
    name = sorted(context.bench.agents)[0]
    context.last = context.bench.request(name, context.key)
    context.bench.deliver_all()


@when('all agents restart, {gap:d} s apart')
def restart_all(context, gap):
    context.bench.advance(1.0)
    for name in context.bench.names:
        context.bench.start(name)
        if gap:
            context.bench.advance(float(gap))


@when('a partition separates one replica of the order from the two others')
def split_replicas(context):
    bench = context.bench
    replicas = place_replicas(context.key, bench.read_members())
    bench.cut = set(replicas[1:])
    context.sides = {'majority': replicas[1], 'minority': replicas[0]}


@when('the order is sent to the replica in the minority')
def send_to_minority(context):
    send_to_side(context, 'minority')


@when('the order is sent to a replica in the majority')
def send_to_majority(context):
    send_to_side(context, 'majority')


def send_to_side(context, side):
    name = context.sides[side]
    context.sent[side] = context.bench.request(name, context.key)
    context.bench.deliver_all()


@then('the order in the {side} is {outcome}')
def check_side(context, side, outcome):
    actual = context.bench.outcomes[context.sent[side]]
    assert actual == outcome, actual


@when('the partition ends')
def end_partition(context):
    context.bench.cut = set()


@when('c is isolated')
def isolate_c(context):
    context.bench.cut = {'c'}


@when('c looks the order up')
def look_up(context):
    context.sent['c'] = context.bench.look_up('c', context.key)
    context.bench.deliver_all()


@when(
    'the holder {event:w} after each number of messages up to {most:d}',
)
def kill_after_each_count(context, event, most):
    context.outcomes = [
        lose_holder(event, count, answers)
        for count in range(most + 1)
        for answers in (True, False)
    ]


def lose_holder(event, count, answers):
    """Lose the holder after some messages, then send the order again."""
    bench = make_bench(5)
    key = make_key(bench)
    bench.request('a', key)
    for _ in range(count):
        if key in bench.granted_to and answers and key not in bench.answers:
            bench.end_run(key, b'answer')
        if bench.network:
            bench.deliver(0)
    granted_before = bench.grants[key]
    if event == 'leaves':
        bench.leave('a')
    else:
        bench.start('a')
    bench.advance(3.0)
    repeated = bench.request('b', key)
    bench.deliver_all()
    bench.advance(31.0)
    return granted_before, bench.grants[key], bench.outcomes[repeated]


@then('the order was granted at most once and was always answered')
def check_outcomes(context):
    for granted_before, grants, outcome in context.outcomes:
        assert grants <= 1
        assert outcome != 'waiting'
        assert outcome != 'granted' or not granted_before
    assert {'replayed', 'unknown outcome'} <= {o[2] for o in context.outcomes}


@then('the answer to {name:w} is {outcome}')
def check_answer(context, name, outcome):
    context.bench.deliver_all()
    actual = context.bench.outcomes[context.sent[name]]
    assert actual == outcome, actual


@then('the answer is {outcome}')
def check_last(context, outcome):
    actual = context.bench.outcomes[context.last]
    assert actual == outcome, actual


@then('the order was granted {count:d} times')
def check_grants(context, count):
    assert context.bench.grants[context.key] == count


@when('two replicas of the order restart while the third is isolated')
def restart_two(context):
    lose_two(context, context.bench.start)


@when('two replicas of the order leave while the third is isolated')
def remove_two(context):
    lose_two(context, context.bench.leave)


def lose_two(context, remove):
    bench = context.bench
    replicas = place_replicas(context.key, bench.read_members())
    bench.cut = {replicas[2]}
    for name in replicas[:2]:
        remove(name)
    context.others = [n for n in bench.names if n not in (*replicas, 'a')]
    bench.advance(1.0)


@when('the order is sent again to an agent that kept running')
def resend_to_other(context):
    context.last = context.bench.request(context.others[0], context.key)
    context.bench.deliver_all()


def deliver_between(bench, first, second):
    """Deliver the messages in flight between two agents."""
    for sender, receiver in ((first, second), (second, first)):
        for message in tuple(bench.network):
            if message[:2] == (sender, receiver):
                bench.deliver(bench.network.index(message))


@when('one agent has the vote of a replica, which then restarts')
def restart_after_vote(context):
    bench = context.bench
    replicas = place_replicas(context.key, bench.read_members())
    context.replicas = replicas
    context.others = [n for n in bench.names if n not in replicas]
    first = context.others[0]
    bench.request(first, context.key)
    deliver_between(bench, first, replicas[0])
    bench.start(replicas[0])


@when('another agent is granted the order by that replica and a second one')
def grant_to_another(context):
    bench = context.bench
    restarted, second, third = context.replicas
    name = context.others[1]
    bench.request(name, context.key)
    for _ in range(3):
        deliver_between(bench, name, second)
        deliver_between(bench, name, restarted)
        deliver_between(bench, restarted, second)
        deliver_between(bench, restarted, third)
        bench.now += 0.2
        bench.feed(name, Tick())
    assert bench.granted_to[context.key] == name


@when('the third replica votes for the first agent')
def deliver_last_vote(context):
    deliver_between(context.bench, context.others[0], context.replicas[2])


@given('a is isolated from the others')
def isolate_a(context):
    context.bench.cut = {'a'}


@then('a has sent at most {count:d} messages to each agent')
def check_sent_count(context, count):
    sent = max(context.bench.dropped.values())
    assert 2 <= sent <= count, sent


@given('control reaches no agent for {seconds:d} s, and {meanwhile}')
def interrupt_control(context, seconds, meanwhile):
    bench = context.bench
    bench.unconfirmed = set(bench.names)
    bench.advance(float(seconds))
    if meanwhile != 'nothing changes':
        bench.leave('c')
    if meanwhile == 'c leaves and starts':
        bench.start('c')
    bench.unconfirmed = set()
    bench.advance(0.5)
    context.key = make_key(bench)
