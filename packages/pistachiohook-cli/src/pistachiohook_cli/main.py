"""Entry point of the command line."""

from __future__ import annotations

import sys

from cyclopts import App
from cyclopts import CycloptsError

from .burn import setup as setup_burn
from .configuration import apply
from .configuration import check
from .configuration import show
from .explanation import explain
from .nodes import control_members
from .nodes import drain
from .nodes import status
from .nodes import targets
from .options import BadInputError
from .placement import placement
from .statuses import Status

app = App(
    name='pistachiohook',
    help=(
        'Administer the load balancer.\n\n'
        'Exit statuses: 0 done; 1 refused or failed; 2 usage or bad input; 3 '
        'unknown outcome: send the same change again to learn it.'
    ),
)
control = App(name='control', help='Inspect the control instances.')
app.command(control)
for command in (check, apply, show, status, targets, drain):
    app.command(command)
explanations = App(name='explain')
app.command(explanations)
explanations.default(explain)
explanations.command(placement)
control.command(control_members, name='members')
setup_burn(app)


def main() -> None:
    """Run one command and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command.

    :param arguments: command line without the name of the program
    :returns: exit status, one of :class:`~.statuses.Status`
    """
    try:
        result = app(
            arguments, exit_on_error=False, result_action=_return_unchanged
        )
    except (CycloptsError, BadInputError):
        return Status.BAD_INPUT
    return int(result or Status.DONE)


def _return_unchanged(result: object) -> object:
    return result


if __name__ == '__main__':
    main()
