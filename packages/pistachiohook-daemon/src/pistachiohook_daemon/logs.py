"""Structured, rate-limited logs of numbered events on standard output."""

from __future__ import annotations

from collections import Counter
import json
import os
import select
import sys
import time
import traceback
from typing import Any
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Record
    from pistachiohook_core.events import Event

    #: Logs an event with its fields.
    Report = Callable[..., None]

#: Sustained rate of log lines of one event, in lines per second. It covers
#: the new flows of a few balancers, and a flood of one event still costs
#: little processor time on a small instance.
LINES_PER_SECOND = 60

#: Burst of log lines of one event after an idle period, in lines.
LINES_BURST = 120

#: Longest log line, in bytes; a writable pipe accepts a write of this size
#: without blocking and without splitting it.
LINE_MAX = select.PIPE_BUF


@attrs.define
class LineLimiter:
    """Token bucket for the log lines of each event.

    :param clock: monotonic time, in seconds
    """

    clock: Callable[[], float] = time.monotonic
    _tokens: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    _dropped: Counter[int] = attrs.field(factory=Counter)

    def allow_line(self, number: int) -> bool:
        """Consume a token for a line, or count the line as dropped.

        :param number: number of the event
        :returns: whether the line may be written now
        """
        now = self.clock()
        tokens, updated_at = self._tokens.get(number, (LINES_BURST, now))
        tokens = min(
            LINES_BURST, tokens + (now - updated_at) * LINES_PER_SECOND
        )
        allowed = tokens >= 1
        self._tokens[number] = (tokens - allowed, now)
        if not allowed:
            self._dropped[number] += 1
        return allowed

    def count_dropped(self, number: int) -> None:
        """Count a line of an event that could not be written."""
        self._dropped[number] += 1

    def pop_dropped(self, number: int) -> int:
        """Return and reset the count of dropped lines of an event."""
        return self._dropped.pop(number, 0)


def setup_logs(line_format: str, level: str, role: str, name: str) -> Report:
    """Send log lines to standard output.

    A line that exceeds the rate limit, or that cannot be written without
    blocking, is dropped. The next line of the same event carries the number
    of dropped lines in the field ``left_out``.

    :param line_format: ``json`` or ``text``
    :param level: lowest level that is logged
    :param role: role of the process
    :param name: name of the instance
    :returns: function that logs an event with its fields
    """
    limiter = LineLimiter()
    write = build_writer(sys.stdout.fileno())
    logger.remove()
    encode = _encode_json if line_format == 'json' else _encode_text

    def sink(message: Any) -> None:
        if not write(encode(message.record)):
            limiter.count_dropped(message.record['extra']['event'])

    logger.add(sink, level=level, format='{message}')
    bound = logger.bind(role=role, instance=name)

    def report(event: Event, **fields: Any) -> None:
        if not limiter.allow_line(event.number):
            return
        dropped = limiter.pop_dropped(event.number)
        if dropped:
            fields['left_out'] = dropped
        line = bound.bind(event=event.number, **fields)
        line.log(event.level.value, event.text)

    return report


def build_writer(descriptor: int) -> Callable[[bytes], bool]:
    """Return a function that writes log lines without blocking.

    Lines longer than :data:`LINE_MAX` are truncated.

    :param descriptor: file descriptor to write to
    :returns: function that returns whether the line was written
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)

    def write(line: bytes) -> bool:
        if len(line) > LINE_MAX:
            line = line[: LINE_MAX - 1] + b'\n'
        ready = poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        try:
            os.write(descriptor, line)
        except OSError:
            return False
        return True

    return write


def describe_error(error: BaseException) -> str:
    """Return an exception and the source line that raised it as one line."""
    frames = traceback.extract_tb(error.__traceback__)
    location = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    return f'{type(error).__name__}: {error} ({location})'


def _encode_text(record: Record) -> bytes:
    timestamp = record['time'].isoformat(timespec='milliseconds')
    level = record['level'].name
    text = f'{timestamp} {level} {record["message"]} {record["extra"]}\n'
    return text.encode()


def _encode_json(record: Record) -> bytes:
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
        'text': record['message'],
    }
    return json.dumps(line, default=str).encode() + b'\n'
