"""Steps about the weights of targets."""

from __future__ import annotations

import itertools
import random

from behave import given
from behave import then
from behave import when
from pistachiohook_core.membership.weights import LoadReported
from pistachiohook_core.membership.weights import RequestsMeasured
from pistachiohook_core.membership.weights import WeightKeeper

READY_AT = 1000.0


def measure(context, running=0, waited=0.0, failed=0.0):
    context.now += 1.0
    event = RequestsMeasured(running, waited, failed)
    for change in context.keeper.handle(event, context.now):
        context.changes.append((context.now, change))


@given('a target with {slots:d} slots that has run for {age:d} s')
def make_target(context, slots, age):
    context.keeper = WeightKeeper(slots)
    context.now = READY_AT
    context.changes = []
    for _ in range(age):
        measure(context)


@when('for {time:d} s its report says {reported} running, {late:d} s late')
def plan_reports(context, time, reported, late):
    context.reports = [
        None if reported == 'none' or second < late else int(reported)
        for second in range(time)
    ]


@when(
    'its agent sees {running:d} running, {waited:g} s wait'
    ' and {failed:g} failed'
)
def run_measurements(context, running, waited, failed):
    for reported in context.reports:
        if reported is not None:
            context.keeper.handle(LoadReported(reported), context.now)
        measure(context, running, waited, failed)


@then('its weight is from {low:d} to {high:d}')
def compare_weight(context, low, high):
    assert low <= context.keeper.weight <= high, context.keeper.weight


@then('it starts with weight {weight:d}')
def compare_first_weight(context, weight):
    assert context.keeper.weight == weight


@then(
    'after {seconds:d} s without load its weight is from {low:d} to {high:d}'
)
def wait_without_load(context, seconds, low, high):
    while context.now < READY_AT + seconds:
        measure(context)
    compare_weight(context, low, high)


SWINGS = {
    'each second': lambda second, _random: second % 2 == 0,
    'each 10 seconds': lambda second, _random: second % 20 < 10,
    'at random': lambda _second, chance: chance.random() < 0.5,
}


@when('for {time:d} s its load goes from none to full {swing}')
def swing_load(context, time, swing):
    chance = random.Random(1)
    context.weights = []
    context.changes.clear()
    for second in range(time):
        full = SWINGS[swing](second, chance)
        context.keeper.handle(LoadReported(4 if full else 0), context.now)
        measure(context, 4 if full else 0, 5.0 if full else 0.0)
        context.weights.append(context.keeper.weight)


@then('no change is above {step:d}, or sooner than {gap:g} s after the last')
def compare_steps(context, step, gap):
    pairs = itertools.pairwise(context.changes)
    for (before_at, before), (after_at, after) in pairs:
        assert after_at - before_at >= gap
        assert abs(after.weight - before.weight) <= step
        assert after.version == before.version + 1


@then('the weight stays from {low:d} to {high:d}')
def compare_bounds(context, low, high):
    assert low <= min(context.weights), min(context.weights)
    assert max(context.weights) <= high


@then('it has changed at most {count:d} times')
def compare_changes(context, count):
    assert len(context.changes) <= count, len(context.changes)
