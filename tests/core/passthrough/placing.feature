Feature: New flows are placed where callers are answered soonest

  Scenario: Flows stay in the own zone while it has free slots
    Given balancers in zones "x" and "y" with 2 agents each
    When 3 callers in each zone call every 40 ms for 2 s
    Then all calls are answered and none crosses zones

  Scenario: A load peak in one zone is spread to free slots of the other
    Given balancers in zones "x" and "y" with 2 agents each
    When 12 callers of zone "x" call every 40 ms for 2 s
    Then 98 of 100 calls are answered within 275 ms
    And some calls have crossed zones

  Scenario: Balancers spread load evenly without communicating with each other
    Given 4 balancers in zone "x" with 4 agents
    When callers load 70 of 100 slots for 5 s
    Then 98 of 100 calls are answered within 275 ms
    And the busiest target has run at most 1.25 times the mean

  Scenario Outline: A wait is estimated from the flows that are ahead
    Given a target with <slots> slots, <flows> flows and 50 ms for each flow
    Then one more flow waits <wait> ms

    Examples:
      | slots | flows | wait |
      | 4     | 0     | 0    |
      | 4     | 3     | 0    |
      | 4     | 4     | 12.5 |
      | 2     | 5     | 100  |

  Scenario: Calls that can't be answered in time are refused at once
    Given balancers in zones "x" and "y" with 1 agents each
    When 600 callers of zone "x" call at once
    Then every call is answered or refused
    And each refused call was refused within 300 ms and has not run

  Scenario: A burst is queued at the agents instead of being shed by targets
    Given 2 balancers in zone "x" with 3 agents whose targets queue 4
    When 90 callers of zone "x" call at once
    Then all calls are answered and no target has shed any
    And half of the calls are answered within 450 ms

  Scenario: Flows of a higher priority go first in a burst
    Given 2 balancers in zone "x" with 2 agents whose targets queue 4
    When 60 callers call at once, every third of them on an urgent route
    Then the urgent calls took at most half as long as the others on average

  Scenario: Flows that wait at an agent whose target starts to leave are placed elsewhere
    Given 1 balancers in zone "x" with 2 agents whose targets queue 4
    When 30 callers of zone "x" call at once and a target starts to leave
    Then all calls are answered and no target has shed any

  # When the outage ends, the calls of the last 1.2 s, which is their deadline,
  # are still pending. At a load L, this backlog is drained after
  # 1.2 L / (1 - L) s. Of the calls in the last 0.6 s of the outage, 45 of 100
  # can still meet the target latency. New calls go before the other ones, which
  # get the free share 1 - L of the slots for the 1.2 s until their deadline: at
  # a load of 50 of 100 slots, that is enough for all their work; at 70 of 100,
  # for 0.36 of 0.84, or 43 of 100 calls.
  Scenario Outline: The backlog of an outage of <outage> s under a load of <load> of 100 slots drains
    Given 2 balancers in zone "x" with 4 agents whose targets queue 4
    When callers with a deadline of 1200 ms and 2 retries load <load> of 100 slots for 9 s
    And all balancers drop all packets from 2 s on for <outage> s
    Then of the calls from <drained> s after the outage on, 95 of 100 are answered within 275 ms
    And of the calls during the last 0.6 s of the outage, <answered> of 100 are answered

    Examples:
      | outage | load | drained | answered |
      | 2.0    | 50   | 1.2     | 90       |
      | 2.0    | 70   | 2.8     | 68       |
      | 4.0    | 70   | 2.8     | 68       |

  Scenario: Half-open flows of callers that are gone do not block other callers
    Given 1 balancers in zone "x" with 1 agents whose targets queue 4
    When 20 callers send an opening packet and disappear, and 10 others call after 5 ms
    Then the other callers are answered within 600 ms

  Scenario: A balancer with a small CPU quota does not take its own pauses for missing answers
    Given 2 balancers in zone "x" with 4 agents whose targets queue 4
    When each balancer runs for 0.3 of 100 of the time and 200 callers call within 4 s
    Then all calls are answered and no target has shed any
    And no offer has timed out

  Scenario: While nobody calls, few messages are sent between zones
    Given balancers in zones "x" and "y" with 4 agents each
    When nobody calls for 30 s
    Then each agent has sent the other zone's balancer at most 11 messages
    And every balancer knows 8 reporting agents

  Scenario Outline: What an agent sends between zones does not grow with <balancers> balancers there
    Given <balancers> balancers in zone "x" and 2 agents in zone "y"
    When nobody calls for 60 s
    Then each agent has sent at most 6 messages a second
    And every balancer knows 2 reporting agents

    Examples:
      | balancers |
      | 4         |
      | 48        |
      | 192       |

  Scenario Outline: What an agent sends does not grow with <balancers> balancers
    Given <balancers> balancers in zone "x" with 4 agents
    When nobody calls for 20 s
    Then each agent has sent at most 36 messages a second
    And every balancer knows 4 reporting agents

    Examples:
      | balancers |
      | 6         |
      | 24        |
      | 96        |

  Scenario: Delayed retransmissions of a refused caller do not cause new offers
    Given 1 balancers in zone "x" with 1 agents whose targets queue 4
    When the target starts to leave, and an opening packet arrives with its retransmissions after 0.7 s
    Then the balancer has refused the flow once and has sent a reset for each packet
    When a new flow from the same port is opened after the target has restarted
    Then it is offered to an agent

  # Each check costs a wake-up of the process, also while nothing happens.
  Scenario: An agent checks its flows often only while some are being opened
    Given 1 balancers in zone "x" with 2 agents
    When 20 callers call through "b0"
    Then all calls are answered and no target has shed any
    When nobody calls for 4 s
    And nobody calls for 20 s
    Then each agent has checked its flows at most 2 times a second
