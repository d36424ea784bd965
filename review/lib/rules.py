"""Checks of the rule FLOW on what consumers and endpoints have seen."""

from system import BOUNDS

WINDOW = BOUNDS['StabilityWindowMs'] / 1000
FLOW_TIME = BOUNDS['FlowMs'] / 1000


class OpenFlow:
    """A flow that is open at an endpoint.

    :param others: when its packets reached other endpoints since one last
        reached its own
    """

    def __init__(self, endpoint, opened):
        self.endpoint, self.opened = endpoint, opened
        self.others = []
        self.used = opened


class FlowRule:
    """Notes each break of FLOW while a case runs.

    :param broken: the breaks, as fields for the record
    """

    def __init__(self, idle_timeout):
        self.idle_timeout = idle_timeout
        self.open = {}
        self.disturbed = {}
        self.broken = []
        self.resets = 0
        self.strayed = 0

    def __call__(self, now, what, fields):
        if what in ('endpoint started', 'endpoint crashed'):
            self.forget(now, fields['endpoint'])
        elif what == 'flow open':
            self.open[fields['flow']] = OpenFlow(fields['endpoint'], now)
        elif what == 'packet at endpoint':
            self.take_packet(now, fields)
        elif what == 'consumer sends':
            self.take_use(now, fields['flow'])
        elif what in ('consumer closes', 'flow ended'):
            self.open.pop(fields['flow'], None)
        elif what == 'reset':
            self.take_reset(now, fields)

    def forget(self, now, endpoint):
        """Note that an endpoint has lost its flows."""
        self.disturbed[endpoint] = now
        self.open = {
            key: flow
            for key, flow in self.open.items()
            if flow.endpoint != endpoint
        }

    def take_use(self, now, key):
        """Leave out a flow that was idle for longer than it may be."""
        flow = self.open.get(key)
        if flow is not None and now - flow.used > self.idle_timeout:
            del self.open[key]
        elif flow is not None:
            flow.used = now

    def counts(self, now, flow):
        calm = now - self.disturbed.get(flow.endpoint, -WINDOW) > WINDOW
        return calm and now - flow.opened < BOUNDS['MaxFlowS']

    def take_reset(self, now, fields):
        flow = self.open.pop(fields['flow'], None)
        if fields['by'] != 'system':
            return
        self.resets += 1
        if flow is not None and self.counts(now, flow):
            self.note(
                'FLOW (a)', now, fields['flow'], flow, reset=f'{now:.3f}'
            )

    def take_packet(self, now, fields):
        flow = self.open.get(fields['flow'])
        if flow is None:
            return
        if fields['endpoint'] == flow.endpoint:
            flow.others = []
            return
        self.strayed += 1
        flow.others.append((now, fields['endpoint']))
        first = flow.others[0][0]
        # Three or more within the time, and none at its own all the while.
        if (
            len(flow.others) >= 3
            and now - first >= FLOW_TIME
            and self.counts(now, flow)
        ):
            del self.open[fields['flow']]
            names = sorted({name for _, name in flow.others})
            self.note(
                'FLOW (b)',
                now,
                fields['flow'],
                flow,
                strayed=len(flow.others),
                to=','.join(names),
                since=f'{first:.3f}',
                until=f'{now:.3f}',
            )

    def note(self, rule, now, key, flow, **fields):
        self.broken.append(
            {
                'rule': rule,
                'consumer': '{}:{}'.format(*key[0]),
                'endpoint': flow.endpoint,
                'endpoint_undisturbed_since': (
                    f'{self.disturbed.get(flow.endpoint, 0.0):.3f}'
                ),
                'flow_opened': f'{flow.opened:.3f}',
                **fields,
            }
        )
