"""Commands that check, apply and show the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING
import uuid

import attrs
from pistachiohook_core.configuration.documents import AcceptedDocument
from pistachiohook_core.configuration.documents import ChangeRequest
from pistachiohook_core.configuration.documents import CheckDocument
from pistachiohook_core.configuration.documents import CheckRequest
from pistachiohook_core.configuration.documents import ConfigurationDocument
from pistachiohook_core.configuration.documents import make_problem
from pistachiohook_core.configuration.documents import ProblemName
from pistachiohook_core.configuration.folder import read_folder
from pistachiohook_core.configuration.objects import KINDS
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

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
    from pistachiohook_core.configuration.objects import RawObject


def check(folder: Path, *, options: Options | None = None) -> Status:
    """Check the objects in the TOML files of a folder without applying them.

    Example: pistachiohook check objects/

    :param folder: folder with *.toml files
    """
    options = options or Options()
    objects = _read_objects(folder)
    if isinstance(objects, Failed):
        return report_problem(objects.failure(), json=options.json)
    request = Request('POST', '/v1/check', CheckRequest(objects.unwrap()))
    result = options.send(request, CheckDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    found = result.unwrap()
    if options.json:
        print_json(found)
    else:
        print(
            f'no errors in {found.services} services, {found.places} places '
            f'and {found.policies} policies'
        )
    return Status.DONE


def apply(
    folder: Path,
    *,
    revision: int | None = None,
    change_id: str | None = None,
    options: Options | None = None,
) -> Status:
    """Replace the whole configuration by the objects of a folder.

    Examples:
    pistachiohook apply objects/
    pistachiohook apply objects/ --revision 17 --change-id winter-prices

    :param folder: folder with *.toml files
    :param revision: revision of the configuration that the objects are based
        on; the default is the newest
    :param change_id: id of the change; sending the change again with the
        same id returns its first outcome; the default is random
    """
    options = options or Options()
    objects = _read_objects(folder)
    if isinstance(objects, Failed):
        return report_problem(objects.failure(), json=options.json)
    base = _determine_base(options, revision)
    if isinstance(base, Failed):
        return report_problem(base.failure(), json=options.json)
    body = ChangeRequest(
        revision=base.unwrap(),
        change_id=change_id or uuid.uuid4().hex,
        objects=objects.unwrap(),
    )
    request = Request('PUT', '/v1/configuration', body)
    result = options.send(request, AcceptedDocument)
    if isinstance(result, Failed):
        problem = attrs.evolve(result.failure(), change_id=body.change_id)
        status = report_problem(problem, json=options.json)
        if status is Status.UNKNOWN_OUTCOME:
            _print_retry_command(folder, body)
        return status
    accepted = result.unwrap()
    if options.json:
        print_json(accepted)
    else:
        print(
            f'accepted at revision {accepted.revision} as change '
            f'{accepted.change_id}'
        )
    return Status.DONE


def show(*, options: Options | None = None) -> Status:
    """Show the configuration and its revision.

    Example: pistachiohook show --json
    """
    options = options or Options()
    request = Request('GET', '/v1/configuration')
    result = options.send(request, ConfigurationDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    found = result.unwrap()
    if options.json:
        print_json(found)
        return Status.DONE
    print_source(found.source)
    print(f'configuration at revision {found.revision}')
    kinds: tuple[dict[str, Any], ...] = (
        found.objects.services,
        found.objects.places,
        found.objects.policies,
    )
    rows = [
        (kind, name, field, value)
        for kind, objects in zip(KINDS, kinds, strict=True)
        for name, item in objects.items()
        for field, value in attrs.asdict(item).items()
    ]
    print_table(('kind', 'name', 'key', 'value'), rows)
    return Status.DONE


def _read_objects(
    folder: Path,
) -> Result[tuple[RawObject, ...], Problem]:
    content = read_folder(folder)
    if content.errors:
        problem = make_problem(
            ProblemName.BAD_SET,
            'some objects could not be read; nothing was changed',
            step='read objects',
            peer=str(folder),
            errors=content.errors,
        )
        return Failed(problem)
    return Success(content.objects)


def _determine_base(
    options: Options, revision: int | None
) -> Result[int, Problem]:
    if revision is not None:
        return Success(revision)
    request = Request('GET', '/v1/configuration')
    return options.send(request, ConfigurationDocument).map(
        lambda found: found.revision
    )


def _print_retry_command(folder: Path, body: ChangeRequest) -> None:
    warn(
        'it is unknown whether the change was accepted; to find out, send it '
        f'again: pistachiohook apply {folder} --revision {body.revision} '
        f'--change-id {body.change_id}'
    )
