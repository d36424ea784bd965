"""The burn report as a self-contained HTML page."""

from __future__ import annotations

import datetime
from html import escape
import math
from typing import TYPE_CHECKING

from pistachiohook_core.burn import ALERTS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.burn import Objective
    from pistachiohook_core.burn import ServiceBurn
    from pistachiohook_core.burn import Window

#: Size of a plot, in pixels.
PLOT_WIDTH = 560
ROW_HEIGHT = 26

#: Width of the labels of a plot, in pixels.
LABEL_WIDTH = 90

#: Burn rate at the right end of a plot, on a logarithmic scale.
RATE_MAX = 1000.0

_STYLE = """
body { font: 15px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
.burning { color: #b00020; font-weight: bold; }
.unknown { color: #8a5a00; }
.calm { color: #1b6e3c; }
"""


def render_page(burns: Iterable[ServiceBurn], now: float) -> str:
    """Return the page as HTML.

    :param burns: burn rates and alerts of each service
    :param now: end of all windows, in seconds since the epoch
    """
    time = datetime.datetime.fromtimestamp(now, datetime.UTC)
    sections = [_render_service(burn) for burn in burns]
    return '\n'.join(
        [
            '<!doctype html>',
            '<html lang="en"><head><meta charset="utf-8">',
            f'<title>Service-level burn</title><style>{_STYLE}</style>',
            '</head><body><h1>Service-level burn</h1>',
            f'<p>{time:%Y-%m-%d %H:%M:%S} UTC. A burn rate of 1 spends the '
            'error budget exactly over its period.</p>',
            *sections,
            '</body></html>',
            '',
        ]
    )


def _render_service(burn: ServiceBurn) -> str:
    quantiles = ', '.join(
        f'{one.percent:g} % within {one.seconds:.3f} s'
        for one in burn.quantiles
    )
    missing = [
        f'<p class="unknown">No fresh sample of agent {escape(agent)}.</p>'
        for agent in burn.missing
    ]
    restarts = (
        f'<p class="unknown">{burn.restarts} restarts of agents between '
        'samples.</p>'
        if burn.restarts
        else ''
    )
    return '\n'.join(
        [
            f'<h2>{escape(burn.service)}</h2>',
            f'<p>{len(burn.agents)} agents. Durations in the longest '
            f'window: {quantiles or "no requests"}.</p>',
            *missing,
            restarts,
            *(_render_objective(one) for one in burn.objectives),
        ]
    )


def _render_objective(objective: Objective) -> str:
    bound = '' if objective.bound is None else f' within {objective.bound:g} s'
    alerts = ', '.join(
        f'{alert.name}: <span class="{alert.verdict.value}">'
        f'{alert.verdict.value}</span>'
        for alert in objective.alerts
    )
    rows = [
        f'<tr><td>{window.length:g} s</td><td>{window.covered:.0f} s</td>'
        f'<td>{window.total - window.good}</td><td>{window.total}</td>'
        f'<td>{_format_rate(window)}</td></tr>'
        for window in objective.windows
    ]
    return '\n'.join(
        [
            f'<h3>{objective.kind.value}: {objective.share:.4%}{bound}</h3>',
            f'<p>{alerts}</p>',
            _plot_windows(objective.windows),
            '<table><tr><th>window</th><th>covered</th><th>bad</th>'
            '<th>all</th><th>burn rate</th></tr>',
            *rows,
            '</table>',
        ]
    )


def _format_rate(window: Window) -> str:
    return 'no requests' if window.rate is None else f'{window.rate:.2f}'


def _plot_windows(windows: tuple[Window, ...]) -> str:
    height = ROW_HEIGHT * (len(windows) + 1)
    bars = [
        _plot_bar(window, ROW_HEIGHT * row)
        for row, window in enumerate(windows)
    ]
    threshold_marks = [
        f'<line x1="{_convert_rate_to_x(rule.threshold):.1f}" '
        f'x2="{_convert_rate_to_x(rule.threshold):.1f}" y1="0" '
        f'y2="{height - ROW_HEIGHT}" stroke="#b00020" stroke-dasharray="4"/>'
        f'<text x="{_convert_rate_to_x(rule.threshold):.1f}" y="{height - 8}" '
        f'font-size="11" text-anchor="middle">{rule.name} '
        f'{rule.threshold:g}</text>'
        for rule in ALERTS
    ]
    return (
        f'<svg width="{PLOT_WIDTH}" height="{height}" role="img" '
        'aria-label="burn rate by window">'
        + ''.join([*bars, *threshold_marks])
        + '</svg>'
    )


def _plot_bar(window: Window, top: int) -> str:
    width = _convert_rate_to_x(window.rate or 0.0) - LABEL_WIDTH
    return (
        f'<text x="0" y="{top + 17}" font-size="12">{window.length:g} s</text>'
        f'<rect x="{LABEL_WIDTH}" y="{top + 4}" width="{width:.1f}" '
        f'height="{ROW_HEIGHT - 8}" fill="#4878a8"/>'
    )


def _convert_rate_to_x(rate: float) -> float:
    """Return the x coordinate of a burn rate in a plot, in pixels."""
    fraction = math.log1p(min(rate, RATE_MAX)) / math.log1p(RATE_MAX)
    return LABEL_WIDTH + fraction * (PLOT_WIDTH - LABEL_WIDTH)
