"""Steps for writing logs without blocking and for their rate limit."""

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
    context.written = [
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


@then('each call returns, and some report that their line was dropped')
def check_returned(context):
    assert len(context.written) == 20_000
    assert not all(context.written)


@then('the reader gets the lines that were not dropped, each of them whole')
def check_lines(context):
    lines = read_pipe(context).splitlines(keepends=True)
    assert len(lines) == sum(context.written)
    assert all(line.endswith(b'\n') for line in lines)


@when('a line of 10,000 bytes is written to it')
def write_long(context):
    assert context.write(b'x' * 9999 + b'\n')


@then('the reader gets one line of 4,096 bytes')
def check_truncated(context):
    content = read_pipe(context)
    assert len(content) == 4096
    assert content.count(b'\n') == 1
    assert content.endswith(b'\n')


@given('a rate limit of log lines')
def create_limiter(context):
    context.now = 0.0
    context.limiter = LineLimiter(lambda: context.now)


@when('one event asks for {number:d} lines per millisecond for {seconds:d} s')
def request_lines(context, number, seconds):
    context.requested = number * 1000 * seconds
    context.allowed = 0
    for _ in range(1000 * seconds):
        context.now += 0.001
        context.allowed += sum(
            context.limiter.allow_line(2101) for _ in range(number)
        )


@then('at most {bound:d} are allowed, and the rest are counted as dropped')
def check_bound(context, bound):
    assert context.allowed <= bound, context.allowed
    dropped = context.limiter.pop_dropped(2101)
    assert dropped == context.requested - context.allowed


@then('a line of another event is still allowed')
def check_other(context):
    assert context.limiter.allow_line(2102)


@then('the count of dropped lines is returned once, and then 0')
def check_once(context):
    assert context.limiter.pop_dropped(2101) > 0
    assert context.limiter.pop_dropped(2101) == 0
