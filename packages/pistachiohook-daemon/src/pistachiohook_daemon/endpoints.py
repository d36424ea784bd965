"""Health and metrics endpoints of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .serving import HttpResponse
from .serving import make_json_response
from .serving import serve_http

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics
    from tornado.httpserver import HTTPServer

    from .logs import Report
    from .serving import HttpRequest


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

    def show_health(_: HttpRequest) -> HttpResponse:
        health = find_health()
        document = {'good': health.good, 'reason': health.reason}
        return make_json_response(document, 200 if health.good else 503)

    def show_metrics(_: HttpRequest) -> HttpResponse:
        return HttpResponse(body=metrics.render_text().encode())

    def show_histograms(_: HttpRequest) -> HttpResponse:
        document = {
            'counts': dict(sorted(metrics.counts.items())),
            'histograms': metrics.encode_histograms(),
        }
        return make_json_response(document)

    routes = {
        'GET /health': show_health,
        'GET /metrics': show_metrics,
        'GET /histograms': show_histograms,
    }
    return serve_http(address, routes, report)
