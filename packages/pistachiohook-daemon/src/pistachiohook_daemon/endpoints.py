"""Health and metrics endpoints of a process."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics


@attrs.frozen
class Health:
    """Whether a process should be given work.

    :param good: whether it should
    :param reason: why not, or what it is doing
    """

    good: bool
    reason: str


class _HealthHandler(RequestHandler):
    def initialize(self, find_health: Callable[[], Health]) -> None:
        self.find_health = find_health

    def get(self) -> None:
        health = self.find_health()
        self.set_status(200 if health.good else 503)
        self.finish({'good': health.good, 'reason': health.reason})


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; charset=utf-8')
        self.finish(self.metrics.render_text())


class _HistogramsHandler(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def get(self) -> None:
        document: dict[str, Any] = {
            'counts': dict(self.metrics.counts),
            'histograms': self.metrics.encode_histograms(),
        }
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(document, sort_keys=True))


def serve_endpoints(
    address: Address, metrics: Metrics, find_health: Callable[[], Health]
) -> HTTPServer:
    """Listen for ``/health``, ``/metrics`` and ``/histograms``.

    :param address: where to listen
    :param metrics: what is shown
    :param find_health: asked at each request
    :raises OSError: when the address cannot be bound
    """
    application = Application(
        [
            ('/health', _HealthHandler, {'find_health': find_health}),
            ('/metrics', _MetricsHandler, {'metrics': metrics}),
            ('/histograms', _HistogramsHandler, {'metrics': metrics}),
        ],
        log_function=lambda _: None,
    )
    server = HTTPServer(application)
    server.add_sockets(bind_sockets(address.port, address.host))
    return server
