"""Measure goodput while demand is ten times as high: the crest.

Simulates one service under the scheduler and under two baselines, which queue
first in, first out: one sends each request to the owner of its flow, the other
to a random target.
"""

from __future__ import annotations

import json
from random import Random
import sys

import attrs
from pistachiohook_core.requests.scheduler import SchedulerSettings
from request_bench import compute_quantile
from request_bench import compute_work_bound
from request_bench import Job
from request_bench import Results
from request_bench import run_fifo
from request_bench import Service

#: Seeds of the runs; the worst figure over all of them is reported.
SEEDS = (1, 2, 3)

#: Targets of the service, and slots of each.
TARGETS, SLOTS = 7, 2

#: Start and end of the crest, and end of the arrivals, in seconds of virtual
#: time.
CREST_START, CREST_END, ARRIVALS_END = 10.0, 20.0, 30.0

#: Offered load outside the crest, as a share of the slots, and the factor by
#: which the arrival rate is higher during the crest.
BASE_LOAD, CREST_FACTOR = 0.3, 10.0

#: Number of flows, and the share of requests that come on the first one; the
#: rest are spread evenly over all flows.
FLOWS, BUSIEST_SHARE = 500, 0.1

#: Smallest goodput during the crest, as a share of the upper bound.
GOODPUT_SHARE_MIN = 0.95


@attrs.frozen
class Route:
    """One kind of request.

    :param name: method and path pattern
    :param share: share of all requests
    :param run_time: mean run time without the straggler factor, in seconds
    :param timeout: time after which the caller stops waiting, in seconds
    :param straggler_share: share of its requests that are stragglers
    """

    name: str
    share: float
    run_time: float
    timeout: float
    straggler_share: float = 0.0


#: Factor by which the run time of a straggler is longer.
STRAGGLER_FACTOR = 20.0

#: Routes of the service.
ROUTES = (
    Route('GET /books', 0.7, 0.03, 2.0),
    Route('POST /loans', 0.28, 0.05, 2.0, straggler_share=0.01),
    Route('POST /reservations', 0.02, 0.8, 8.0),
)


def main() -> int:
    """Print the figures of each seed, and the worst of each as JSON.

    :returns: 0 when they are within the bounds, else 1
    """
    figures_by_seed = [measure_seed(seed) for seed in SEEDS]
    for seed, figures in zip(SEEDS, figures_by_seed, strict=True):
        print(f'seed {seed}: {json.dumps(figures)}')
    worst = {
        name: (min if name.endswith(('goodput_share', 'met_share')) else max)(
            figures[name] for figures in figures_by_seed
        )
        for name in figures_by_seed[0]
    }
    print(json.dumps(worst))
    within_bounds = (
        worst['goodput_share'] >= GOODPUT_SHARE_MIN
        and not worst['refused_but_run']
        and not worst['run_twice']
    )
    return 0 if within_bounds else 1


def measure_seed(seed: int) -> dict[str, float]:
    """Return the figures of one seed, for the scheduler and the baselines."""
    jobs = make_jobs(Random(seed))
    crest = [job for job in jobs if CREST_START <= job.arrival < CREST_END]
    bound = compute_work_bound(jobs, TARGETS * SLOTS, CREST_START, CREST_END)
    tail_bound = compute_work_bound(
        crest, TARGETS * SLOTS, CREST_START, ARRIVALS_END
    )
    service = Service(TARGETS, SchedulerSettings(slots=SLOTS), ARRIVALS_END)
    results = service.run(jobs)
    fifo = run_fifo(jobs, TARGETS, SLOTS, None)
    random_spread = run_fifo(jobs, TARGETS, SLOTS, Random(seed))
    admitted = [job for job in crest if job.id not in results.refused]
    in_time = list_answered_in_time(admitted, results)
    times = [results.answered[job.id] - job.arrival for job in in_time]
    return {
        'goodput_share': compute_crest_goodput(jobs, results, bound),
        'baseline_goodput_share': compute_crest_goodput(jobs, fifo, bound),
        'random_goodput_share': compute_crest_goodput(
            jobs, random_spread, bound
        ),
        'goodput_with_tail_share': compute_tail_goodput(
            crest, results, tail_bound
        ),
        'p99_ms': round(compute_quantile(times, 0.99) * 1000, 1),
        'refused_share': round(1 - len(admitted) / len(crest), 4),
        'refused_but_run': sum(results.runs[i] > 0 for i in results.refused),
        'run_twice': sum(runs > 1 for runs in results.runs.values()),
        'deadline_met_share': round(len(in_time) / max(1, len(admitted)), 4),
    }


def compute_crest_goodput(
    jobs: list[Job], results: Results, bound: float
) -> float:
    """Return the goodput during the crest.

    It is the work done during the crest on requests that were answered within
    their deadlines.

    :param bound: upper bound on that work, in seconds
    :returns: share of the bound
    """
    done = 0.0
    for job in list_answered_in_time(jobs, results):
        start = job.arrival + results.waits[job.id]
        done += max(
            0.0, min(start + job.run_time, CREST_END) - max(start, CREST_START)
        )
    return round(done / bound, 4)


def compute_tail_goodput(
    crest: list[Job], results: Results, bound: float
) -> float:
    """Return the goodput of the requests that arrived during the crest.

    Their work counts also when it is done after the crest.

    :param bound: upper bound on that work, in seconds
    :returns: share of the bound
    """
    return round(
        sum(job.run_time for job in list_answered_in_time(crest, results))
        / bound,
        4,
    )


def list_answered_in_time(jobs: list[Job], results: Results) -> list[Job]:
    """Return the jobs that were answered within their deadlines."""
    never = float('inf')
    return [
        job
        for job in jobs
        if results.answered.get(job.id, never) <= job.deadline
    ]


def make_jobs(random: Random) -> list[Job]:
    """Return the requests of one seed, in the order of their arrival."""
    mean = sum(
        r.share * r.run_time * (1 + r.straggler_share * (STRAGGLER_FACTOR - 1))
        for r in ROUTES
    )
    base = BASE_LOAD * TARGETS * SLOTS / mean
    owners = [random.randrange(TARGETS) for _ in range(FLOWS)]
    jobs: list[Job] = []
    now = 0.0
    while True:
        crest = CREST_START <= now < CREST_END
        now += random.expovariate(base * (CREST_FACTOR if crest else 1.0))
        if now >= ARRIVALS_END:
            return jobs
        jobs.append(make_job(random, len(jobs), now, owners))


def make_job(
    random: Random, number: int, now: float, owners: list[int]
) -> Job:
    """Return one request of a random route."""
    route = random.choices(ROUTES, [r.share for r in ROUTES])[0]
    is_straggler = random.random() < route.straggler_share
    run_time = random.expovariate(1 / route.run_time)
    busiest = random.random() < BUSIEST_SHARE
    flow = 0 if busiest else random.randrange(FLOWS)
    return Job(
        id=number,
        arrival=now,
        flow=str(flow),
        route=route.name,
        run_time=run_time * (STRAGGLER_FACTOR if is_straggler else 1.0),
        deadline=now + route.timeout,
        owner=owners[flow],
    )


if __name__ == '__main__':
    sys.exit(main())
