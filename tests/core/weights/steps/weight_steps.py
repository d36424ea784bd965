"""Steps for the weights of targets."""

from __future__ import annotations

import itertools
import random

from behave import given
from behave import then
from behave import when
from pistachiohook_core.membership.weights import LoadReported
from pistachiohook_core.membership.weights import RequestsMeasured
from pistachiohook_core.membership.weights import WeightController

STARTED_AT = 1000.0


def measure(context, running=0, waited=0.0, failed=0.0):
    context.now += 1.0
    event = RequestsMeasured(running, waited, failed)
    for change in context.controller.handle(event, context.now):
        context.changes.append((context.now, change))


@given('a target with {slots:d} slots that has run for {age:d} s')
def make_target(context, slots, age):
    context.controller = WeightController(slots)
    context.now = STARTED_AT
    context.changes = []
    for _ in range(age):
        measure(context)


@when(
    'for {time:d} s it reports {reported} running requests, '
    'from second {first:d} on'
)
def plan_reports(context, time, reported, first):
    context.reports = [
        None if reported == 'none' or second < first else int(reported)
        for second in range(time)
    ]


@when(
    'its agent measures {running:d} running, {waited:g} s wait'
    ' and {failed:g} failed'
)
def run_measurements(context, running, waited, failed):
    for reported in context.reports:
        if reported is not None:
            context.controller.handle(LoadReported(reported), context.now)
        measure(context, running, waited, failed)


@then('its weight is between {low:d} and {high:d}')
def compare_weight(context, low, high):
    assert low <= context.controller.weight <= high, context.controller.weight


@then('its weight is {weight:d}')
def compare_exact_weight(context, weight):
    assert context.controller.weight == weight


@then(
    'after {seconds:d} s without load its weight is between {low:d} '
    'and {high:d}'
)
def wait_without_load(context, seconds, low, high):
    while context.now < STARTED_AT + seconds:
        measure(context)
    compare_weight(context, low, high)


SWITCHINGS = {
    'each second': lambda second, _random_source: second % 2 == 0,
    'each 10 seconds': lambda second, _random_source: second % 20 < 10,
    'at random': lambda _second, random_source: random_source.random() < 0.5,
}


@when('for {time:d} s its load switches between none and full {switching}')
def switch_load(context, time, switching):
    random_source = random.Random(1)
    context.weights = []
    context.changes.clear()
    for second in range(time):
        full = SWITCHINGS[switching](second, random_source)
        context.controller.handle(LoadReported(4 if full else 0), context.now)
        measure(context, 4 if full else 0, 5.0 if full else 0.0)
        context.weights.append(context.controller.weight)


@then(
    'each change is at most {step:d}, '
    'and at least {gap:g} s after the previous one'
)
def compare_steps(context, step, gap):
    pairs = itertools.pairwise(context.changes)
    for (before_at, before), (after_at, after) in pairs:
        assert after_at - before_at >= gap
        assert abs(after.weight - before.weight) <= step
        assert after.version == before.version + 1


@then('the weight stays between {low:d} and {high:d}')
def compare_bounds(context, low, high):
    assert low <= min(context.weights), min(context.weights)
    assert max(context.weights) <= high


@then('the weight has changed at most {count:d} times')
def compare_changes(context, count):
    assert len(context.changes) <= count, len(context.changes)
