Feature: New flows go where callers are answered soonest

  Scenario: The own zone comes first
    Given balancers in zones "x" and "y" with 2 agents each
    When 3 callers a zone call every 40 ms for 2 s
    Then all calls are answered and none crosses zones

  Scenario: A crest in one zone goes to free slots of the other
    Given balancers in zones "x" and "y" with 2 agents each
    When 12 callers of zone "x" call every 40 ms for 2 s
    Then 98 of 100 calls are answered within 275 ms
    And some calls have crossed zones

  Scenario: Balancers that do not know of each other share the slots
    Given 4 balancers in zone "x" with 4 agents
    When callers load 70 of 100 slots for 5 s
    Then 98 of 100 calls are answered within 275 ms
    And the busiest target has run at most 1.25 times the mean

  Scenario Outline: A wait is estimated from what is ahead
    Given a target with <slots> slots, <flows> flows and 50 ms a flow
    Then one more flow waits <wait> ms

    Examples:
      | slots | flows | wait |
      | 4     | 0     | 0    |
      | 4     | 3     | 0    |
      | 4     | 4     | 12.5 |
      | 2     | 5     | 100  |

  Scenario: What can't be answered in time is refused at once
    Given balancers in zones "x" and "y" with 1 agents each
    When 600 callers of zone "x" call at once
    Then every call is answered or refused
    And each refused call was refused within 300 ms and has not run

  Scenario: A surge waits at the agents, where targets would shed it
    Given 2 balancers in zone "x" with 3 agents whose targets queue 4
    When 90 callers of zone "x" call at once
    Then all calls are answered and no target has shed any
    And half of the calls are answered within 450 ms

  Scenario: What is more urgent goes first in a surge
    Given 2 balancers in zone "x" with 2 agents whose targets queue 4
    When 60 callers call at once, each third by an urgent route
    Then the urgent calls took half as long as the others on average

  Scenario: What waits at an agent whose target starts to leave goes elsewhere
    Given 1 balancers in zone "x" with 2 agents whose targets queue 4
    When 30 callers of zone "x" call at once and a target starts to leave
    Then all calls are answered and no target has shed any

  # What callers have begun within their deadline of 1.2 s is still to be done
  # when the outage ends; at a load L it is worked off after 1.2 L / (1 - L) s.
  # Of the last 0.6 s, 45 of 100 can still be prompt. New calls go before the
  # others, which get the spare 1 - L of the slots for the 1.2 s that they have:
  # at 50 of 100 slots all their work, at 70 of 100 0.36 of 0.84, or 43 of 100.
  Scenario Outline: An outage of <outage> s under a load of <load> of 100 slots is over soon
    Given 2 balancers in zone "x" with 4 agents whose targets queue 4
    When callers with a deadline of 1200 ms and 2 retries load <load> of 100 slots for 9 s
    And nothing passes the balancers from 2 s on for <outage> s
    Then of the calls from <drained> s after the outage on, 95 of 100 are answered within 275 ms
    And of the calls during the last 0.6 s of the outage, <held> of 100 are answered

    Examples:
      | outage | load | drained | held |
      | 2.0    | 50   | 1.2     | 90   |
      | 2.0    | 70   | 2.8     | 68   |
      | 4.0    | 70   | 2.8     | 68   |

  Scenario: Callers who have left do not keep a target from serving others
    Given 1 balancers in zone "x" with 1 agents whose targets queue 4
    When 20 callers begin to open a flow and leave, and 10 others call after 5 ms
    Then the others are answered within 600 ms

  Scenario: A balancer that gets a small share of its processor does not mistake its own pauses for silent agents
    Given 2 balancers in zone "x" with 4 agents whose targets queue 4
    When each balancer gets 0.3 of 100 of its time and 200 callers call within 4 s
    Then all calls are answered and no target has shed any
    And no agent was taken for silent

  Scenario: While nobody calls, little is said between zones
    Given balancers in zones "x" and "y" with 4 agents each
    When nobody calls for 30 s
    Then each agent has sent the other zone's balancer at most 11 messages
    And every balancer hears 8 agents

  Scenario: A caller that is refused is not offered anew when its repeats come late
    Given 1 balancers in zone "x" with 1 agents whose targets queue 4
    When the target starts to leave, and a caller's opening packet comes with its repeats after 0.7 s
    Then the balancer has looked for a target once, and has answered each packet
    When a new flow from the same port is opened while the target is back
    Then it is answered
