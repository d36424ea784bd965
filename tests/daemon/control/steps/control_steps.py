"""Steps for control instances that communicate over sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import tempfile

from behave import given
from behave import then
from behave import when
from control_cluster import ControlCluster
from control_cluster import OPERATOR
from control_cluster import READER
from pistachiohook_core.configuration.documents import CheckRequest
from pistachiohook_core.configuration.documents import encode_document
from pistachiohook_core.configuration.objects import RawObject
from pistachiohook_core.configuration.state import make_published
from pistachiohook_core.membership.subscription import ControlStatus
from pistachiohook_daemon.control import replicator
from pistachiohook_daemon.control.tokens import read_tokens
from pistachiohook_daemon.keys import LinkKeys
from returns.pipeline import is_successful
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
    context.cluster = ControlCluster()
    context.add_cleanup(context.cluster.stop)
    context.cluster.start(count)
    context.cluster.wait(context.cluster.find_leader)
    context.cluster.start_node(node)
    context.answers = {}


@given('{count:d} control instances and a node "{node}" on {role}')
def start_on(context, count, node, role):
    """Start a node that connects to the leader or a follower first."""
    context.cluster = ControlCluster()
    context.add_cleanup(context.cluster.stop)
    context.cluster.start(count)
    context.cluster.wait(context.cluster.find_leader)
    context.answers = {}
    leader = role == 'the leader'
    found = context.cluster.find_leader() if leader else None
    context.isolated = found or find_follower(context)
    context.cluster.start_node(node, first=context.isolated)


@when('that instance can no longer send to the others')
def isolate(context):
    role, _ = context.cluster.roles[context.isolated]
    role.replicator.send = lambda *_: False


@then('node "{name}" moves to another instance and stays a member')
def wait_for_move(context, name):
    others = [
        role
        for other, (role, _) in context.cluster.roles.items()
        if other != context.isolated
    ]

    def has_moved():
        members = [role.state.members[name] for role in others]
        return all(one.holder != context.isolated for one in members)

    context.cluster.wait(has_moved)
    # Exclude the isolated instance from the test's further requests.
    context.cluster.isolated = context.isolated


def send(context, name, method, path, token="ana's", body=None):
    api = next(m.api for m in context.cluster.members if m.name == name)
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
    context.cluster.wait(context.cluster.find_leader)
    leader = context.cluster.find_leader()
    return next(
        name
        for name in context.cluster.roles
        if name not in (leader, context.cluster.isolated)
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


@when('change "{name}" against revision {base:d} is sent to the remaining one')
def send_to_remaining(context, name, base):
    send_change(context, name, base, next(iter(context.cluster.roles)))


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
def compare_first_answer(context, name):
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
    context.cluster.stop_control(context.cluster.find_leader())


@when('all control instances are restarted')
def restart_all(context):
    for name in tuple(context.cluster.roles):
        context.cluster.stop_control(name)
    for member in context.cluster.members:
        context.cluster.start_control(member.name)


@given('a snapshot is taken every {count:d} entries')
def patch_snapshots(context, count):
    original = replicator.SNAPSHOT_ENTRIES
    replicator.SNAPSHOT_ENTRIES = count
    context.add_cleanup(setattr, replicator, 'SNAPSHOT_ENTRIES', original)


@when('a follower is stopped')
def stop_follower(context):
    context.stopped = find_follower(context)
    context.cluster.stop_control(context.stopped)


@when('the follower is restarted')
def start_follower(context):
    context.cluster.start_control(context.stopped)


@when('{count:d} changes against the newest revision are accepted')
def send_changes(context, count):
    revision = find_revision(context)
    name = find_follower(context)
    for number in range(count):
        change_id = f'change-{number}'
        send_change(context, change_id, revision, name)
        assert context.answer.code == 200, context.answer.body
        revision = context.answers[change_id]['revision']


@then('all control instances hold the same state')
def wait_for_same(context):
    roles = [role for role, _ in context.cluster.roles.values()]
    assert len(roles) == len(context.cluster.members)

    def is_same():
        published = [make_published(role.state) for role in roles]
        records = [role.state.records for role in roles]
        return (
            min(one.revision for one in published) > 30
            and all(one == published[0] for one in published)
            and all(one == records[0] for one in records)
        )

    context.cluster.wait(is_same)


@when('all control instances but one are stopped')
def stop_all_but_one(context):
    leader = context.cluster.find_leader()
    for name in tuple(context.cluster.roles):
        if name != leader:
            context.cluster.stop_control(name)


@when('the configuration is read from the remaining one')
def read_from_remaining(context):
    read_from_remaining_with(context, '')


@when('the configuration is read from the remaining one with "{query}"')
def read_from_remaining_with(context, query):
    name = next(iter(context.cluster.roles))
    send(context, name, 'GET', f'/v1/configuration{query}')


@then('the newest revision is applied by node "{name}"')
def wait_for_rollout(context, name):
    revision = find_revision(context)
    path = f'/v1/status?revision={revision}'

    def is_applied():
        answer = send(context, find_follower(context), 'GET', path)
        rollout = json.loads(answer.body).get('rollout', {})
        return rollout.get('in_force') == rollout.get('nodes') == 1

    context.cluster.wait(is_applied)
    subscription = context.cluster.nodes[name][0].subscription
    assert subscription.published.revision >= revision, subscription
    # A node applies a revision before a quorum has confirmed it.
    context.cluster.wait(lambda: subscription.current)


@then('node "{name}" never went back to a lower revision')
def compare_applied(context, name):
    revisions = [
        published.revision for published in context.cluster.applied[name]
    ]
    assert revisions == sorted(revisions), revisions


@then('node "{name}" detects that its state is stale and continues to serve')
def wait_stale(context, name):
    subscriber = context.cluster.nodes[name][0]
    context.cluster.wait(
        lambda: subscriber.assess_control() is not ControlStatus.FRESH
    )
    assert subscriber.is_current()


@when('a node "{name}" with a wrong key starts')
def start_node_with_wrong_key(context, name):
    context.cluster.start_node(name, LinkKeys(b'w' * 32))


@then('event {number:d} is logged')
def wait_for_event(context, number):
    context.cluster.wait(
        lambda: number in {event for event, _ in context.cluster.events}
    )


@when('node "{name}" leaves')
def leave(context, name):
    cluster = context.cluster
    cluster.wait(lambda: all(count_targets(cluster)))
    subscriber, _ = cluster.nodes[name]
    cluster.loop.call_soon_threadsafe(subscriber.leave)
    cluster.wait(lambda: not any(count_targets(cluster)))
    cluster.stop_node(name)


def count_targets(cluster):
    """Return the number of targets that each instance would publish."""
    return [
        len(make_published(role.state).targets)
        for role, _ in cluster.roles.values()
    ]


@then('"{name}" is no member at any instance, nor its target published')
def check_away(context, name):
    # Reads are answered once the instance has applied what was accepted.
    for instance, (role, _) in context.cluster.roles.items():
        context.cluster.wait(
            lambda instance=instance: (
                send(context, instance, 'GET', '/v1/configuration').code == 200
            )
        )
        assert name not in role.state.members
    assert not any(count_targets(context.cluster))


@when('the token file holds no token of an operator')
def remove_token(context):
    tokens = f'rolf reader {READER}\n'
    (context.cluster.folder / 'tokens').write_text(tokens)


@then('"{name}" is not a member')
def compare_no_member(context, name):
    assert not context.cluster.is_member(name)


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


@then('the file is {outcome}')
def compare_tokens(context, outcome):
    assert is_successful(context.tokens) == (outcome == 'read')


@when(
    'a follower is told to stop while {number:d} reads are in progress there'
)
def stop_during_reads(context, number):
    cluster = context.cluster
    leader = cluster.find_leader()
    name = next(name for name in cluster.roles if name != leader)
    role, _ = cluster.roles[name]
    address = next(m.api for m in cluster.members if m.name == name)
    request = (
        f'GET /v1/configuration HTTP/1.1\r\nHost: test\r\n'
        f'Authorization: Bearer {OPERATOR}\r\n\r\n'
    ).encode()

    async def stop():
        connections = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(number)
        ]
        for _, writer in connections:
            writer.write(request)
        await asyncio.sleep(0.01)
        await role.shut_down()
        return [await reader.readline() for reader, _ in connections]

    context.status_lines = cluster.call(stop())
    _, supervisor = cluster.roles.pop(name)
    cluster.call(supervisor.cancel())
    role.folder.close()


@then('each read was answered with status {status:d}')
def check_reads(context, status):
    codes = [line.split()[1:2] for line in context.status_lines]
    assert codes == [[str(status).encode()]] * len(codes), codes
