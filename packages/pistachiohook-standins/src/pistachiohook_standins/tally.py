"""Counters of one run, kept at callers and targets."""

from __future__ import annotations

import asyncio
from collections import Counter
import contextlib
import enum
import json
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.metrics import Metrics
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .flows import Flow


class Outcome(enum.Enum):
    """How a request ended, as its caller saw it."""

    #: The caller received the complete response to its request.
    DONE = 'done'
    #: Refused; the problem's type says that the target didn't run it.
    NOT_RUN = 'not-run'
    #: Refused or failed; the target may have run it.
    UNKNOWN = 'unknown'

    def combine(self, later: Outcome) -> Outcome:
        """Return the outcome of a request after one more attempt.

        An attempt that may have run leaves the outcome unknown when a later
        one is refused as not run.
        """
        if self is Outcome.UNKNOWN and later is Outcome.NOT_RUN:
            return self
        return later


@attrs.frozen
class TargetRuns:
    """How often one target has run each request.

    :param service: name of the target's service
    :param target: name of the target
    :param runs: number of runs started, by idempotency key
    """

    service: str
    target: str
    runs: dict[str, int]


@attrs.define
class Tally:
    """Counters of the callers in one run.

    :param requests: requests made; a retry isn't counted again
    :param wrong_service: responses, and lines of feeds, that came from
        another service than the one requested
    :param crossed: responses whose idempotency key or digest doesn't match
        the request
    :param services: name of the requested service, by idempotency key
    :param outcomes: outcome of each request that has an idempotency key
    :param outcome_counts: number of requests by outcome
    :param refusals: number of refused attempts, by the last part of the
        problem's type
    :param lost_flows: for each broken flow, the reason
    :param metrics: durations of requests, by kind of work
    """

    requests: int = 0
    wrong_service: int = 0
    crossed: int = 0
    services: dict[str, str] = attrs.field(factory=dict)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    outcome_counts: Counter[Outcome] = attrs.field(factory=Counter)
    refusals: Counter[str] = attrs.field(factory=Counter)
    lost_flows: list[str] = attrs.field(factory=list)
    metrics: Metrics = attrs.field(factory=Metrics)
    _broken_flows: set[int] = attrs.field(factory=set)

    def record_broken_flow(self, flow: Flow, reason: str) -> None:
        """Count a flow as broken, unless it was counted before."""
        if id(flow) not in self._broken_flows:
            self._broken_flows.add(id(flow))
            self.lost_flows.append(reason)

    def check_service(self, expected: str, found: str) -> None:
        """Count a response that came from another service than expected."""
        self.wrong_service += expected != found

    def record_outcome(self, key: str, service: str, outcome: Outcome) -> None:
        """Record the outcome of a request.

        :param key: idempotency key; empty when the request has none
        """
        self.outcome_counts[outcome] += 1
        if key:
            self.services[key] = service
            self.outcomes[key] = outcome

    def summarize(self, targets: Iterable[TargetRuns]) -> Summary:
        """Compare the callers' counters with the runs at the targets."""
        targets = list(targets)
        runs: Counter[str] = Counter()
        for target in targets:
            runs.update(target.runs)
        misrouted = sum(
            self.services.get(key, target.service) != target.service
            for target in targets
            for key in target.runs
        )
        not_run = sum(
            outcome is Outcome.DONE and not runs[key]
            for key, outcome in self.outcomes.items()
        )
        false_refusals = sum(
            outcome is Outcome.NOT_RUN and runs[key] > 0
            for key, outcome in self.outcomes.items()
        )
        return Summary(
            requests=self.requests,
            lost=self.requests - self.outcome_counts[Outcome.DONE] + not_run,
            doubled=sum(runs[key] > 1 for key in self.services),
            broken_flows=len(self.lost_flows),
            wrong_service=self.wrong_service + misrouted,
            refused=self.outcome_counts[Outcome.NOT_RUN],
            crossed=self.crossed,
            false_refusals=false_refusals,
        )


@attrs.frozen
class Summary:
    """Result of one run, from the counters of callers and targets.

    :param requests: requests that callers made
    :param lost: requests without a complete response, and requests with one
        that no target has run
    :param doubled: idempotency keys that ran more than once
    :param broken_flows: flows on which a request failed: the flow was lost,
        a stream was reset or lines of a feed were missing
    :param wrong_service: responses from, and runs at, another service than
        the one requested
    :param refused: requests whose last outcome was a refusal as not run;
        ``lost`` includes them
    :param crossed: responses whose idempotency key or digest doesn't match
        the request
    :param false_refusals: requests refused as not run that a target has run
    """

    requests: int
    lost: int
    doubled: int
    broken_flows: int
    wrong_service: int
    refused: int
    crossed: int
    false_refusals: int

    def is_clean(self) -> bool:
        """Return whether there were requests, and no failure but refusals."""
        failures = (
            self.lost - self.refused,
            self.doubled,
            self.broken_flows,
            self.wrong_service,
            self.crossed,
            self.false_refusals,
        )
        return self.requests > 0 and not any(failures)


async def fetch_runs(urls: Iterable[str]) -> list[TargetRuns]:
    """Fetch the runs of the targets, except of those that don't respond.

    :param urls: base URL of each target
    """
    found = await asyncio.gather(*(_fetch_target_runs(url) for url in urls))
    return [target for target in found if target is not None]


async def _fetch_target_runs(url: str) -> TargetRuns | None:
    with contextlib.suppress(OSError, HTTPError):
        response = await AsyncHTTPClient().fetch(f'{url}/runs')
        body = json.loads(response.body)
        body['runs'].pop('', None)
        return TargetRuns(body['service'], body['target'], body['runs'])
    return None
