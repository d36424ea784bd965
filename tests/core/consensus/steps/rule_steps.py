"""Steps on a single replica."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from pistachiohook_core.consensus.entries import Entry
from pistachiohook_core.consensus.entries import EntryKind
from pistachiohook_core.consensus.entries import HardState
from pistachiohook_core.consensus.entries import Membership
from pistachiohook_core.consensus.entries import SavedState
from pistachiohook_core.consensus.entries import Snapshot
from pistachiohook_core.consensus.events import Appended
from pistachiohook_core.consensus.events import Apply
from pistachiohook_core.consensus.events import Persist
from pistachiohook_core.consensus.events import Propose
from pistachiohook_core.consensus.events import Read
from pistachiohook_core.consensus.events import ReadReady
from pistachiohook_core.consensus.events import Received
from pistachiohook_core.consensus.events import Refusal
from pistachiohook_core.consensus.events import Refused
from pistachiohook_core.consensus.events import Send
from pistachiohook_core.consensus.events import Tick
from pistachiohook_core.consensus.messages import Append
from pistachiohook_core.consensus.messages import AppendResponse
from pistachiohook_core.consensus.messages import JoinRequest
from pistachiohook_core.consensus.messages import JoinResponse
from pistachiohook_core.consensus.messages import PreVoteRequest
from pistachiohook_core.consensus.messages import PreVoteResponse
from pistachiohook_core.consensus.messages import VoteRequest
from pistachiohook_core.consensus.messages import VoteResponse
from pistachiohook_core.consensus.raft import handle
from pistachiohook_core.consensus.reading import measure_freshness
from pistachiohook_core.consensus.replica import create_replica
from pistachiohook_core.consensus.replica import Timing

OWN = 'a/1'
CLUSTER = 'z/1'
VOTERS = ('a/1', 'b/1', 'c/1')


def make_entry(index, term):
    return Entry(index, term, EntryKind.COMMAND, b'%d' % index)


def start(context, hard_state, voters=VOTERS):
    saved = SavedState(
        OWN,
        CLUSTER,
        hard_state,
        Snapshot(membership=Membership(voters)),
        tuple(make_entry(index, 4) for index in range(1, 11)),
    )
    names = ('a', 'b', 'c', 'd', 'e')
    context.now = 50.0
    context.replica = create_replica(saved, names, Timing(), 1, context.now)


def handle_event(context, event):
    context.actions = handle(context.replica, event, context.now)


def receive(context, kind, sender, term, *fields):
    message = kind(CLUSTER, sender, OWN, term, *fields)
    handle_event(context, Received(message))


def read_last(last):
    index, _, _, term = last.split()
    return int(index), int(term)


def list_sent(context, kind):
    return [
        action.message
        for action in context.actions
        if isinstance(action, Send) and isinstance(action.message, kind)
    ]


@given(
    'a replica in term 5 that voted for "{voted}" and whose last entry is 10 '
    'of term 4'
)
def make_replica(context, voted):
    start(context, HardState(5, voted))


@given(
    'a replica in term 5 that voted for "" and whose last entry is 10 of '
    'term 4'
)
def make_replica_without_vote(context):
    start(context, HardState(5, ''))


@given('it has just received a heartbeat from its leader "{leader}"')
def receive_heartbeat(context, leader):
    receive(context, Append, leader, 5, 10, 4, (), 0, 1)


@when(
    'it is asked for its vote in term {term:d} by "{sender}" with last entry '
    '{last}'
)
def ask_vote(context, term, sender, last):
    context.before = context.replica.hard_state
    receive(context, VoteRequest, sender, term, *read_last(last))


@then('it answers {answer}, after its term and vote are durable')
def check_vote(context, answer):
    [sent] = list_sent(context, VoteResponse)
    context.granted = sent.granted
    assert sent.granted == (answer == 'yes')
    state = context.replica.hard_state
    if state != context.before:
        assert isinstance(context.actions[0], Persist)
        assert context.actions[0].hard_state == state


@then(
    'after a restart it does not vote for "{other}" in term {term:d}, '
    'when it answered yes'
)
def check_restart(context, other, term):
    if not context.granted:
        return
    durable = [context.before]
    durable += [
        action.hard_state
        for action in context.actions
        if isinstance(action, Persist)
    ]
    start(context, durable[-1])
    receive(context, VoteRequest, other, term, 99, 4)
    [sent] = list_sent(context, VoteResponse)
    assert not sent.granted


@when(
    '{seconds:f} seconds later "{sender}" asks for a pre-vote with last entry '
    '{last}'
)
def ask_pre_vote(context, seconds, sender, last):
    context.now += seconds
    receive(context, PreVoteRequest, sender, 5, *read_last(last))


@then('the pre-vote is {answer} and nothing has changed')
def check_pre_vote(context, answer):
    [sent] = list_sent(context, PreVoteResponse)
    assert sent.granted == (answer == 'granted')
    assert context.replica.hard_state == HardState(5, 'c/1')
    assert len(context.actions) == 1


@when('it becomes the leader of term 6')
def win_election(context):
    context.now += 3.0
    handle_event(context, Tick())
    receive(context, PreVoteResponse, 'b/1', 5, 5, True)
    receive(context, VoteResponse, 'b/1', 6, True)
    assert context.replica.leader == OWN


@when('"{sender}" holds the entries up to {matched:d}')
def acknowledge_entries(context, sender, matched):
    probe = context.replica.first_round
    receive(context, AppendResponse, sender, 6, True, matched, probe)


@then('the entries up to {commits:d} are committed')
def check_commit(context, commits):
    applied = [
        action.entry.index
        for action in context.actions
        if isinstance(action, Apply)
    ]
    assert applied == list(range(1, commits + 1)), applied


@when(
    'its leader "{leader}" sends entries {first:d} to {last:d} of term '
    '{term:d}'
)
def send_entries(context, leader, first, last, term):
    entries = tuple(make_entry(one, term) for one in range(first, last + 1))
    receive(context, Append, leader, 5, first - 1, 4, entries, 0, 1)


@when('a leader of term 4 sends an entry that would replace 9')
def send_stale(context):
    entries = (make_entry(9, 3),)
    receive(context, Append, 'b/1', 4, 8, 4, entries, 9, 1)


@then('its log ends at {length:d}')
def check_length(context, length):
    assert context.replica.log.last_index == length


@then('the leader of term 4 is told of term 5')
def check_term_told(context):
    [sent] = list_sent(context, AppendResponse)
    assert sent.term == 5
    assert not sent.matched


@when('two commands are proposed')
def propose(context):
    context.replica.instances = ('a', 'b', 'c')
    handle_event(context, Propose((1, 2), (b'x', b'y')))


@then('the first action makes entries 12 and 13 durable')
def check_durable(context):
    first = context.actions[0]
    assert isinstance(first, Persist)
    assert [entry.index for entry in first.entries] == [12, 13]
    assert len(list_sent(context, Append)) == 2


@when('"{first}" and "{second}" ask to join')
def request_joins(context, first, second):
    for sender in (first, second):
        message = JoinRequest('', sender, '', 0)
        handle_event(context, Received(message))


def count_changes(context):
    handle_event(context, Tick())
    return sum(
        1
        for entry in context.replica.log.entries
        if entry.kind is EntryKind.MEMBERSHIP
    )


@then('no change begins before an entry of term 6 is committed')
def check_none(context):
    assert count_changes(context) == 0
    acknowledge_entries(context, 'b/1', 10)
    assert count_changes(context) == 0
    acknowledge_entries(context, 'b/1', 11)
    assert count_changes(context) == 1


@then('the second change begins only after the first is committed')
def check_second(context):
    assert count_changes(context) == 1
    acknowledge_entries(context, 'b/1', 12)
    assert count_changes(context) == 2


@when('a read begins')
def begin_read(context):
    handle_event(context, Read(1))


@when(
    '"{sender}" acknowledges the read\'s heartbeat round and holds the '
    'entries up to {matched:d}'
)
def acknowledge_round(context, sender, matched):
    probe = context.replica.heartbeat_round
    receive(context, AppendResponse, sender, 6, True, matched, probe)


@then('the read is not answered, and no quorum is confirmed')
def check_unread(context):
    assert ReadReady not in {type(action) for action in context.actions}
    assert measure_freshness(context.replica, context.now) == float('inf')


@then('the read is answered at {index:d}')
def check_read(context, index):
    assert ReadReady(1, index) in context.actions


@given(
    'a replica that is the only voter, with {configured:d} instances '
    'in the settings'
)
def make_only_voter(context, configured):
    start(context, HardState(5, OWN), (OWN,))
    context.replica.instances = tuple('abcde'[:configured])
    handle_event(context, Tick())
    assert context.replica.leader == OWN


@when('a command is proposed')
def propose_one(context):
    handle_event(context, Propose((7,), (b'x',)))


@then('it accepts the command')
def check_command_accepted(context):
    kinds = [type(action) for action in context.actions]
    assert kinds == [Persist, Appended, Apply]


@then('it refuses the command for too few voters')
def check_refused(context):
    assert context.actions == (Refused(7, Refusal.TOO_FEW_VOTERS),)


@when('"{learner}" is admitted as a learner')
def admit_learner(context, learner):
    handle_event(context, Received(JoinRequest('', learner, '', 0)))
    handle_event(context, Tick())
    acknowledge_entries(context, 'b/1', 12)
    membership = context.replica.membership
    assert membership.learners == (learner,)
    assert context.replica.commit == 12


def acknowledge_as_learner(context, learner, index):
    probe = context.replica.heartbeat_round
    receive(context, AppendResponse, learner, 6, True, index, probe)
    handle_event(context, Tick())
    return learner in context.replica.membership.voters


@then('"{learner}" does not vote when it holds the entries up to {index:d}')
def check_learner(context, learner, index):
    assert not acknowledge_as_learner(context, learner, index)


@then('"{learner}" votes when it holds the entries up to {index:d}')
def check_voter(context, learner, index):
    assert acknowledge_as_learner(context, learner, index)


@then('"{voter}" is still a voter')
def check_kept(context, voter):
    assert voter in context.replica.membership.voters


@when('"{learner}" replaces the learner "{former}"')
def replace_learner(context, learner, former):
    handle_event(context, Received(JoinRequest('', learner, '', 0)))
    handle_event(context, Tick())
    membership = context.replica.membership
    assert membership.learners == (learner,)
    assert membership.retired == (former,)


@when('"{former}" asks to join again')
def join_again(context, former):
    acknowledge_entries(context, 'b/1', 13)
    handle_event(context, Received(JoinRequest(CLUSTER, former, '', 6)))
    context.answers = list_sent(context, JoinResponse)


@then('"{former}" is told that it is retired')
def check_told_retired(context, former):
    [sent] = context.answers
    assert sent.retired
    assert sent.receiver == former


@then('"{former}" is not a member')
def check_no_member(context, former):
    handle_event(context, Tick())
    assert former not in context.replica.membership.members


@when('it receives {kind} from another cluster in term 9')
def receive_foreign(context, kind):
    foreign = {
        'a vote request': VoteRequest('y/1', 'b/1', OWN, 9, 99, 9),
        'an append': Append('y/1', 'b/1', OWN, 9, 10, 4, (), 10, 1),
        'a join request': JoinRequest('y/1', 'd/1', '', 9),
    }
    handle_event(context, Received(foreign[kind]))


@then('it does nothing')
def check_idle(context):
    assert context.actions == ()
    assert context.replica.hard_state == HardState(5, 'c/1')


@when('3 seconds pass in which only "{sender}" responds')
def pass_time(context, sender):
    context.now += 3.0
    acknowledge_entries(context, sender, 11)
    handle_event(context, Tick())


@when('"{sender}" responds that it lacks the entries after {index:d}')
def reject_append(context, sender, index):
    probe = context.replica.first_round
    receive(context, AppendResponse, sender, 6, False, index, probe)


@then('"{receiver}" is sent {number:d} entries')
def check_sent(context, receiver, number):
    [sent] = [
        message
        for message in list_sent(context, Append)
        if message.receiver == receiver
    ]
    assert len(sent.entries) == number, sent
