"""Steps on disk faults in a cluster."""

from __future__ import annotations

from behave import then
from behave import when
from virtual_disk import VirtualDisk

STEPS = {'a full disk': 'append', 'a failed sync': 'sync'}


def find_instance(context, who):
    leader = context.cluster.find_leader()
    if who == 'the leader':
        return leader
    return next(name for name in context.cluster.names if name != leader)


@when('{who} is killed at step {step:d} of {what}')
def kill_at(context, who, step, what):
    cluster = context.cluster
    leader = cluster.find_leader()
    name = context.name = find_instance(context, who)
    disk = cluster.instances[name].disk
    if what == 'a snapshot installation':
        make_follower_lag(cluster, name)
    disk.kill_at = disk.steps + step
    if what == 'a snapshot':
        cluster.compact(name)
    cluster.propose(leader)
    cluster.run(3.0 if what == 'a snapshot installation' else 0.5)
    assert cluster.instances[name].process is None


def make_follower_lag(cluster, name):
    """Let an instance miss what its leader then compacts."""
    leader = cluster.find_leader()
    cluster.split(name)
    for _ in range(50):
        cluster.propose(leader)
    cluster.run(0.5)
    cluster.compact(leader)
    cluster.heal()


@when('the killed instance is started and {seconds:d} seconds pass')
@when('the stopped instance is started and {seconds:d} seconds pass')
def start(context, seconds):
    cluster = context.cluster
    cluster.kill(context.name)
    cluster.start(context.name)
    assert not cluster.instances[context.name].failure
    cluster.run(seconds)


@when('{fault} of {who} happens as changes are proposed')
def fail_disk(context, fault, who):
    cluster = context.cluster
    context.name = find_instance(context, who)
    context.sent = len(cluster.in_flight)
    instance = cluster.instances[context.name]
    instance.disk.fail = STEPS[fault]
    cluster.in_flight.clear()
    context.last = cluster.propose(cluster.find_leader())
    for _ in range(len(cluster.in_flight)):
        cluster.deliver()
    context.in_flight = list(cluster.in_flight)


@then('its process has stopped with a failure of the journal')
def check_stopped(context):
    instance = context.cluster.instances[context.name]
    assert instance.process is None
    assert 'journal: ' in instance.failure, instance.failure


@then('it has sent no message after the fault')
def check_nothing_sent(context):
    sources = {source for source, _, _ in context.in_flight}
    assert context.name not in sources, sources


@when('{who} is stopped and a bit of its journal is flipped {where}')
def flip_bit(context, who, where):
    cluster = context.cluster
    context.name = find_instance(context, who)
    cluster.kill(context.name)
    inode = cluster.instances[context.name].disk.names['journal']
    content = bytearray(inode.content)
    content[len(content) // 2 if where == 'in the middle' else -1] ^= 1
    inode.content = bytes(content)


@then('it does not start, and the failure names the offset')
def check_refused(context):
    context.cluster.start(context.name)
    instance = context.cluster.instances[context.name]
    assert instance.process is None
    assert 'offset' in instance.failure


@when('its data folder is moved away and it is started')
def replace_disk(context):
    context.cluster.instances[context.name].disk = VirtualDisk()
    context.cluster.start(context.name)


@then('every instance votes under its current identity')
def check_voters(context):
    cluster = context.cluster
    identities = {one.identity for one in cluster.instances.values()}
    assert cluster.voters() == identities
