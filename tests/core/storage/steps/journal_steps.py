"""Steps on the journal of a replica."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from pistachiohook_core.consensus.entries import Entry
from pistachiohook_core.consensus.entries import EntryKind
from pistachiohook_core.consensus.entries import HardState
from pistachiohook_core.consensus.entries import SavedState
from pistachiohook_core.consensus.entries import Snapshot
from pistachiohook_core.storage.journal import JOURNAL
from pistachiohook_core.storage.journal import Journal
from pistachiohook_core.storage.journal import load_journal
from pistachiohook_core.storage.journal import UpdateRecord
from returns.result import Success
from virtual_disk import Killed
from virtual_disk import VirtualDisk

#: Arguments of a crash: names kept, unsynced bytes kept, whether as zeros.
CRASHES = {
    'nothing unsynced is kept': (False, 0, False),
    'part of the write is kept': (True, 150, False),
    'all of the write is kept': (True, 10_000, False),
    'the write is kept with a gap': (True, 10_000, True),
}


def make_entry(index, term=1):
    payload = bytes([index]) * 600
    return Entry(index, term, EntryKind.COMMAND, payload)


def make_update(index, term=1):
    return UpdateRecord(HardState(term, 'a/1'), (make_entry(index, term),))


def open_journal(context):
    journal = Journal(context.disk.open())
    return journal, load_journal(journal)


@given('an empty data folder')
def make_folder(context):
    context.disk = VirtualDisk()


@given('a journal with 3 entries')
def write_journal(context):
    context.disk = VirtualDisk()
    context.journal = Journal(context.disk.open())
    assert context.journal.replace(SavedState('a/1', 'a/1')) == Success(None)
    for index in (1, 2, 3):
        result = context.journal.append(make_update(index))
        assert result == Success(None)


def add_entry(context):
    return context.journal.append(make_update(4))


def take_snapshot(context):
    snapshot = Snapshot(2, 1, state=bytes(range(1, 200)) * 4)
    state = HardState(1, 'a/1')
    return context.journal.replace(
        SavedState('a/1', 'a/1', state, snapshot, (make_entry(3),))
    )


CHANGES = {'an append': add_entry, 'a snapshot': take_snapshot}


@when('the process is killed at step {step:d} of an append')
def kill_append(context, step):
    kill_change(context, step, add_entry)


@when('the process is killed at step {step:d} of a snapshot of 2 entries')
def kill_snapshot(context, step):
    kill_change(context, step, take_snapshot)


def kill_change(context, step, change):
    context.disk.kill_at = context.disk.steps + step
    try:
        change(context)
    except Killed:
        return
    raise AssertionError('the change has fewer steps')


@when('the instance crashes so that {crash}')
def crash(context, crash):
    context.disk.crash(*CRASHES[crash])


@when('{operation} fails in {change}')
def fail_operation(context, operation, change):
    context.disk.fail = operation
    context.failure = CHANGES[change](context).failure()


@when('a bit in the middle of the journal is flipped')
def flip_bit(context):
    content = bytearray(context.disk.names[JOURNAL].content)
    content[len(content) // 2] ^= 4
    context.disk.names[JOURNAL].content = bytes(content)


@when('entries 2 and 3 are replaced by entries of a later term')
def append_later(context):
    later = (make_entry(2, 5), make_entry(3, 5))
    context.journal.append(UpdateRecord(HardState(5, ''), later))


@then('the journal opens with 3 or 4 entries')
@then('after a crash the journal opens with 3 or 4 entries')
def check_entries(context):
    context.disk.crash(False, 0, False)
    context.journal, loaded = open_journal(context)
    context.saved = loaded.unwrap()
    assert context.saved.identity == 'a/1'
    held = [make_entry(index) for index in (1, 2, 3, 4)]
    entries = list(context.saved.entries)
    if context.saved.snapshot.index:
        assert context.saved.snapshot.state
        entries = held[:2] + entries
    assert entries in (held[:3], held)


@then('the journal opens with the 3 entries, before or after the snapshot')
def check_snapshot(context):
    check_entries(context)
    assert context.saved.snapshot.index in (0, 2)
    last = context.saved.entries[-1]
    assert last.index == 3


@then('it appends another entry, which survives a crash')
def check_append(context):
    index = context.saved.entries[-1].index + 1
    result = context.journal.append(make_update(index))
    assert result == Success(None)
    context.disk.crash(False, 0, False)
    saved = open_journal(context)[1].unwrap()
    assert saved.entries[-1] == make_entry(index)


@then('the failure names the step "{name}" and the file')
def check_failure(context, name):
    assert context.failure.step == name
    assert context.failure.peer == JOURNAL
    assert 'injected' in context.failure.reason


@then('every later change is refused, even when the disk works again')
def check_stopped(context):
    context.disk.fail = ''
    assert add_entry(context).failure() == context.failure
    assert take_snapshot(context).failure() == context.failure


@then('opening it fails and names the file and the offset')
def check_refused(context):
    failure = open_journal(context)[1].failure()
    assert failure.peer == JOURNAL
    assert 'offset' in failure.reason


@then('opening the journal finds no file')
def check_none(context):
    assert open_journal(context)[1] == Success(None)


@then('the journal opens with the first entry and those of the later term')
def check_replaced(context):
    saved = open_journal(context)[1].unwrap()
    assert [entry.term for entry in saved.entries] == [1, 5, 5]
    assert saved.hard_state == HardState(5, '')
