"""Command that reports how fast services spend their error budgets."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
from pathlib import Path
import time
from typing import TYPE_CHECKING

import attrs
from cyclopts import App
import msgspec
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.burn import measure_burn
from pistachiohook_core.burn import Sample
from pistachiohook_core.burn import WINDOWS
from pistachiohook_core.configuration.documents import ConfigurationDocument
from pistachiohook_core.configuration.resolution import assign_numbers
from pistachiohook_core.configuration.resolution import resolve_services
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from tornado.httpclient import HTTPClient
from tornado.httpclient import HTTPClientError

from .burn_page import render_page
from .client import Request
from .options import BadInputError
from .options import Options
from .output import print_json
from .output import print_table
from .output import report_problem
from .output import warn
from .statuses import Status

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.burn import ServiceBurn
    from pistachiohook_core.published import Service

#: Timeout of the request to one agent, in seconds.
AGENT_TIMEOUT = 3.0

#: Most agents that are requested at the same time.
AGENT_CONCURRENCY = 16

#: Age at which samples are removed from the file, in seconds.
SAMPLE_AGE_MAX = 2 * WINDOWS[-1]


@attrs.frozen
class Metrics:
    """Response of an agent's ``/histograms`` endpoint.

    :param counts: counters by name
    :param histograms: encoded histograms by name
    """

    counts: dict[str, int]
    histograms: dict[str, str]


@attrs.frozen
class Report:
    """The report, as ``--json`` prints it.

    :param time: end of all windows, in seconds since the epoch
    :param services: burn rates and alerts of each service
    """

    time: float
    services: tuple[ServiceBurn, ...]


def setup(app: App) -> None:
    """Register the command ``report burn``."""
    report = App(name='report', help='Print reports on the services.')
    report.command(burn)
    app.command(report)


def burn(
    *,
    agent: list[str],
    samples: Path = Path('burn-samples.jsonl'),
    html: Path | None = None,
    options: Options | None = None,
) -> Status:
    """Show how fast each service spends its error budget.

    Each call adds a sample of every agent's metrics to a file and measures
    its windows between the samples in that file. Call it every few minutes.
    The report names agents that do not respond, and shows how much of each
    window the samples cover. While data is missing, no alert is shown as
    calm.

    Example: pistachiohook report burn --agent soapfloor=127.0.0.1:8080

    :param agent: service and admin address of an agent, SERVICE=HOST:PORT;
        repeat the option for each agent
    :param samples: file of the samples; created if it doesn't exist
    :param html: file to write an HTML page with plots to
    """
    options = options or Options()
    agents = _parse_agents(agent)
    services = _fetch_services(options)
    if isinstance(services, Status):
        return services
    now = time.time()
    kept = update_samples(samples, _take_samples(agents, now), now)
    report = Report(now, measure_burn(kept, services, agents, now))
    if html is not None:
        html.write_text(render_page(report.services, now), 'utf-8')
    if options.json:
        print_json(report)
    else:
        _print_report(report.services)
    return Status.DONE


def _parse_agents(texts: Iterable[str]) -> dict[str, str]:
    pairs = [text.partition('=') for text in texts]
    for service, _, address in pairs:
        if not service or not is_successful(parse_address(address)):
            warn(
                f'read agent: {service}={address}: expected SERVICE=HOST:PORT'
            )
            raise BadInputError
    return {address: service for service, _, address in pairs}


def _fetch_services(options: Options) -> tuple[Service, ...] | Status:
    request = Request('GET', '/v1/configuration')
    result = options.send(request, ConfigurationDocument)
    if isinstance(result, Failed):
        return report_problem(result.failure(), json=options.json)
    objects = result.unwrap().objects
    numbers = assign_numbers(objects, {}, 1)
    return tuple(resolve_services(objects, numbers).values())


def _take_samples(agents: dict[str, str], now: float) -> list[Sample]:
    with ThreadPoolExecutor(AGENT_CONCURRENCY) as pool:
        found = pool.map(_fetch_metrics, agents)
    return [
        Sample(now, address, service, metrics.counts, metrics.histograms)
        for (address, service), metrics in zip(
            agents.items(), found, strict=True
        )
        if metrics is not None
    ]


def _fetch_metrics(address: str) -> Metrics | None:
    client = HTTPClient()
    try:
        answer = client.fetch(
            f'http://{address}/histograms', request_timeout=AGENT_TIMEOUT
        )
        return msgspec.json.decode(answer.body, type=Metrics)
    except (OSError, HTTPClientError, msgspec.MsgspecError) as error:
        warn(f'read metrics: {address}: {error}')
        return None
    finally:
        client.close()


def update_samples(path: Path, new: list[Sample], now: float) -> list[Sample]:
    """Add samples to the file and remove the expired ones.

    :param path: file with one sample per line; created if it doesn't exist
    :param new: samples to add
    :param now: current time, in seconds since the epoch
    :returns: the samples that the file now holds
    :raises BadInputError: when the file can't be read or written
    """
    try:
        lines = path.read_bytes().splitlines() if path.exists() else []
        old = [msgspec.json.decode(line, type=Sample) for line in lines]
        kept = [*(one for one in old if one.time > now - SAMPLE_AGE_MAX), *new]
        partial = path.with_name(path.name + '.partial')
        encoded = [msgspec.json.encode(sample) + b'\n' for sample in kept]
        partial.write_bytes(b''.join(encoded))
        os.replace(partial, path)
    except (OSError, msgspec.MsgspecError) as error:
        warn(f'update samples: {path}: {error}')
        raise BadInputError from error
    return kept


def _print_report(burns: Iterable[ServiceBurn]) -> None:
    names = ('service', 'objective', 'window', 'covered', 'bad', 'all')
    rows = [
        (
            burn.service,
            objective.kind.value,
            f'{window.length:g} s',
            f'{window.covered:.0f} s',
            window.total - window.good,
            window.total,
            'no requests' if window.rate is None else f'{window.rate:.2f}',
        )
        for burn in burns
        for objective in burn.objectives
        for window in objective.windows
    ]
    print_table((*names, 'burn rate'), rows)
    alerts = [
        (burn.service, objective.kind.value, alert.name, alert.verdict.value)
        for burn in burns
        for objective in burn.objectives
        for alert in objective.alerts
    ]
    print_table(('service', 'objective', 'alert', 'verdict'), alerts)
    for burn in burns:
        for line in describe_gaps(burn):
            print(line)


def describe_gaps(burn: ServiceBurn) -> list[str]:
    """Return a sentence about each gap in the data on a service."""
    gaps = [
        f'{burn.service}: no fresh sample of agent {agent}'
        for agent in burn.missing
    ]
    if not burn.agents:
        gaps.append(f'{burn.service}: no agent was given')
    if burn.restarts:
        gaps.append(
            f'{burn.service}: {burn.restarts} restarts of agents; requests '
            'between the last sample and a restart are not counted'
        )
    return gaps
