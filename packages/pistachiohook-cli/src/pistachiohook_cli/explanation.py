"""Explanation of how one flow ended, from the log lines of its processes."""

from __future__ import annotations

from itertools import chain
import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import FLOW_ABANDONED
from pistachiohook_core.events import FLOW_DECLINED
from pistachiohook_core.events import FLOW_ENDED
from pistachiohook_core.events import FLOW_GONE
from pistachiohook_core.events import FLOW_LOST
from pistachiohook_core.events import FLOW_OFFERED
from pistachiohook_core.events import FLOW_OPENED
from pistachiohook_core.events import FLOW_REFUSED
from pistachiohook_core.events import ROLE_STARTED
from pistachiohook_core.events import SHUTDOWN_STARTED
from pistachiohook_core.events import TARGET_CHANGED

from .options import BadInputError
from .output import print_table
from .output import warn
from .statuses import Status

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

#: Events of a process that may end or delay its flows.
_PROCESS_EVENTS = {
    event.number: event
    for event in (ROLE_STARTED, SHUTDOWN_STARTED, TARGET_CHANGED)
}

#: Fields that don't depend on the event; the others are shown with the text.
_COMMON_FIELDS = ('time', 'level', 'event', 'role', 'instance', 'flow', 'text')


@attrs.frozen
class LogLine:
    """One log line.

    :param time: time by the clock of the process
    :param event: number of the event
    :param role: role of the process
    :param instance: name of the process's instance
    :param flow: the flow; empty for a line about the process
    :param text: description of the event
    :param fields: fields of the event
    """

    time: str
    event: int
    role: str
    instance: str
    flow: str
    text: str
    fields: dict[str, Any]


@attrs.frozen
class Explanation:
    """What the log lines show about a flow.

    :param lines: lines about the flow, and about processes that logged it, by
        time
    :param cause: how the flow ended, and why
    :param unreadable: number of lines that could not be read
    """

    lines: tuple[LogLine, ...]
    cause: str
    unreadable: int


def explain(flow: str, *logs: Path) -> Status:
    """Show the log lines about one flow, and how and why it ended.

    :param flow: ``caller:port>entry:port``, as the log lines name the flow
    :param logs: files with log lines of the processes, in any order
    """
    try:
        texts = [log.read_text('utf-8', 'replace') for log in logs]
    except OSError as error:
        warn(error)
        raise BadInputError from error
    lines = chain.from_iterable(text.splitlines() for text in texts)
    found = explain_flow(flow, lines)
    print_table(
        ('time', 'instance', 'role', 'event', 'what'),
        [
            (
                line.time,
                line.instance,
                line.role,
                line.event,
                _format_event(line),
            )
            for line in found.lines
        ],
    )
    print(f'cause: {found.cause}')
    if found.unreadable:
        warn(f'{found.unreadable} lines could not be read')
    return Status.DONE


def explain_flow(flow: str, texts: Iterable[str]) -> Explanation:
    """Find the lines about a flow and explain its end.

    :param flow: the flow, as the log lines name it
    :param texts: log lines of any processes; the text before the first brace
        of a line is ignored
    """
    read = [_read_line(text) for text in texts if '{' in text]
    lines = [line for line in read if line is not None]
    flow_lines = sorted(
        (line for line in lines if line.flow == flow),
        key=lambda line: line.time,
    )
    processes = {(line.instance, line.role) for line in flow_lines}
    process_lines = [
        line
        for line in lines
        if line.event in _PROCESS_EVENTS
        and (line.instance, line.role) in processes
        and flow_lines[0].time <= line.time
    ]
    shown = sorted((*flow_lines, *process_lines), key=lambda line: line.time)
    unreadable = len(read) - len(lines)
    return Explanation(
        tuple(shown), _find_cause(flow_lines, process_lines), unreadable
    )


def _read_line(text: str) -> LogLine | None:
    try:
        document = json.loads(text[text.index('{') :])
        fields = {
            name: value
            for name, value in document.items()
            if name not in _COMMON_FIELDS
        }
        return LogLine(
            document['time'],
            document['event'],
            document['role'],
            document['instance'],
            document.get('flow', ''),
            document['text'],
            fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _format_event(line: LogLine) -> str:
    fields = (f'{name}={value}' for name, value in line.fields.items())
    return ' '.join((line.text, *fields))


def _find_cause(
    flow_lines: list[LogLine], process_lines: list[LogLine]
) -> str:
    if not flow_lines:
        return (
            'no process has logged this flow: none received its packets, or '
            'the limit on log lines dropped its lines (look for left_out)'
        )
    last = {line.event: line for line in flow_lines}
    sentences = tuple(_list_causes(last, flow_lines, process_lines))
    return '; '.join(sentences) or 'no line says how it ended'


def _list_causes(
    last: dict[int, LogLine],
    flow_lines: list[LogLine],
    process_lines: list[LogLine],
) -> Iterator[str]:
    refused = last.get(FLOW_REFUSED.number)
    opened = last.get(FLOW_OPENED.number)
    ended = last.get(FLOW_ENDED.number)
    lost = last.get(FLOW_LOST.number)
    gone = last.get(FLOW_GONE.number)
    left = last.get(FLOW_ABANDONED.number)
    if refused is not None:
        yield _explain_refusal(refused, flow_lines)
    if left is not None:
        yield (
            f'{left.instance} dropped it after {left.fields.get("offers")} '
            'offers and sent no reset: its caller may have opened it at '
            'another balancer'
        )
    if lost is not None:
        yield f'{lost.instance} found no agent that owns it'
    if gone is not None:
        yield (
            f'{gone.instance} reset it: its agent had said that its target '
            'has lost it'
        )
    if ended is not None:
        opened_line = last[FLOW_OPENED.number] if opened else None
        opening = (
            opened_line.fields.get('opening_ms') if opened_line else 'unknown'
        )
        yield (
            f'it ended at {ended.instance}: opened after {opening} ms, '
            f'served by the target for {ended.fields.get("served_ms")} ms'
        )
    elif opened is not None:
        yield _explain_missing_response(opened, process_lines)
    elif not (refused or left) and FLOW_OFFERED.number in last:
        agent = last[FLOW_OFFERED.number].fields.get('agent')
        yield (
            f'it was offered to {agent}, but its caller did not complete the '
            'handshake'
        )


def _explain_refusal(refused: LogLine, flow_lines: list[LogLine]) -> str:
    declined = ', '.join(
        f'{line.instance} ({line.fields.get("reason")}, '
        f'{line.fields.get("flows")} flows on {line.fields.get("slots")} '
        'slots)'
        for line in flow_lines
        if line.event == FLOW_DECLINED.number
    )
    suffix = f'; declined by {declined}' if declined else ''
    return (
        f'{refused.instance} refused it with routes of version '
        f'{refused.fields.get("version")}: {refused.fields.get("reason")} '
        f'after {refused.fields.get("offers")} offers{suffix}'
    )


def _explain_missing_response(
    opened: LogLine, process_lines: list[LogLine]
) -> str:
    later_lines = [
        line
        for line in process_lines
        if line.instance == opened.instance and line.time >= opened.time
    ]
    if not later_lines:
        return (
            f'it is open at {opened.instance}: its target has not answered, '
            'or its caller keeps it open between requests'
        )
    event = later_lines[0]
    return (
        f'it was open at {opened.instance} and its target did not answer: at '
        f'{event.time}, that instance logged "{event.text}"'
    )
