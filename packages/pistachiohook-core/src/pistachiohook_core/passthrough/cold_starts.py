"""Bound of the requests that a target gets while it is cold."""

from __future__ import annotations

import math

import attrs

#: Time in which the tokens of a full bucket arrive, in seconds: the interval
#: of load reports, so that an idle cold target can use its whole rate though
#: balancers offer no more than the allowance that they know.
BURST_TIME = 0.2

#: Share of the highest safe refill rate that is used when the bound leaves no
#: more, so that rounding can't add a request to a window.
REFILL_SHARE = 0.99

#: Highest rate per second, and longest cold time in seconds, that is used. A
#: message could carry numbers with which a bound can't be computed.
RATE_MAX = 1e9


@attrs.frozen
class ColdBounds:
    """Bound of the requests that a cold target gets in any second.

    It is ``per_second * over + slack`` with the rate of its service.

    :param over: factor
    :param slack: further requests
    """

    over: float = 1.5
    slack: float = 5.0


@attrs.frozen
class Allowance:
    """Token bucket of the requests that a cold target may get.

    :param per_second: requests per second that the target bears; 0 while no
        rate is known, and then there is no bound
    :param refill: tokens that arrive per second
    :param burst: largest number of tokens
    :param tokens: requests that may be admitted; negative when requests on
        open flows, which can't be refused, have taken more
    :param updated_at: time of ``tokens``, in seconds
    """

    per_second: float = 0.0
    refill: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    updated_at: float = 0.0


def set_rate(
    allowance: Allowance, per_second: float, bounds: ColdBounds, now: float
) -> Allowance:
    """Return an allowance that refills at another rate from now on.

    The burst and the refill rate of a second together stay within the bound.
    Requests are whole, so that a window may come close to the next number.

    :param per_second: requests per second that the target bears; 0 without a
        bound
    """
    limit = per_second * bounds.over + bounds.slack
    room = (limit - per_second) / 2
    burst = max(1.0, min(BURST_TIME * per_second, room))
    safe = max(0.0, math.floor(limit) + 1 - burst) * REFILL_SHARE
    known = (
        update_tokens(allowance, now) if allowance.per_second else allowance
    )
    return attrs.evolve(
        known,
        per_second=per_second,
        refill=min(per_second, safe),
        burst=burst,
        tokens=min(burst, known.tokens),
    )


def update_tokens(allowance: Allowance, now: float) -> Allowance:
    """Add the tokens that have arrived until now."""
    if not allowance.per_second:
        return allowance
    elapsed = max(0.0, now - allowance.updated_at)
    tokens = max(-allowance.refill, allowance.tokens)
    return attrs.evolve(
        allowance,
        tokens=min(allowance.burst, tokens + allowance.refill * elapsed),
        updated_at=max(now, allowance.updated_at),
    )


def empty_bucket(allowance: Allowance, now: float) -> Allowance:
    """Remove all tokens, at a new start of the target or of the agent."""
    known = update_tokens(allowance, now)
    return attrs.evolve(known, tokens=min(0.0, known.tokens), updated_at=now)


def charge_request(allowance: Allowance, now: float) -> Allowance:
    """Take the token of a request, also when there is none.

    The deficit is limited to the tokens of one second. It then takes that long
    until a flow is admitted, when no window with the requests is left.
    """
    known = update_tokens(allowance, now)
    return attrs.evolve(known, tokens=known.tokens - 1)


def estimate_token_wait(
    allowance: Allowance, requests: int, now: float
) -> float:
    """Return how long until a number of requests may be admitted.

    :param requests: number of requests, at least 1
    :returns: the time, in seconds; infinite when the bound admits none
    """
    if not allowance.per_second:
        return 0.0
    missing = requests - update_tokens(allowance, now).tokens
    if missing <= 0:
        return 0.0
    return missing / allowance.refill if allowance.refill else math.inf
