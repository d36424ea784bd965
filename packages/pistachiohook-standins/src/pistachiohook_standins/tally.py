"""What callers and targets count in one run."""

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
    """How a request ended for its caller."""

    #: The whole answer to the caller's own request.
    DONE = 'done'
    #: Refused, and said to be not run.
    NOT_RUN = 'not-run'
    #: Refused or failed without a word on whether it ran.
    UNKNOWN = 'unknown'

    def join(self, later: Outcome) -> Outcome:
        """Return the outcome after one more attempt."""
        if self is Outcome.UNKNOWN and later is Outcome.NOT_RUN:
            return self
        return later


@attrs.frozen
class Runs:
    """Runs of one target by idempotency key.

    :param service: name of the target's service
    :param target: name of the target
    :param runs: runs begun by key
    """

    service: str
    target: str
    runs: dict[str, int]


@attrs.define
class Tally:
    """Counts of one run.

    :param requests: requests that callers made; a retry is not another
    :param wrong_service: answers and runs of a service not asked for
    :param crossed: answers to another request than the caller's
    :param services: service asked for, by idempotency key
    :param outcomes: how each keyed request ended
    :param ended: requests by how they ended
    :param refusals: refused attempts by the end of the problem's type
    :param lost_flows: reasons of flows that ended by another's act
    :param metrics: durations by kind of work
    """

    requests: int = 0
    wrong_service: int = 0
    crossed: int = 0
    services: dict[str, str] = attrs.field(factory=dict)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    ended: Counter[Outcome] = attrs.field(factory=Counter)
    refusals: Counter[str] = attrs.field(factory=Counter)
    lost_flows: list[str] = attrs.field(factory=list)
    metrics: Metrics = attrs.field(factory=Metrics)
    _broken: set[int] = attrs.field(factory=set)

    def note_broken(self, flow: Flow, reason: str) -> None:
        """Count a flow as broken, once."""
        if id(flow) not in self._broken:
            self._broken.add(id(flow))
            self.lost_flows.append(reason)

    def note_service(self, expected: str, found: str) -> None:
        """Compare who answered with who was asked."""
        self.wrong_service += expected != found

    def note_end(self, key: str, service: str, outcome: Outcome) -> None:
        """Note how a request ended; the key is empty when it has none."""
        self.ended[outcome] += 1
        if key:
            self.services[key] = service
            self.outcomes[key] = outcome

    def summarize(self, targets: Iterable[Runs]) -> Summary:
        """Set what callers saw against what targets ran."""
        targets = list(targets)
        runs: Counter[str] = Counter()
        for target in targets:
            runs.update(target.runs)
        strays = sum(
            self.services.get(key, target.service) != target.service
            for target in targets
            for key in target.runs
        )
        vanished = sum(
            outcome is Outcome.DONE and not runs[key]
            for key, outcome in self.outcomes.items()
        )
        false_refusals = sum(
            outcome is Outcome.NOT_RUN and runs[key] > 0
            for key, outcome in self.outcomes.items()
        )
        return Summary(
            requests=self.requests,
            lost=self.requests - self.ended[Outcome.DONE] + vanished,
            doubled=sum(runs[key] > 1 for key in self.services),
            broken_flows=len(self.lost_flows),
            wrong_service=self.wrong_service + strays,
            refused=self.ended[Outcome.NOT_RUN],
            crossed=self.crossed,
            false_refusals=false_refusals,
        )


@attrs.frozen
class Summary:
    """Counts at callers and targets.

    :param requests: requests that callers made
    :param lost: requests without the whole answer, or answered and not run
    :param doubled: keys that ran more than once
    :param broken_flows: flows, feeds and uploads that were cut
    :param wrong_service: answers or runs of a service not asked for
    :param refused: requests refused as not run to the end; among the lost
    :param crossed: answers to another request than the caller's
    :param false_refusals: requests refused as not run that did run
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
        """Tell whether nothing but refusals went wrong."""
        wrong = (
            self.lost - self.refused,
            self.doubled,
            self.broken_flows,
            self.wrong_service,
            self.crossed,
            self.false_refusals,
        )
        return self.requests > 0 and not any(wrong)


async def fetch_runs(urls: Iterable[str]) -> list[Runs]:
    """Ask targets for their runs; one that doesn't answer is left out.

    :param urls: base URL of each target
    """
    answers = await asyncio.gather(*(_fetch_target(url) for url in urls))
    return [answer for answer in answers if answer is not None]


async def _fetch_target(url: str) -> Runs | None:
    with contextlib.suppress(OSError, HTTPError):
        answer = await AsyncHTTPClient().fetch(f'{url}/runs')
        body = json.loads(answer.body)
        body['runs'].pop('', None)
        return Runs(body['service'], body['target'], body['runs'])
    return None
