Feature: Malformed, replayed and random input at every port

  Random data, drawn from a fixed seed, arrives at each port. Datagram ports
  count every datagram as dropped or handled, and no task of the balancer or
  the agent ends.

  Scenario Outline: <kind> datagrams at the <port>
    Given a balancer and an agent with a published service
    When 200 <kind> datagrams arrive at the <port>
    Then all datagrams are counted as dropped or handled
    And all tasks of both roles are still running

    Examples:
      | kind      | port                   |
      | random    | balancer's entry port  |
      | truncated | balancer's entry port  |
      | oversized | balancer's entry port  |
      | random    | balancer's sealed port |
      | truncated | balancer's sealed port |
      | oversized | balancer's sealed port |
      | replayed  | balancer's sealed port |
      | random    | agent's sealed port    |
      | truncated | agent's sealed port    |
      | oversized | agent's sealed port    |
      | replayed  | agent's sealed port    |

  Scenario Outline: Connections with random bytes to the <port>
    Given a balancer and an agent with a published service
    When 50 connections send random bytes to the <port>
    Then all tasks of both roles are still running
    And the agent still handles a message from a peer

    Examples:
      | port                   |
      | agent's link port      |
      | agent's hand-over port |

  # Guards against a task that ends with each poll of one target.
  Scenario Outline: A target reports its load <how>
    When a target reports its load <how>
    Then there is no valid report of its load, and no exception is raised

    Examples:
      | how                          |
      | nested 100,000 deep          |
      | with infinitely many slots   |
      | with slots above 64 bits     |
      | with fewer slots than 0      |

  Scenario: A header field that is not valid UTF-8
    Given a balancer and an agent with a published service
    When a caller sends a header field with the bytes ff fe
    Then all tasks of both roles are still running
    And the agent has counted 1 request

  Scenario: An exception in one flow does not affect another flow
    Given a balancer and an agent with a published service
    And two flows at the agent, the first of which raises on every datagram
    When a datagram arrives for each flow
    Then the first flow has ended, and the second has received its datagram
    And event 3001 has been reported
    And all tasks of both roles are still running
