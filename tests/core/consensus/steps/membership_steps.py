"""Steps on random schedules of losses and replacements."""

from __future__ import annotations

import os

from behave import then
from explore_membership import play_first_start
from explore_membership import play_schedule

#: Number of schedules that are played; first starts are four times as many.
EXAMPLES = int(os.environ.get('MEMBERSHIP_EXAMPLES', '100'))


@then(
    'first starts with instances without a disk, kills, and messages that are'
    ' lost and reordered each form one cluster'
)
def play_first_starts(context):
    for seed in range(4 * EXAMPLES):
        play_first_start(seed)


@then(
    'in each random schedule with no more losses than are tolerated, changes'
    ' are accepted and exactly the instances with a disk vote'
)
def play_schedules(context):
    for seed in range(EXAMPLES):
        play_schedule(seed)
