"""Print how targets that differ are served under four rules."""

from __future__ import annotations

from functools import partial
import json
import math
import sys

from pistachiohook_core.passthrough.placement import Choice
from pistachiohook_core.passthrough.placement import choose_agent
from pistachiohook_core.passthrough.placement import estimate_wait
from pistachiohook_core.passthrough.placement import PATIENCE_MARGIN_MS
from uneven_mesh import play
from uneven_mesh import SERVICE
from uneven_mesh import UnevenMesh

#: Slots of each target, length of the load, target latency, deadline and
#: seconds, and loads as shares of the true capacity.
SLOTS, LENGTH, LATENCY, DEADLINE = 4, 10.0, 0.275, 1.2
LOADS = (0.5, 0.8, 1.1)

#: Speed and knee of each target, and the speed of the last one from the middle
#: of the load on.
KINDS = {
    'speeds 1:1': ([(1, 4)] * 4, None),
    'speeds 1:2': ([(1, 4), (1, 4), (2, 4), (2, 4)], None),
    'speeds 1:4': ([(1, 4), (1, 4), (4, 4), (4, 4)], None),
    'slower from half on': ([(1, 2)] * 4, None),
    'half of them slower from half on': (
        [(1, 4), (1, 4), (1, 2), (1, 2)],
        None,
    ),
    'one becomes 4 times slower': ([(1, 4)] * 4, 0.25),
    'one becomes 4 times faster': ([(1, 4)] * 3 + [(0.25, 4)], 1.0),
}
RULES = ('current', 'learned', 'fixed true weights', 'perfect knowledge')


def build(targets):
    mesh = UnevenMesh()
    for number in range(2):
        mesh.add_balancer(f'b{number}', 'x')
    for number, (speed, knee) in enumerate(targets):
        mesh.add_target(f'a{number}', 'x', SLOTS, speed, knee)
    mesh.set_routes('s')
    mesh.run(0.5)
    return mesh


def choose_by_weight(mesh, views, route, zone, tried, random, now):
    """Choose at random by the true capacities, which are fixed."""
    del route, zone, now
    eligible = [view for view in views if view.address not in tried]
    if not eligible:
        return None
    names = [view.address.host for view in eligible]
    weights = [mesh.work[name].speed * mesh.work[name].knee for name in names]
    return Choice(random.choices(eligible, weights)[0], 0.0, math.inf)


def choose_perfectly(mesh, views, route, zone, tried, random, now):
    """Choose the target that answers first by its true state."""
    del route, zone, random
    costs = []
    for view in views:
        if view.address in tried:
            continue
        name = view.address.host
        inform(mesh, name)
        load = mesh.agents[name].describe_load(now)
        wait = estimate_wait(load, load.flows)
        slower = max(1.0, min(load.flows + 1, SLOTS) / load.limit)
        costs.append((wait + load.service_ms * slower, name, wait, view))
    if not costs:
        return None
    best, *others = sorted(costs, key=lambda cost: cost[:2])
    lead = others[0][0] - best[0] if others else math.inf
    return Choice(best[3], best[2], best[2] + lead + PATIENCE_MARGIN_MS)


def inform(mesh, name):
    work, capacity = mesh.work[name], mesh.agents[name].capacity
    capacity.limit = work.knee
    capacity.service_ms = SERVICE * 1000 / work.speed


def measure(kind, load, rule):
    """Return the figures of one kind of targets under one rule."""
    targets, later = KINDS[kind]
    mesh = build(targets)
    chosen = {
        'fixed true weights': partial(choose_by_weight, mesh),
        'perfect knowledge': partial(choose_perfectly, mesh),
    }.get(rule, choose_agent)
    for balancer in mesh.balancers.values():
        balancer.choose_agent = chosen
    for name, agent in mesh.agents.items():
        agent.capacity.learns = rule == 'learned'
        if rule == 'perfect knowledge':
            inform(mesh, name)
    if later is not None:
        middle = mesh.now + LENGTH / 2
        mesh.at(middle, mesh.set_speed, [f'a{len(targets) - 1}'], later)
    capacity = sum(speed * knee for speed, knee in targets) / SERVICE
    if later == 0.25:
        capacity -= 0.75 * SLOTS / SERVICE
    calls = play(mesh, load * capacity, LENGTH, DEADLINE, retries=2)
    ends = [(one, mesh.find_last_attempt(one)) for one in calls]
    times = sorted(
        end.ended_at - one.began_at
        for one, end in ends
        if end.outcome == 'answered'
    )
    refused = sum(end.outcome == 'refused' for _, end in ends)
    return {
        'calls': len(calls),
        'prompt': round(sum(t <= LATENCY for t in times) / len(calls), 4),
        'p50_ms': round(times[len(times) // 2] * 1000),
        'p99_ms': round(times[len(times) * 99 // 100] * 1000),
        'refused': refused,
        'limits': [agent.capacity.limit for agent in mesh.agents.values()],
    }


def main():
    """Print one line of JSON for each kind, load and rule."""
    for kind in KINDS:
        for load in LOADS:
            for rule in RULES:
                figures = measure(kind, load, rule)
                line = {'targets': kind, 'load': load, 'rule': rule}
                print(json.dumps({**line, **figures}))
                sys.stdout.flush()


if __name__ == '__main__':
    main()
