Feature: Stand-ins for fabric, target and caller

  Scenario Outline: A caller's work goes whole through a damaged fabric
    Given a service behind a fabric with loss <loss>, reordering <reordering> and duplication <duplication>
    When a caller sends 20 orders, a feed of 15 lines and an upload of 300000 bytes
    Then 22 requests are counted and nothing is wrong
    And each order ran once at the target

    Examples:
      | loss | reordering | duplication |
      | 0    | 0          | 0           |
      | 0.02 | 0          | 0           |
      | 0    | 0.1        | 0           |
      | 0    | 0          | 0.2         |

  Scenario Outline: A caller counts what the service gets wrong
    Given a service behind a fabric with loss 0, reordering 0 and duplication 0
    And the service does <fault>
    When a caller sends 2 orders, a feed of 5 lines and an upload of 1000 bytes
    Then the count of <count> is not 0

    Examples:
      | fault                  | count         |
      | run each order twice   | doubled       |
      | answer as another      | wrong_service |
      | skip a line of a feed  | broken_flows  |
      | refuse what it has run | false_refusals |
      | answer with another digest | crossed   |
      | reset every flow       | broken_flows  |

  Scenario Outline: A request that was not answered is not called refused
    Given a service behind a fabric with loss 0, reordering 0 and duplication 0
    And the service does <fault>
    When a caller sends 1 orders, a feed of 1 lines and an upload of 10 bytes
    Then <lost> requests are lost and <refused> refused

    Examples:
      | fault               | lost | refused |
      | refuse all          | 3    | 3       |
      | refuse once, then answer | 0 | 0     |
      | never answer        | 3    | 0       |

  Scenario: Arrivals follow the demand and the seed
    Given a demand of 10 a second with a crest of 50 in each second half of 4 seconds
    When arrivals are planned for 400 seconds with seed 7
    Then about 2000 lie off the crest and 10000 at it
    And the same seed plans the same again

  Scenario: A balancer without health gets no datagram
    Given a service behind a fabric with loss 0, reordering 0 and duplication 0
    And a second balancer whose health endpoint answers 503
    When a caller sends 5 orders, a feed of 2 lines and an upload of 1000 bytes
    Then the second balancer got no datagram

  Scenario: A target without a free slot sheds and says that nothing ran
    Given a target with 2 slots and orders that run for ever
    When 3 orders arrive over HTTP
    Then one is refused with 503 as not run
    And the load endpoint tells 2 of 2 slots
    When the connections of the others close
    Then the target is idle and has counted 2 cancelled requests

  Scenario: A target honours the deadline of a request
    Given a target with 2 slots and orders that run for ever
    When an order with a deadline of 0.05 seconds arrives
    Then the answer is 504 and the target is idle

  Scenario: A draining target sheds new work
    Given a target with 2 slots and orders that run for ever
    When it is drained and an order arrives
    Then one is refused with 503 as not run
    And its health endpoint answers 503
