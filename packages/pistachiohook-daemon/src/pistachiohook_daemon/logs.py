"""Structured logs of numbered events."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Record
    from pistachiohook_core.events import Event

    from .settings import LogSettings

    #: Logs an event with its fields.
    Report = Callable[..., None]


def setup_logs(settings: LogSettings, role: str, name: str) -> Report:
    """Send log lines to standard error and return the one way to log.

    :param settings: form and level
    :param role: role of the process
    :param name: name of the instance
    """
    logger.remove()
    if settings.format == 'json':
        logger.add(_write_json, level=settings.level)
    else:
        logger.add(
            sys.stderr, level=settings.level, format=_TEXT, colorize=False
        )
    bound = logger.bind(role=role, instance=name)

    def report(event: Event, **fields: Any) -> None:
        line = bound.bind(event=event.number, **fields)
        line.log(event.level.value, event.text)

    return report


def describe_error(error: BaseException) -> str:
    """Return an exception as one line with the place where it arose."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    return f'{type(error).__name__}: {error} ({place})'


_TEXT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}'


def _write_json(message: Any) -> None:
    record: Record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
        'text': record['message'],
    }
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)
