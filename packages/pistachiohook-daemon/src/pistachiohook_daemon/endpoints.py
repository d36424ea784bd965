"""Health and metrics endpoints of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .serving import Answer
from .serving import answer_json
from .serving import serve_http

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics
    from tornado.httpserver import HTTPServer

    from .logs import Report
    from .serving import Question


@attrs.frozen
class Health:
    """Whether a process should be given work.

    :param good: whether it should
    :param reason: why not, or what it is doing
    """

    good: bool
    reason: str


def serve_endpoints(
    address: Address,
    metrics: Metrics,
    find_health: Callable[[], Health],
    report: Report,
) -> HTTPServer:
    """Listen for ``/health``, ``/metrics`` and ``/histograms``.

    :param address: where to listen
    :param metrics: what is shown
    :param find_health: asked at each request
    :param report: logs an event
    :raises OSError: when the address cannot be bound
    """

    def show_health(_: Question) -> Answer:
        health = find_health()
        document = {'good': health.good, 'reason': health.reason}
        return answer_json(document, 200 if health.good else 503)

    def show_metrics(_: Question) -> Answer:
        return Answer(body=metrics.render_text().encode())

    def show_histograms(_: Question) -> Answer:
        document = {
            'counts': dict(sorted(metrics.counts.items())),
            'histograms': metrics.encode_histograms(),
        }
        return answer_json(document)

    routes = {
        'GET /health': show_health,
        'GET /metrics': show_metrics,
        'GET /histograms': show_histograms,
    }
    return serve_http(address, routes, report)
