Feature: Flows that stay open for many requests are served as well as short ones

  # What occupies a slot is a request. Callers keep several times as many flows
  # open as there are slots, with pauses between the requests.
  Scenario Outline: Callers with <kind> are served by targets with one slot each
    Given 9 balancers and 9 agents over 3 zones whose targets have one slot
    When 90 callers with <kind> load <load> of 100 slots for 20 s
    Then <answered> of 1000 requests are answered and <prompt> of 1000 within 120 ms
    And no open flow has been reset

    Examples:
      | kind                 | load | answered | prompt |
      | pools                | 40   | 998      | 970    |
      | short flows          | 40   | 998      | 970    |
      | pools and short ones | 40   | 998      | 970    |
      | pools                | 60   | 990      | 900    |

  Scenario: The load of pools is balanced over the targets
    Given 9 balancers and 9 agents over 3 zones whose targets have one slot
    When 90 callers with pools load 40 of 100 slots for 20 s
    Then the busiest target has run at most 1.5 times the mean

  Scenario: A target that joins later gets its share of the new flows
    Given 9 balancers and 9 agents over 3 zones whose targets have one slot
    When 90 callers with pools load 40 of 100 slots for 5 s
    And a target joins zone "z0" and 90 other callers come and load 20 of 100 slots for 10 s
    Then the new target has run at least 0.5 times the mean of its zone meanwhile
    And 990 of 1000 requests are answered and 900 of 1000 within 120 ms

  Scenario: Flows that an agent adopts while they are idle do not count as busy
    Given 9 balancers and 9 agents over 3 zones whose targets have one slot
    When 90 callers with pools load 40 of 100 slots for 5 s
    And every agent restarts and the callers go on for 5 s
    Then 990 of 1000 requests are answered and 900 of 1000 within 120 ms
    And no open flow has been reset
    When nobody calls for 2 s
    Then no flow is in progress at any agent

  Scenario: An agent that stops waits for requests and not for idle flows
    Given 9 balancers and 9 agents over 3 zones whose targets have one slot
    When 90 callers with pools load 40 of 100 slots for 5 s
    And nobody calls for 2 s
    Then no flow is in progress at any agent
    And flows are open at every agent
