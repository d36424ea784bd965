"""Explanation of where a new flow would be placed, from a balancer."""

from __future__ import annotations

from typing import Annotated
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import attrs
from cyclopts import Parameter
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.configuration.documents import decode_document
from pistachiohook_core.failures import Failure
from pistachiohook_core.passthrough.explanation import OutcomeKind
from pistachiohook_core.passthrough.explanation import Placement
from returns.result import Failure as Failed
from returns.result import Result
from tornado.httpclient import HTTPClient
from tornado.httpclient import HTTPClientError

from .options import BadInputError
from .output import print_json
from .output import print_table
from .output import warn
from .statuses import Status

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.passthrough.explanation import AgentFigures
    from pistachiohook_core.passthrough.explanation import Outcome
    from pistachiohook_core.passthrough.explanation import ServicePlacement

#: Timeout of the request to the balancer, in seconds: the balancer answers
#: from its memory.
REQUEST_TIMEOUT = 3.0

#: HTTP status of a query that the balancer can't read.
_BAD_REQUEST = 400


@attrs.frozen
class PlacementError:
    """Response of a balancer that can't explain a placement.

    :param error: why it can't
    """

    error: str


def placement(
    *,
    balancer: str,
    entry: str,
    zone: str = '',
    age_ms: float = 0.0,
    json: Annotated[bool, Parameter(negative='')] = False,
) -> Status:
    """Show where a new flow would be placed now, and why; send no flow.

    Example: pistachiohook explain placement --balancer 10.0.0.7:9100 --entry
    198.18.0.1:8443

    :param balancer: administration address of the balancer that is asked
    :param entry: address that the caller sends to
    :param zone: list only the agents of this availability zone; the outcome
        does not depend on it
    :param age_ms: time since the caller first sent its opening packet, in
        milliseconds
    :param json: print JSON instead of tables
    """
    address, entry_address = _read_address(balancer), _read_address(entry)
    query = {'entry': str(entry_address), 'age_ms': age_ms}
    if zone:
        query['zone'] = zone
    fetched = _fetch(address, urlencode(query))
    if isinstance(fetched, Failed):
        return _report_failure(*fetched.failure(), json=json)
    found = fetched.unwrap()
    if json:
        print_json(found)
    else:
        _print_placement(found)
    return Status.DONE


def _report_failure(failure: Failure, status: Status, *, json: bool) -> Status:
    if json:
        print_json(PlacementError(failure.reason))
    warn(failure)
    return status


def _read_address(text: str) -> Address:
    address = parse_address(text)
    if isinstance(address, Failed):
        warn(address.failure())
        raise BadInputError
    return address.unwrap()


def _fetch(
    balancer: Address, query: str
) -> Result[Placement, tuple[Failure, Status]]:
    """Ask a balancer; a failure has the exit status of the command."""
    step, peer = 'explain placement', str(balancer)
    client = HTTPClient()
    try:
        response = client.fetch(
            f'http://{peer}/placement?{query}',
            raise_error=False,
            connect_timeout=REQUEST_TIMEOUT,
            request_timeout=REQUEST_TIMEOUT,
        )
    except (HTTPClientError, OSError) as error:
        failure = Failure(step, peer, f'no answer: {error}')
        return Failed((failure, Status.REFUSED))
    finally:
        client.close()
    if response.code == 200:
        return decode_document(response.body, Placement, peer).alt(
            lambda failure: (failure, Status.REFUSED)
        )
    reason = (
        decode_document(response.body, PlacementError, peer)
        .map(lambda document: document.error)
        .value_or(f'unexpected HTTP status {response.code}')
    )
    bad_input = response.code == _BAD_REQUEST
    status = Status.BAD_INPUT if bad_input else Status.REFUSED
    return Failed((Failure(step, peer, reason), status))


def _print_placement(found: Placement) -> None:
    print(
        f'route {found.route} of version {found.version} at {found.entry}, '
        f'from a balancer in {found.zone}, age {found.age_ms:.0f} ms, '
        f'budget {found.budget_ms:.0f} ms'
    )
    for service in found.services:
        print(f'service {service.service}, {service.share:.0%} of new flows')
        _print_agents(service)
        print(f'outcome: {_describe_outcome(service.outcome)}')
    if found.services_omitted:
        warn(f'{found.services_omitted} more services are not listed')


def _print_agents(service: ServicePlacement) -> None:
    if service.candidates:
        names = ('cost ms', 'wait ms', 'open flows ms', 'zone ms', 'use')
        print_table(
            ('candidate', *names, *_LOAD_COLUMNS, 'note'),
            [
                (
                    agent.agent,
                    f'{agent.cost_ms:.1f}',
                    f'{agent.wait_ms:.1f}',
                    f'{agent.recurring_wait_ms:.1f}',
                    f'{agent.zone_cost_ms:.1f}',
                    f'{agent.utilization:.2f}',
                    *_describe_load(agent),
                    _describe_note(agent),
                )
                for agent in service.candidates
            ],
        )
    if service.excluded:
        print_table(
            ('excluded', *_LOAD_COLUMNS, 'reason'),
            [
                (agent.agent, *_describe_load(agent), agent.reason)
                for agent in service.excluded
            ],
        )
    if service.candidates_omitted or service.excluded_omitted:
        warn(
            f'{service.candidates_omitted} more candidates and '
            f'{service.excluded_omitted} more excluded agents are not listed'
        )


#: Headings of :func:`_describe_load`.
_LOAD_COLUMNS = ('zone', 'state', 'flows', 'capacity', 'report ms', 'cold')


def _describe_load(agent: AgentFigures) -> tuple[str, ...]:
    capacity = (
        f'{agent.limit} (limit)' if agent.limit else f'{agent.slots} (slots)'
    )
    cold = '' if agent.cold_allowance < 0 else f'{agent.cold_allowance:.1f}'
    return (
        agent.zone,
        agent.state,
        f'{agent.flows}+{agent.offered}',
        capacity,
        f'{agent.report_age_ms:.0f}',
        cold,
    )


def _describe_note(agent: AgentFigures) -> str:
    suspect = 'its last offer was not answered' if agent.suspect else ''
    return '; '.join(filter(None, (suspect, agent.reason)))


def _describe_outcome(outcome: Outcome) -> str:
    if outcome.kind is OutcomeKind.TARGET:
        return (
            f'target {outcome.agent} at offer {outcome.offers}, wait '
            f'{outcome.wait_ms:.1f} ms: {outcome.reason}'
        )
    if outcome.kind is OutcomeKind.WAIT:
        return f'wait of up to {outcome.wait_ms:.0f} ms: {outcome.reason}'
    return f'refused after {outcome.offers} offers: {outcome.reason}'
