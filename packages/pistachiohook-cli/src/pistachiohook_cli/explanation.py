"""The way of one flow, from the collected log lines of several processes."""

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

#: Events of a process that may end or delay the flows that it carries.
_PROCESS_EVENTS = {
    event.number: event
    for event in (ROLE_STARTED, SHUTDOWN_STARTED, TARGET_CHANGED)
}

#: Fields that every line has; the others say what decided.
_COMMON = ('time', 'level', 'event', 'role', 'instance', 'flow', 'text')


@attrs.frozen
class Line:
    """One log line.

    :param time: moment as its process saw it
    :param event: number of the event
    :param role: role of the process
    :param instance: name of the process's instance
    :param flow: the flow; empty for a line about the process
    :param text: what happened
    :param fields: what decided it, and the outcome
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
    """What the lines say of a flow.

    :param lines: those of the flow and of the processes on its way
    :param cause: how the flow ended, and why
    :param unreadable: lines that could not be read
    """

    lines: tuple[Line, ...]
    cause: str
    unreadable: int


def explain(flow: str, *logs: Path) -> Status:
    """Show the way of one flow and why it ended as it did.

    :param flow: ``caller:port>entry:port``, as the lines name it
    :param logs: files with the lines of the processes, in any order
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
            (line.time, line.instance, line.role, line.event, _write(line))
            for line in found.lines
        ],
    )
    print(f'cause: {found.cause}')
    if found.unreadable:
        warn(f'{found.unreadable} lines could not be read')
    return Status.DONE


def explain_flow(flow: str, texts: Iterable[str]) -> Explanation:
    """Find the lines of a flow, and what they say of its end.

    :param flow: the flow, as the lines name it
    :param texts: lines of any processes; what stands before the first brace
        of a line is passed over
    """
    read = [_read_line(text) for text in texts if '{' in text]
    lines = [line for line in read if line is not None]
    own = sorted(
        (line for line in lines if line.flow == flow),
        key=lambda line: line.time,
    )
    passed = {(line.instance, line.role) for line in own}
    about = [
        line
        for line in lines
        if line.event in _PROCESS_EVENTS
        and (line.instance, line.role) in passed
        and own[0].time <= line.time
    ]
    shown = sorted((*own, *about), key=lambda line: line.time)
    unreadable = len(read) - len(lines)
    return Explanation(tuple(shown), _find_cause(own, about), unreadable)


def _read_line(text: str) -> Line | None:
    try:
        document = json.loads(text[text.index('{') :])
        fields = {
            name: value
            for name, value in document.items()
            if name not in _COMMON
        }
        return Line(
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


def _write(line: Line) -> str:
    fields = (f'{name}={value}' for name, value in line.fields.items())
    return ' '.join((line.text, *fields))


def _find_cause(own: list[Line], about: list[Line]) -> str:
    if not own:
        return (
            'no process has logged this flow; its packets reached none, or '
            'its lines were left out (look for left_out)'
        )
    last = {line.event: line for line in own}
    sentences = tuple(_list_causes(last, own, about))
    return '; '.join(sentences) or 'offered, and nothing more is known'


def _list_causes(
    last: dict[int, Line], own: list[Line], about: list[Line]
) -> Iterator[str]:
    refused = last.get(FLOW_REFUSED.number)
    opened = last.get(FLOW_OPENED.number)
    ended = last.get(FLOW_ENDED.number)
    lost = last.get(FLOW_LOST.number)
    left = last.get(FLOW_ABANDONED.number)
    if refused is not None:
        yield _explain_refusal(refused, own)
    if left is not None:
        yield (
            f'{left.instance} gave it up after {left.fields.get("offers")} '
            'offers, without a reset: its caller had gone on elsewhere'
        )
    if lost is not None:
        yield f'{lost.instance} found no agent that holds it'
    if ended is not None:
        waited = last[FLOW_OPENED.number] if opened else None
        opening = waited.fields.get('opening_ms') if waited else 'unknown'
        yield (
            f'it ended at {ended.instance}: opened after {opening} ms, at '
            f'the target for {ended.fields.get("served_ms")} ms'
        )
    elif opened is not None:
        yield _explain_silence(opened, about)
    elif not (refused or left) and FLOW_OFFERED.number in last:
        agent = last[FLOW_OFFERED.number].fields.get('agent')
        yield f'offered to {agent}, and its caller never went on'


def _explain_refusal(refused: Line, own: list[Line]) -> str:
    declined = ', '.join(
        f'{line.instance} ({line.fields.get("reason")}, '
        f'{line.fields.get("flows")} flows on {line.fields.get("slots")} '
        'slots)'
        for line in own
        if line.event == FLOW_DECLINED.number
    )
    because = f'; declined by {declined}' if declined else ''
    return (
        f'{refused.instance} refused it with routes of version '
        f'{refused.fields.get("version")}: {refused.fields.get("reason")} '
        f'after {refused.fields.get("offers")} offers{because}'
    )


def _explain_silence(opened: Line, about: list[Line]) -> str:
    later = [
        line
        for line in about
        if line.instance == opened.instance and line.time >= opened.time
    ]
    if not later:
        return (
            f'it is open at {opened.instance}, and its target has not answered'
        )
    event = later[0]
    return (
        f'it was open at {opened.instance} and was not answered: at '
        f'{event.time} there, {event.text}'
    )
