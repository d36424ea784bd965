"""Steps on random exploration under fixed seeds."""

from __future__ import annotations

from behave import given
from behave import then
from consensus_machine import ConsensusMachine
from consensus_machine import FIXED
from hypothesis.stateful import run_state_machine_as_test


@given(
    'rules for lost, duplicated and reordered messages, partitions, '
    'kills at each disk operation, lost disks and passing time'
)
def take_rules(context):
    context.machine = ConsensusMachine


@then('under fixed seeds no term has two leaders')
def explore(context):
    # Every invariant of the further steps is checked within the same run.
    run_state_machine_as_test(context.machine, settings=FIXED)
    context.explored = True


@then('no committed entry is lost or changed, or applied twice')
@then('no applied index goes down')
@then(
    'no read and no reported age of the state misses an earlier '
    'accepted change'
)
def check_explored(context):
    assert context.explored
