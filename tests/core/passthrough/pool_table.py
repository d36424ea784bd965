"""Print how pools and short flows are served under three placements."""

from __future__ import annotations

import json
import sys
from types import SimpleNamespace

from crest_steps import choose_at_random
from crest_steps import inform_perfectly
from pistachiohook_core.passthrough.placement import choose_agent
from pool_steps import build
from pool_steps import play

#: Callers, length of the load in seconds, and loads in slots of 100.
CALLERS, LENGTH, LOADS = 90, 20, (40, 60, 80)

#: Time within which an answer counts as prompt, in seconds.
PROMPT = 0.12

KINDS = ('pools', 'short flows', 'pools and short ones')

PLACEMENTS = {
    'random': lambda _: choose_at_random,
    'actual': lambda _: choose_agent,
    'perfect knowledge': inform_perfectly,
}


def measure(kind, load, make_placement):
    """Return the requests, the answered and the promptly answered ones."""
    context = SimpleNamespace()
    build(context, 9, 9, 3)
    for balancer in context.mesh.balancers.values():
        balancer.choose_agent = make_placement(context.mesh)
    play(context, CALLERS, kind, load, LENGTH)
    requests = context.mesh.requests
    answered = [one for one in requests if one.outcome == 'answered']
    prompt = [one for one in answered if one.ended_at - one.began_at <= PROMPT]
    return {
        'requests': len(requests),
        'answered': round(len(answered) / len(requests), 4),
        'prompt': round(len(prompt) / len(requests), 4),
    }


def main():
    """Print one line of JSON for each kind, load and placement."""
    for kind in KINDS:
        for load in LOADS:
            for name, make_placement in PLACEMENTS.items():
                figures = measure(kind, load, make_placement)
                line = {'kind': kind, 'load': load, 'placement': name}
                print(json.dumps({**line, **figures}))
                sys.stdout.flush()


if __name__ == '__main__':
    main()
