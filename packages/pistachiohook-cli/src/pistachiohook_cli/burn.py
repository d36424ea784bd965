"""Report on service-level burn."""

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

#: Longest wait for one agent, in seconds.
AGENT_TIMEOUT = 3.0

#: Agents that are asked at once.
AGENTS_AT_ONCE = 16

#: Age from which a sample is no longer kept, in seconds.
KEPT = 2 * WINDOWS[-1]


@attrs.frozen
class Metrics:
    """What an agent's ``/histograms`` endpoint answers."""

    counts: dict[str, int]
    histograms: dict[str, str]


@attrs.frozen
class Report:
    """The report as a document.

    :param time: end of all windows, in seconds since the epoch
    :param services: burn of every service
    """

    time: float
    services: tuple[ServiceBurn, ...]


def setup(app: App) -> None:
    """Register ``report burn``."""
    report = App(name='report', help='Report on the services.')
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

    Each call takes a sample of every agent and adds it to a file; the
    windows lie between the samples of that file. Call it every few minutes.
    A window that the samples do not cover, and an agent that does not
    answer, are stated, and no alert is then called calm.

    Example: pistachiohook report burn --agent soapfloor=127.0.0.1:8080

    :param agent: service and admin address of one agent, SERVICE=HOST:PORT;
        may be repeated
    :param samples: file of the samples, made when missing
    :param html: write a page with plots to this file
    """
    options = options or Options()
    agents = _read_agents(agent)
    services = _fetch_services(options)
    if isinstance(services, Status):
        return services
    now = time.time()
    kept = keep_samples(samples, _take_samples(agents, now), now)
    report = Report(now, measure_burn(kept, services, agents, now))
    if html is not None:
        html.write_text(render_page(report.services, now), 'utf-8')
    if options.json:
        print_json(report)
    else:
        _print_report(report.services)
    return Status.DONE


def _read_agents(texts: Iterable[str]) -> dict[str, str]:
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
    with ThreadPoolExecutor(AGENTS_AT_ONCE) as pool:
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


def keep_samples(path: Path, new: list[Sample], now: float) -> list[Sample]:
    """Add samples to the file and drop those out of every window."""
    try:
        lines = path.read_bytes().splitlines() if path.exists() else []
        old = [msgspec.json.decode(line, type=Sample) for line in lines]
        kept = [*(one for one in old if one.time > now - KEPT), *new]
        partial = path.with_name(path.name + '.partial')
        encoded = [msgspec.json.encode(sample) + b'\n' for sample in kept]
        partial.write_bytes(b''.join(encoded))
        os.replace(partial, path)
    except (OSError, msgspec.MsgspecError) as error:
        warn(f'keep samples: {path}: {error}')
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
    """Say what is not known of a service."""
    gaps = [
        f'{burn.service}: no fresh sample of agent {agent}'
        for agent in burn.missing
    ]
    if not burn.agents:
        gaps.append(f'{burn.service}: no agent was named')
    if burn.restarts:
        gaps.append(
            f'{burn.service}: {burn.restarts} restarts; what was counted '
            'between the last sample and a restart is not known'
        )
    return gaps
