"""Steps on random schedules of losses and replacements."""

from __future__ import annotations

import os

from behave import given
from behave import then
from membership_schedule import play_schedule

#: Number of schedules that are played.
EXAMPLES = int(os.environ.get('MEMBERSHIP_EXAMPLES', '100'))


@given(
    'random schedules of additions, removals with and without notice, planned'
    ' stops, and no more losses at the same time than are tolerated'
)
def draw_schedules(context):
    context.seeds = range(EXAMPLES)


@then('in each, a leader accepts changes whenever no instance is lost')
def play_schedules(context):
    # The schedule checks this and the further step while it is played.
    for seed in context.seeds:
        play_schedule(seed)
    context.played = True


@then(
    'at the end exactly the instances with a disk vote, and every instance'
    ' holds all accepted changes'
)
def check_played(context):
    assert context.played
