"""Structured logs of numbered events on standard output, bounded."""

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

#: Lines of one event in a second; enough for a few balancers' new flows, and
#: few enough that a storm of them costs little of a small instance.
LINES_PER_SECOND = 60

#: Lines of one event that may come at once after a quiet time.
LINES_BURST = 120

#: Bytes that a pipe takes whole when it is writable at all.
LINE_MAX = select.PIPE_BUF


@attrs.define
class LineBudget:
    """Bound of the lines of each event.

    :param clock: time, in seconds; never goes down
    """

    clock: Callable[[], float] = time.monotonic
    _credits: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    _left_out: Counter[int] = attrs.field(factory=Counter)

    def spend(self, number: int) -> bool:
        """Tell whether a line of an event may be written now."""
        now = self.clock()
        credit, since = self._credits.get(number, (LINES_BURST, now))
        credit = min(LINES_BURST, credit + (now - since) * LINES_PER_SECOND)
        allowed = credit >= 1
        self._credits[number] = (credit - allowed, now)
        if not allowed:
            self._left_out[number] += 1
        return allowed

    def note_lost(self, number: int) -> None:
        """Count a line that nobody could take."""
        self._left_out[number] += 1

    def take_left_out(self, number: int) -> int:
        """Return how many lines of an event were left out since."""
        return self._left_out.pop(number, 0)


def setup_logs(form: str, level: str, role: str, name: str) -> Report:
    """Send log lines to standard output and return the one way to log.

    A line that its reader can't take at once is left out and counted; the
    next line of its event says how many were.

    :param form: ``json`` or ``text``
    :param level: least urgent level that is logged
    :param role: role of the process
    :param name: name of the instance
    """
    budget = LineBudget()
    write = build_writer(sys.stdout.fileno())
    logger.remove()
    encode = _encode_json if form == 'json' else _encode_text

    def sink(message: Any) -> None:
        if not write(encode(message.record)):
            budget.note_lost(message.record['extra']['event'])

    logger.add(sink, level=level, format='{message}')
    bound = logger.bind(role=role, instance=name)

    def report(event: Event, **fields: Any) -> None:
        if not budget.spend(event.number):
            return
        left_out = budget.take_left_out(event.number)
        if left_out:
            fields['left_out'] = left_out
        line = bound.bind(event=event.number, **fields)
        line.log(event.level.value, event.text)

    return report


def build_writer(descriptor: int) -> Callable[[bytes], bool]:
    """Return what writes a line without ever waiting for its reader.

    :param descriptor: where to write
    :returns: a function that tells whether the line was taken
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
    """Return an exception as one line with the place where it arose."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    return f'{type(error).__name__}: {error} ({place})'


def _encode_text(record: Record) -> bytes:
    moment = record['time'].isoformat(timespec='milliseconds')
    level = record['level'].name
    text = f'{moment} {level} {record["message"]} {record["extra"]}\n'
    return text.encode()


def _encode_json(record: Record) -> bytes:
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
        'text': record['message'],
    }
    return json.dumps(line, default=str).encode() + b'\n'
