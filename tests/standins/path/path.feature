Feature: Stand-ins for the fabric, targets and callers

  Scenario Outline: All requests succeed through a fabric with faults
    Given a service behind a fabric with loss <loss>, reordering <reordering> and duplication <duplication>
    When a caller sends 20 orders, a feed of 15 lines and an upload of 300000 bytes
    Then the caller counts 22 requests and no failure
    And each order ran once at the target

    Examples:
      | loss | reordering | duplication |
      | 0    | 0          | 0           |
      | 0.02 | 0          | 0           |
      | 0    | 0.1        | 0           |
      | 0    | 0          | 0.2         |

  Scenario Outline: A caller counts each fault of the service
    Given a service behind a fabric with loss 0, reordering 0 and duplication 0
    And the service has the fault "<fault>"
    When a caller sends 2 orders, a feed of 5 lines and an upload of 1000 bytes
    Then the count of <count> is not 0

    Examples:
      | fault                                 | count          |
      | runs each order twice                 | doubled        |
      | answers in another service's name     | wrong_service  |
      | drops a line of each feed             | broken_flows   |
      | refuses as not run what it has run    | false_refusals |
      | answers with the digest of other data | crossed        |
      | sends a stateless reset to every flow | broken_flows   |

  Scenario Outline: Only requests that are refused until the timeout count as refused
    Given a service behind a fabric with loss 0, reordering 0 and duplication 0
    And the service has the fault "<fault>"
    When a caller sends 1 orders, a feed of 1 lines and an upload of 10 bytes
    Then the caller counts <lost> lost and <refused> refused requests

    Examples:
      | fault                             | lost | refused |
      | refuses all requests              | 3    | 3       |
      | refuses once, then answers        | 0    | 0       |
      | never answers                     | 3    | 0       |

  Scenario: Arrivals follow the rates of the demand and repeat with its seed
    Given a demand of 10 arrivals per second, and of 50 in the second half of each 4 seconds
    When arrivals are planned for 400 seconds with seed 7
    Then about 2000 arrive at the base rate and 10000 at the peak rate
    And the same seed gives the same arrivals again

  Scenario: The fabric sends no datagram to an unhealthy balancer
    Given a service behind a fabric with loss 0, reordering 0 and duplication 0
    And a second balancer whose health endpoint answers 503
    When a caller sends 5 orders, a feed of 2 lines and an upload of 1000 bytes
    Then only the first balancer was sent datagrams

  Scenario: A target without a free slot refuses a request as not run
    Given a target with 2 slots and orders that never end
    When 3 orders arrive over HTTP
    Then the last order is refused with 503 as not run
    And the load endpoint reports that 2 of 2 slots are taken
    When the connections of the other orders close
    Then the target is idle and has counted 2 cancelled requests

  Scenario: A target honours the deadline of a request
    Given a target with 2 slots and orders that never end
    When an order with a deadline of 0.05 seconds arrives
    Then the response is 504 and the target is idle

  Scenario: A draining target refuses new requests as not run
    Given a target with 2 slots and orders that never end
    When the target is drained and an order arrives
    Then the last order is refused with 503 as not run
    And the health endpoint answers 503
