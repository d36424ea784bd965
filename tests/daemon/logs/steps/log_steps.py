"""Steps on the bounds of the logs."""

from __future__ import annotations

import os

from behave import given
from behave import then
from behave import when
from pistachiohook_daemon.logs import build_writer
from pistachiohook_daemon.logs import LineLimiter


@given('a pipe that nobody reads')
def open_pipe(context):
    context.reader, context.writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)
    context.write = build_writer(context.writer)


@when('20,000 lines are written to it')
def write_lines(context):
    context.taken = [
        context.write(b'line %d\n' % number) for number in range(20_000)
    ]


def read_pipe(context):
    os.set_blocking(context.reader, False)
    content = b''
    while True:
        try:
            content += os.read(context.reader, 65_536)
        except BlockingIOError:
            return content


@then(
    'each call has returned, and some were told that their line was not taken'
)
def check_returned(context):
    assert len(context.taken) == 20_000
    assert not all(context.taken)


@then('what the reader finds later are whole lines')
def check_lines(context):
    lines = read_pipe(context).splitlines(keepends=True)
    assert len(lines) == sum(context.taken)
    assert all(line.endswith(b'\n') for line in lines)


@when('a line of 10,000 bytes is written to it')
def write_long(context):
    assert context.write(b'x' * 9999 + b'\n')


@then('the reader finds one line of 4,096 bytes')
def check_cut(context):
    content = read_pipe(context)
    assert len(content) == 4096
    assert content.count(b'\n') == 1
    assert content.endswith(b'\n')


@given('a budget of lines')
def start_budget(context):
    context.now = 0.0
    context.limiter = LineLimiter(lambda: context.now)


@when(
    '{number:d} lines a millisecond of one event are asked for during'
    ' {seconds:d} s'
)
def spend(context, number, seconds):
    context.asked = number * 1000 * seconds
    context.allowed = 0
    for _ in range(1000 * seconds):
        context.now += 0.001
        context.allowed += sum(
            context.limiter.allow_line(2101) for _ in range(number)
        )


@then('at most {bound:d} are allowed, and the rest is counted as left out')
def check_bound(context, bound):
    assert context.allowed <= bound, context.allowed
    left_out = context.limiter.pop_dropped(2101)
    assert left_out == context.asked - context.allowed


@then('another event still gets its line')
def check_other(context):
    assert context.limiter.allow_line(2102)


@then('the count of left-out lines is given once and then 0')
def check_once(context):
    assert context.limiter.pop_dropped(2101) > 0
    assert context.limiter.pop_dropped(2101) == 0
