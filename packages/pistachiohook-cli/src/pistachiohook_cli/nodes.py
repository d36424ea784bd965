"""Commands on nodes, targets and control instances."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING
from urllib.parse import quote

from pistachiohook_core.configuration.documents import DrainedDocument
from pistachiohook_core.configuration.documents import DrainRequest
from pistachiohook_core.configuration.documents import make_problem
from pistachiohook_core.configuration.documents import MembersDocument
from pistachiohook_core.configuration.documents import ProblemName
from pistachiohook_core.configuration.documents import StatusDocument
from pistachiohook_core.configuration.documents import TargetRow
from pistachiohook_core.configuration.documents import TargetsDocument
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from rich.console import Console

from .client import Request
from .options import Options
from .output import print_json
from .output import print_source
from .output import print_table
from .output import report_problem
from .output import warn
from .statuses import Status

if TYPE_CHECKING:
    from pistachiohook_core.configuration.documents import Problem

#: Time between two looks at the rollout of a revision, in seconds.
POLL_INTERVAL = 0.25


def status(
    *,
    wait: int | None = None,
    timeout: float = 30.0,
    options: Options | None = None,
) -> Status:
    """Show how many nodes apply the newest revision, and name the others.

    Example: pistachiohook status --wait 17 --timeout 10

    :param wait: wait until every node applies this revision
    :param timeout: longest wait, in seconds; then the command is refused
    """
    options = options or Options()
    query = '' if wait is None else f'?revision={wait}'
    request = Request('GET', f'/v1/status{query}')
    deadline = time.monotonic() + (0 if wait is None else timeout)
    result = options.send(request, StatusDocument)
    while _must_wait(result, deadline):
        _show_progress(result.unwrap())
        time.sleep(POLL_INTERVAL)
        result = options.send(request, StatusDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    found = result.unwrap()
    if options.json:
        print_json(found)
    else:
        _print_status(found)
    missed = wait is not None and found.rollout.behind
    return Status.REFUSED if missed else Status.DONE


def targets(*, options: Options | None = None) -> Status:
    """List the announced targets.

    Example: pistachiohook targets
    """
    options = options or Options()
    result = options.send(Request('GET', '/v1/targets'), TargetsDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    found = result.unwrap()
    if options.json:
        print_json(found)
        return Status.DONE
    print_source(found.source)
    names = ('target', 'service', 'availability zone', 'state', 'slots')
    rows = [
        (
            row.target.name,
            row.target.service,
            row.target.availability_zone,
            row.target.state.value if row.published else 'not published',
            row.target.slots,
            row.target.agent,
            row.holder,
        )
        for row in found.targets
    ]
    print_table((*names, 'agent', 'control'), rows)
    return Status.DONE


def drain(target: str, *, options: Options | None = None) -> Status:
    """Take a target out for new work until its agent starts again.

    Established flows and work in progress go on to their end. The command
    may be given again without harm.

    Example: pistachiohook drain soapfloor-3

    :param target: name of the target
    """
    options = options or Options()
    row = _find_target(options, target)
    if isinstance(row, Failed):
        return report_problem(row.failure(), json=options.json)
    body = DrainRequest(row.unwrap().target.incarnation)
    path = f'/v1/targets/{quote(target, safe="")}/drain'
    result = options.send(Request('POST', path, body), DrainedDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    found = result.unwrap()
    if options.json:
        print_json(found)
    else:
        print(f'{found.target} drains from revision {found.revision} on')
    return Status.DONE


def control_members(*, options: Options | None = None) -> Status:
    """List the control instances.

    Example: pistachiohook control members
    """
    options = options or Options()
    result = options.send(Request('GET', '/v1/members'), MembersDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    found = result.unwrap()
    if options.json:
        print_json(found)
        return Status.DONE
    print_source(found.source)
    rows = [
        (
            row.name,
            row.api,
            'leader' if row.leader else '',
            row.nodes,
            row.revision,
            len(row.behind),
        )
        for row in found.members
    ]
    names = ('instance', 'api', 'role', 'nodes', 'revision', 'nodes behind')
    print_table(names, rows)
    return Status.DONE


def _must_wait(
    result: Result[StatusDocument, Problem], deadline: float
) -> bool:
    if isinstance(result, Failed) or time.monotonic() >= deadline:
        return False
    found = result.unwrap()
    return bool(found.rollout.behind) or (
        found.published < found.rollout.revision
    )


def _show_progress(found: StatusDocument) -> None:
    if sys.stderr.isatty():
        rollout = found.rollout
        Console(stderr=True).print(
            f'{rollout.in_force} of {rollout.nodes} nodes apply '
            f'revision {rollout.revision}',
            end='\r',
        )


def _print_status(found: StatusDocument) -> None:
    print_source(found.source)
    rollout = found.rollout
    print(
        f'configuration at revision {found.configuration}, published '
        f'revision {found.published}'
    )
    print(
        f'{rollout.in_force} of {rollout.nodes} nodes apply revision '
        f'{rollout.revision}'
    )
    for laggard in rollout.behind:
        warn(f'{laggard.node} applies revision {laggard.applied}')


def _find_target(options: Options, target: str) -> Result[TargetRow, Problem]:
    result = options.send(Request('GET', '/v1/targets'), TargetsDocument)
    if isinstance(result, Failed):
        return Failed(result.failure())
    rows = [
        row for row in result.unwrap().targets if row.target.name == target
    ]
    if rows:
        return Success(rows[0])
    return Failed(
        make_problem(
            ProblemName.NOT_FOUND,
            'no such target is announced',
            step='drain target',
            peer=target,
        )
    )
