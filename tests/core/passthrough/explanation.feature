Feature: A balancer explains where a new flow would be placed

  # Guards against an explanation that differs from the decision or changes it.
  # At one flow each 2 ms, the slots of the own zone don't suffice.
  Scenario Outline: 1000 flows, one every <interval> ms, go where the balancer has said
    Given balancers in zones "x" and "y" with 5 agents each
    When 1000 flows are opened, one every <interval> ms, and the balancer is asked before each
    Then each flow was offered first to the agent that the balancer had named, one of <agents>
    And the same targets serve the flows of a system where nobody asks

    Examples:
      | interval | agents |
      | 70       | 5      |
      | 2        | 10     |

  # Guards against an outcome or a reason that isn't the balancer's.
  Scenario Outline: The outcome is <outcome> when <case>
    Given balancers in zones "x" and "y" with 1 agents each
    When <case>
    Then the outcome is <outcome>: "<reason>"
    And this is what happens to a caller that calls then

    Examples:
      | case                             | outcome    | reason                                              |
      | the balancer is asked at once    | target ax0 | lowest cost, by 41.2 ms                             |
      | the target of ax0 leaves         | target ay0 | the only candidate                                  |
      | ax0 has 9 flows                  | target ay0 | lowest cost, by 33.8 ms                             |
      | ax0 and ay0 have 9 flows         | target ax0 | lowest cost, by 41.2 ms                             |
      | ax0 has not answered an offer    | target ay0 | the only candidate that has answered its last offer |
      | ax0 is silent for 2 s            | target ay0 | the only candidate                                  |
      | ax0 and ay0 are silent for 8 s   | wait       | no candidate, but an agent may report in time       |
      | the targets of ax0 and ay0 leave | refused    | no candidate, and none is expected in time          |
      | ax0 and ay0 have 120 flows       | refused    | each of the 2 best candidates has a wait above the budget of 1200.0 ms |

  # Guards against an explanation that ignores the age of the flow.
  Scenario Outline: The outcome for a flow of <age> ms is <outcome> when <case>
    Given balancers in zones "x" and "y" with 1 agents each
    When <case>
    Then the outcome for a flow of <age> ms is <outcome>

    Examples:
      | case                           | age  | outcome    |
      | ax0 and ay0 have 9 flows       | 1100 | target ax0 |
      | ax0 and ay0 have 9 flows       | 1130 | refused    |
      | ax0 and ay0 are silent for 8 s | 1199 | wait       |
      | ax0 and ay0 are silent for 8 s | 1200 | refused    |
      | the balancer has no routes     | 0    | no routes yet |
      | no route has the entry         | 0    | unknown route |

  # Guards against figures that are missing, or listed for the wrong agent.
  Scenario: Each agent is listed with its figures, the best first, and the excluded ones with the reason
    Given balancers in zones "x" and "y" with 2 agents each
    When the target of ax0 leaves
    And ay1 is silent for 8 s
    And ay0 reports a limit of 3 and room for 2.5 cold flows
    Then these agents are listed
      | agent | zone | state   | zone_cost_ms | slots | limit | cold_allowance | reason                                      |
      | ax1   | x    | ready   | 0.0          | 4     | 0     | -1.0           |                                             |
      | ay0   | y    | ready   | 41.25        | 4     | 3     | 2.5            |                                             |
      | ax0   | x    | leaving | 0.0          | 4     | 0     | -1.0           | not ready: its state is leaving             |
      | ay1   | y    | ready   | 0.0          | 4     | 0     | -1.0           | silent: its last report is older than 7.0 s |
    And ay0 and ay1 are listed for zone "y"

  # Guards against responses without a bound, and against a service left out.
  Scenario: Lists are bounded, and each service of a route is explained
    Given balancers in zones "x" and "y" with 50 agents each
    When 3 of 4 flows of the route go to service "s" and the others to "t"
    Then 32 of 100 candidates of service "s" are listed, for 0.75 of the flows
    And 0 of 0 candidates of service "t" are listed, for 0.25 of the flows
    When all agents are silent for 8 s
    Then 32 of 100 excluded of service "s" are listed, for 0.75 of the flows
