"""HTTP endpoints of a process for its health and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .serving import HttpResponse
from .serving import make_json_response
from .serving import serve_http

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics

    from .logs import Report
    from .serving import Handler
    from .serving import HttpRequest
    from .serving import RunningServer


@attrs.frozen
class Health:
    """Result of a health check.

    :param good: whether the process is healthy and should receive traffic
    :param reason: why it is unhealthy, or the state it is in
    """

    good: bool
    reason: str


def serve_endpoints(
    address: Address,
    metrics: Metrics,
    find_health: Callable[[], Health],
    report: Report,
    role_routes: Mapping[str, Handler],
) -> RunningServer:
    """Serve ``/health``, ``/metrics``, ``/histograms`` and a role's routes.

    ``/health`` answers with status 503 while the process is unhealthy.

    :param address: address to listen on
    :param metrics: metrics to show
    :param find_health: returns the health; called for each request
    :param report: logs an event
    :param role_routes: further routes, as for :func:`~.serving.serve_http`
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

    routes: dict[str, Handler] = {
        **role_routes,
        'GET /health': show_health,
        'GET /metrics': show_metrics,
        'GET /histograms': show_histograms,
    }
    return serve_http(address, routes, report)
