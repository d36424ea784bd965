"""Commands that show nodes, targets and control instances, and drain."""

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

#: Time between two polls of the rollout of a revision, in seconds.
POLL_INTERVAL = 0.25


def status(
    *,
    wait: int | None = None,
    timeout: float = 30.0,
    options: Options | None = None,
) -> Status:
    """Show how many nodes apply a revision, and name those that don't.

    Example: pistachiohook status --wait 17 --timeout 10

    :param wait: wait until every node applies this revision; the default is
        to show the newest revision and not to wait
    :param timeout: longest wait, in seconds; if nodes are still behind after
        it, the exit status is 1
    """
    options = options or Options()
    query = '' if wait is None else f'?revision={wait}'
    request = Request('GET', f'/v1/status{query}')
    deadline = time.monotonic() + (0 if wait is None else timeout)
    result = options.send(request, StatusDocument)
    while _should_wait(result, deadline):
        _print_progress(result.unwrap())
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
    """Send no new work to a target until its agent is restarted.

    Established flows and work in progress are completed. The command is
    idempotent.

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
        print(f'{found.target} is draining as of revision {found.revision}')
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


def _should_wait(
    result: Result[StatusDocument, Problem], deadline: float
) -> bool:
    if isinstance(result, Failed) or time.monotonic() >= deadline:
        return False
    found = result.unwrap()
    return bool(found.rollout.behind) or (
        found.published < found.rollout.revision
    )


def _print_progress(found: StatusDocument) -> None:
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
    for lagging_node in rollout.behind:
        warn(f'{lagging_node.node} applies revision {lagging_node.applied}')


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
            'no target with this name is announced',
            step='drain target',
            peer=target,
        )
    )
