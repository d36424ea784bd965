"""Steps on the flow explorer."""

from __future__ import annotations

from behave import given
from behave import then
from flow_explorer import explore_seed


@given('the schedules of faults of the seeds {first:d} to {last:d}')
def run_schedules(context, first, last):
    context.violations = [
        f'seed {seed}: {rule}'
        for seed in range(first, last + 1)
        if (rule := explore_seed(seed)[0])
    ]


@then('the flow explorer finds no violation')
def check_violations(context):
    assert not context.violations, context.violations
