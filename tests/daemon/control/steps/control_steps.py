"""Steps about control instances over real sockets."""

from __future__ import annotations

import json
from pathlib import Path
import tempfile

from behave import given
from behave import then
from behave import when
from pistachiohook_core.configuration.documents import CheckRequest
from pistachiohook_core.configuration.documents import encode_document
from pistachiohook_core.configuration.objects import RawObject
from pistachiohook_core.configuration.state import make_published
from pistachiohook_core.membership.subscription import ControlStatus
from pistachiohook_daemon.control import replicator
from pistachiohook_daemon.control.tokens import read_tokens
from pistachiohook_daemon.keys import LinkKeys
from returns.pipeline import is_successful
from running import OPERATOR
from running import READER
from running import Running
from tornado.httpclient import HTTPClient

TOKENS = {
    "ana's": f'Bearer {OPERATOR}',
    "a reader's": f'Bearer {READER}',
    'a wrong one': 'Bearer wrong-token-000001',
}

OBJECTS = CheckRequest(
    (
        RawObject('policy', 'p', 'a.toml'),
        RawObject(
            'service',
            'soapfloor',
            'a.toml',
            {'addresses': ['10.0.0.1:443'], 'policy': 'p'},
        ),
    )
)


@given('{count:d} control instances and a node "{node}"')
def start(context, count, node):
    context.running = Running()
    context.add_cleanup(context.running.stop)
    context.running.start(count)
    context.running.wait(context.running.find_leader)
    context.running.start_node(node)
    context.answers = {}


@given('{count:d} control instances and a node "{node}" on {role}')
def start_on(context, count, node, role):
    """Start a node that turns to the leader or a follower first."""
    context.running = Running()
    context.add_cleanup(context.running.stop)
    context.running.start(count)
    context.running.wait(context.running.find_leader)
    context.answers = {}
    leader = role == 'the leader'
    found = context.running.find_leader() if leader else None
    context.isolated = found or find_follower(context)
    context.running.start_node(node, first=context.isolated)


@when('no message of that instance to the others gets out')
def isolate(context):
    role, _ = context.running.roles[context.isolated]
    role.replicator.send = lambda *_: False


@then('node "{name}" moves to another instance and stays a member')
def wait_for_move(context, name):
    others = [
        role
        for other, (role, _) in context.running.roles.items()
        if other != context.isolated
    ]

    def has_moved():
        members = [role.state.members[name] for role in others]
        return all(one.holder != context.isolated for one in members)

    context.running.wait(has_moved)
    # The test's own requests are not for the isolated instance.
    context.running.isolated = context.isolated


def send(context, name, method, path, token="ana's", body=None):
    api = next(m.api for m in context.running.members if m.name == name)
    headers = {'Authorization': TOKENS[token]} if token in TOKENS else {}
    client = HTTPClient()
    context.answer = client.fetch(
        f'http://{api}{path}',
        method=method,
        headers=headers,
        body=body,
        raise_error=False,
        request_timeout=30,
        allow_nonstandard_methods=True,
    )
    client.close()
    return context.answer


def find_follower(context):
    context.running.wait(context.running.find_leader)
    leader = context.running.find_leader()
    return next(
        name
        for name in context.running.roles
        if name not in (leader, context.running.isolated)
    )


def find_revision(context):
    document = json.loads(
        send(context, find_follower(context), 'GET', '/v1/configuration').body
    )
    return document['revision']


def send_change(context, change_id, revision, name):
    body = json.loads(encode_document(OBJECTS))
    body |= {'revision': revision, 'change_id': change_id}
    answer = send(
        context, name, 'PUT', '/v1/configuration', body=json.dumps(body)
    )
    context.answers.setdefault(change_id, json.loads(answer.body))


@when('change "{name}" against revision {base:d} is sent to a follower')
def send_to_follower(context, name, base):
    send_change(context, name, base, find_follower(context))


@when('change "{name}" against the newest revision is sent to a follower')
def send_newest(context, name):
    revision = find_revision(context)
    send_change(context, name, revision, find_follower(context))


@when('change "{name}" against revision {base:d} is sent to the one')
def send_to_one(context, name, base):
    send_change(context, name, base, next(iter(context.running.roles)))


@then('the answer has status {status:d}')
def compare_status(context, status):
    assert context.answer.code == status, context.answer.body


@then('the answer has status 503 or 504')
def compare_statuses(context):
    assert context.answer.code in (503, 504), context.answer.body


@then('the answer has status 200 and is not linearized')
def compare_stale(context):
    compare_status(context, 200)
    assert json.loads(context.answer.body)['source']['linearized'] is False


@then('the answer is the first answer to "{name}"')
def compare_answer(context, name):
    assert json.loads(context.answer.body) == context.answers[name]


@then('the answer is a problem of the type "{name}"')
def compare_problem(context, name):
    kind = context.answer.headers['Content-Type']
    assert kind == 'application/problem+json', kind
    problem = json.loads(context.answer.body)
    assert problem['type'].endswith(f':{name}'), problem
    assert problem['status'] == context.answer.code


@when('the leader is stopped')
def stop_leader(context):
    context.running.stop_control(context.running.find_leader())


@when('all control instances are stopped and started again')
def restart_all(context):
    for name in tuple(context.running.roles):
        context.running.stop_control(name)
    for member in context.running.members:
        context.running.start_control(member.name)


@given('a snapshot is taken every {count:d} entries')
def patch_snapshots(context, count):
    kept = replicator.SNAPSHOT_ENTRIES
    replicator.SNAPSHOT_ENTRIES = count
    context.add_cleanup(setattr, replicator, 'SNAPSHOT_ENTRIES', kept)


@when('a follower is stopped')
def stop_follower(context):
    context.stopped = find_follower(context)
    context.running.stop_control(context.stopped)


@when('the follower is started again')
def start_follower(context):
    context.running.start_control(context.stopped)


@when('{count:d} changes against the newest revision are accepted')
def send_changes(context, count):
    revision = find_revision(context)
    name = find_follower(context)
    for number in range(count):
        change_id = f'change-{number}'
        send_change(context, change_id, revision, name)
        assert context.answer.code == 200, context.answer.body
        revision = context.answers[change_id]['revision']


@then('all control instances hold the same')
def wait_for_same(context):
    roles = [role for role, _ in context.running.roles.values()]
    assert len(roles) == len(context.running.members)

    def is_same():
        published = [make_published(role.state) for role in roles]
        records = [role.state.records for role in roles]
        return (
            min(one.revision for one in published) > 30
            and all(one == published[0] for one in published)
            and all(one == records[0] for one in records)
        )

    context.running.wait(is_same)


@when('all control instances but one are stopped')
def stop_all_but_one(context):
    leader = context.running.find_leader()
    for name in tuple(context.running.roles):
        if name != leader:
            context.running.stop_control(name)


@when('the configuration is read from the one')
def read_from_one(context):
    read_from_one_with(context, '')


@when('the configuration is read from the one with "{query}"')
def read_from_one_with(context, query):
    name = next(iter(context.running.roles))
    send(context, name, 'GET', f'/v1/configuration{query}')


@then('the newest revision is in force at node "{name}"')
def wait_in_force(context, name):
    revision = find_revision(context)
    path = f'/v1/status?revision={revision}'

    def is_in_force():
        answer = send(context, find_follower(context), 'GET', path)
        rollout = json.loads(answer.body).get('rollout', {})
        return rollout.get('in_force') == rollout.get('nodes') == 1

    context.running.wait(is_in_force)
    subscription = context.running.nodes[name][0].subscription
    assert subscription.published.revision >= revision, subscription
    # A node applies a revision before a quorum has confirmed it.
    context.running.wait(lambda: subscription.current)


@then('node "{name}" never went back to a lower revision')
def compare_applied(context, name):
    revisions = [
        published.revision for published in context.running.applied[name]
    ]
    assert revisions == sorted(revisions), revisions


@then('node "{name}" knows that its state is stale, and serves')
def wait_stale(context, name):
    subscriber = context.running.nodes[name][0]
    context.running.wait(
        lambda: subscriber.assess_control() is not ControlStatus.FRESH
    )
    assert subscriber.is_current()


@when('a node "{name}" with a wrong key starts')
def start_stranger(context, name):
    context.running.start_node(name, LinkKeys(b'w' * 32))


@then('event {number:d} is logged')
def wait_for_event(context, number):
    context.running.wait(
        lambda: number in {event for event, _ in context.running.events}
    )


@then('"{name}" is no member')
def compare_no_member(context, name):
    assert not context.running.is_member(name)


@when('{method} {path} is sent with {token} and the body {body}')
def send_request(context, method, path, token, body):
    body = None if body == 'none' else body
    send(context, 'c1', method, path, token, body)


@given('the token file "{text}"')
def write_tokens(context, text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'tokens'
        path.write_text(text)
        context.tokens = read_tokens(path)


@then('it is {outcome}')
def compare_tokens(context, outcome):
    assert is_successful(context.tokens) == (outcome == 'read')
