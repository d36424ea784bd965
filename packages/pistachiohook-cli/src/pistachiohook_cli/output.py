"""Output of the commands."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from pistachiohook_core.configuration.documents import encode_document
from pistachiohook_core.configuration.documents import Problem
from pistachiohook_core.configuration.documents import ProblemName
from rich.console import Console
from rich.table import Table

from .client import is_problem
from .statuses import Status

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from pistachiohook_core.configuration.commands import Conflict
    from pistachiohook_core.configuration.documents import Source

#: Width of tables when the output isn't a terminal, in columns.
TABLE_WIDTH = 200


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    print(msgspec.json.format(encode_document(document)).decode())


def print_table(
    names: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print a table.

    :param names: headings of the columns
    :param rows: cells of each row
    """
    table = Table(*names)
    for row in rows:
        table.add_row(*map(str, row))
    width = None if sys.stdout.isatty() else TABLE_WIDTH
    Console(width=width).print(table)


def print_source(source: Source) -> None:
    """Print a warning when a response may be stale."""
    if not source.linearized:
        warn(
            f'{source.instance}: the response may be stale; the last quorum '
            f'confirmation was {source.freshness:.1f} s ago'
        )


def warn(text: object) -> None:
    """Print a line to standard error."""
    print(text, file=sys.stderr)


def report_problem(problem: Problem, *, json: bool) -> Status:
    """Print a problem and return its exit status."""
    if json:
        print_json(problem)
    else:
        for line in _describe_problem(problem):
            warn(line)
    if is_problem(problem, ProblemName.UNKNOWN_OUTCOME):
        return Status.UNKNOWN_OUTCOME
    if any(is_problem(problem, name) for name in _BAD_INPUT_PROBLEMS):
        return Status.BAD_INPUT
    return Status.REFUSED


_BAD_INPUT_PROBLEMS = (
    ProblemName.BAD_SET,
    ProblemName.BAD_REQUEST,
    ProblemName.CHANGE_ID_REUSED,
)


def _describe_problem(problem: Problem) -> Iterable[str]:
    origin = ': '.join(filter(None, (problem.step, problem.peer)))
    yield f'{origin}: {problem.title}: {problem.detail}'
    yield from map(str, problem.errors)
    if problem.conflict is not None:
        yield from _describe_conflict(problem.conflict)


def _describe_conflict(conflict: Conflict) -> Iterable[str]:
    winner = conflict.winner
    if winner is not None:
        changed = ', '.join(winner.changed) or 'nothing'
        yield (
            f'change {winner.change_id} by {winner.author} was accepted at '
            f'revision {winner.revision}; it changed: {changed}'
        )
