"""Steps that run the soak and check its fault injection and its checks."""

from __future__ import annotations

import asyncio
from functools import partial
import json
from pathlib import Path
from random import Random
import shutil
import tempfile

import attrs
from behave import given
from behave import then
from behave import when
from machines import DATA_FOLDER
from machines import FAULTS_FILE
from machines import Machine
from pistachiohook_core.addresses import Address
from pistachiohook_daemon.control.disk import open_data_folder
from process import Faults
from process import open_faulty_disk
import soak
from traffic import Bounds
from traffic import Call
from traffic import find_violations
from traffic import Operator
from traffic import Target


@attrs.define
class FakeTarget:
    """Stands for a target with what it has recorded."""

    name: str
    ran: list = attrs.field(factory=list)
    misrouted: set = attrs.field(factory=set)
    forgotten: set = attrs.field(factory=set)

    @property
    def served_as(self):
        return dict.fromkeys(self.ran, self.name)


@when('seed {seed:d} is run with faults for {length:d} seconds')
def run_basic_kinds(context, seed, length):
    run_kinds(context, seed, length, soak.KINDS)


@when('seed {seed:d} is run with faults of all kinds for {length:d} seconds')
def run_all_kinds(context, seed, length):
    run_kinds(context, seed, length, soak.ALL_KINDS)


@when(
    'seed {seed:d} is run with faults, orders and slow targets for {length:d}'
    ' seconds'
)
def run_order_kinds(context, seed, length):
    run_kinds(context, seed, length, soak.ORDER_KINDS)


def run_kinds(context, seed, length, kinds):
    # Long bounds, so that the load of the machine doesn't change the result;
    # runs by hand check the default ones.
    bounds = Bounds(
        soak.CONDITION_TIMEOUT, soak.CONDITION_TIMEOUT, soak.CONDITION_TIMEOUT
    )
    found = soak.run_seed(seed, float(length), bounds, kinds)
    context.violations, context.timeline, context.outcomes = found


@then('no guarantee is violated')
def check_guarantees(context):
    assert not context.violations, (context.violations, context.timeline)


@then('no process has exited unexpectedly')
def check_exits(context):
    assert not context.outcomes['exits'], context.outcomes


@then('calls were answered while faults were injected')
def check_answered(context):
    assert context.outcomes.get('answered', 0) > soak.FINAL_CALL_COUNT
    assert len(context.timeline) > 2, context.timeline


@given('two targets, a call and an operator')
def prepare(context):
    context.targets = [FakeTarget('s0'), FakeTarget('t0')]


@attrs.define
class FakeSoak:
    """Stands for the run to which an operator belongs."""

    bounds: Bounds = attrs.field(factory=Bounds)


class FakeOperator(Operator):
    """An operator that gets the same response to every request."""

    response_body = b''

    async def fetch(self, name, path, **options):
        del name, path, options
        return 200, self.response_body


def read_version(returned, accepted):
    """Return an operator that has read a document from an instance.

    :param returned: the document
    :param accepted: version that was accepted long enough before
    """

    async def run():
        operator = FakeOperator(FakeSoak(), Random(0))
        operator.documents = {4: b'{"Version": 4}', 5: b'{"Version": 5}'}
        now = asyncio.get_running_loop().time()
        operator.accepted_at = {accepted: now - Bounds().visibility - 1}
        operator.response_body = json.dumps(returned).encode()
        await operator.read_version('c0')
        return operator

    return asyncio.run(run())


def read_evacuation(zones, evacuated):
    """Return the violations when a read returns evacuated zones.

    :param evacuated: whether the last acknowledged order was to evacuate
    """
    operator = FakeOperator(FakeSoak(), Random(0), evacuated=evacuated)
    operator.response_body = json.dumps({'Zones': zones}).encode()
    asyncio.run(operator.read_evacuation('c0'))
    return operator.violations


def open_flows(evacuated, opened_at, disturbances=()):
    """Return the violations when a target gets new flows.

    It is evacuated, if at all, from 1 s on, and else cold.
    """
    run = soak.Soak(0, 0.0, Path(), Bounds(), ())
    run.operator = Operator(run, Random(0), evacuated=evacuated)
    run.targets['s1'] = Target('s1', Address('', 0), Random(0))
    run.targets['s1'].first_opened_at = dict(enumerate(opened_at))
    run.disturbances += disturbances
    if evacuated:
        run.check_evacuated('s1', 1.0, 9.0)
    else:
        run.check_cold('s1', 0.0, 9.0)
    return run.operator.violations


RESTART = soak.Disturbance('s1', 2.0, 4.0)
#: Functions that simulate what follows an order or a cold start.
ORDER_VIOLATIONS = {
    'an acknowledged evacuation that is not returned': partial(
        read_evacuation, [], True
    ),
    'an evacuation that is returned after its end': partial(
        read_evacuation, ['y'], False
    ),
    'a new flow in an evacuated zone': partial(
        open_flows, True, [8.1], [RESTART]
    ),
    'a new flow from an agent that has restarted': partial(
        open_flows, True, [7.9], [RESTART]
    ),
    'nine new flows of a cold target in a second': partial(
        open_flows, False, [one / 9 for one in range(9)]
    ),
    'eight new flows of a cold target in a second': partial(
        open_flows, False, [one / 8 for one in range(9)]
    ),
}

#: Flows that a target has lost, by what became of a call with the number 7.
FORGOTTEN = {
    'a call that was reset after its handshake': set(),
    'a call that was reset after another target lost its flows': {
        (1, 8),
        (2, 7),
    },
    'a call that was reset after its target lost its flows': {(1, 7)},
}


def detect(what):
    """Return the violations that are found when one is simulated."""
    first, second = FakeTarget('s0'), FakeTarget('t0')
    call = Call(1, 5, 's', 0.0, 'answered', 's0')
    operator = read_version({'Version': 5}, 5)
    flow = 1, 5
    match what:
        case 'a call that ran at two targets':
            first.ran, second.ran = [flow], [flow]
            second.name = 's1'
        case 'a refused call that ran':
            call.outcome, first.ran = 'refused', [flow]
        case _ if what.startswith('a call that was reset'):
            call.outcome, call.sequence = 'broken', 7
            second.forgotten = FORGOTTEN[what]
        case 'a packet at a target of another service':
            second.misrouted = {('t0', 1)}
        case 'a call answered by another service':
            call.answer = 't0'
        case 'an accepted version that is not returned':
            operator = read_version({'Version': 4}, 5)
        case 'a version returned with other text than sent':
            operator = read_version({'Version': 5, 'More': 1}, 5)
    return find_violations([call], [first, second], operator)


def is_detected(what):
    return bool(ORDER_VIOLATIONS.get(what, partial(detect, what))())


@then('each of these is found as a violation')
def check_detected(context):
    for what in (
        'nothing',
        'a call that was reset after its target lost its flows',
        'a new flow from an agent that has restarted',
        'eight new flows of a cold target in a second',
    ):
        assert not is_detected(what), what
    rows = [row['what'] for row in context.table]
    missed = [what for what in rows if not is_detected(what)]
    assert not missed, missed


@given('a disk with a synced file "{content}"')
def open_disk(context, content):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    context.machine = Machine('c0', '127.0.0.1', 0, folder, ())
    faults = Faults(folder / FAULTS_FILE)
    context.files = open_faulty_disk(
        open_data_folder, faults, folder / DATA_FOLDER
    ).files
    context.files.write('file', content.encode())
    context.files.sync('file')


@when('{what}, and power is lost')
def lose_power(context, what):
    files = context.files
    if what.startswith('"cd" is appended'):
        files.append('file', b'cd')
    else:
        files.write('other', b'new')
        files.sync('other')
        files.rename('other', 'file')
    if what.endswith('appended and synced'):
        files.sync('file')
    if what.endswith('folder is synced'):
        files.sync_folder()
    context.machine.lose_power(0.5 if 'half' in what else 0.0)


@then('the file holds "{content}"')
def check_file(context, content):
    path = context.machine.folder / DATA_FOLDER / 'file'
    assert path.read_bytes() == content.encode()
