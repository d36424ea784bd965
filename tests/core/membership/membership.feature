Feature: Subscriptions of nodes to control instances

  Background:
    Given the control instances "c1 c2 c3" with a quorum

  Scenario: A node serves only after a linearizable read has confirmed its state
    When node "n" starts
    And 0.2 seconds pass without linearizable reads
    Then node "n" applies the newest revision and does not serve
    When 1.2 seconds pass without linearizable reads
    Then the newest revision counts as applied by node "n", which does not serve
    When 1.5 seconds pass
    Then node "n" serves

  Scenario Outline: A node that missed changes catches up when it reconnects
    Given node "n" is up to date
    When node "n" is cut off and <count> changes are accepted
    Then node "n" still applies its last state
    When node "n" is connected again and 12 seconds pass
    Then node "n" applies the newest revision and serves
    And it has been sent <update>

    Examples:
      | count | update     |
      | 1     | a delta    |
      | 300   | a delta    |
      | 1100  | a snapshot |

  Scenario Outline: A node moves to another control instance when its own one fails
    Given node "n" is up to date
    When its control instance is <fault>
    And <seconds> seconds pass
    Then node "n" has moved to another control instance
    And node "n" applies a new change within 1 second
    And node "n" was never removed from the members

    Examples:
      | fault                | seconds |
      | killed               | 3       |
      | cut off from nodes   | 3       |
      | isolated from others | 5       |

  Scenario: An isolated control instance never makes stale state look fresh
    Given node "n" is up to date
    When its control instance is isolated from others
    And node "n" can reach no other control instance
    And 4 seconds pass
    Then node "n" knows that its state is stale
    And node "n" serves

  Scenario: An answer that was delayed on the network does not count as fresh
    Given node "n" is up to date
    When node "n" is paused for 60 seconds and then receives the delayed answers
    Then node "n" knows that its state is stale

  Scenario: No control instance is reachable
    Given node "n" is up to date
    When every control instance is killed
    And 60 seconds pass
    Then node "n" finds control unreachable and serves

  Scenario: A restart of control expires no lease and causes no burst of connections
    Given 200 nodes are up to date
    When every control instance is killed
    And 8 seconds pass
    And every control instance restarts
    And 15 seconds pass
    Then no node was removed from the members
    And at most 60 nodes connected at the same tenth of a second

  Scenario Outline: A lease expires only when its node has failed or left
    Given node "n" is up to date
    When node "n" <event>
    And <seconds> seconds pass
    Then node "n" is <outcome>

    Examples:
      | event                                          | seconds | outcome      |
      | is killed                                      | 2       | a member     |
      | is killed                                      | 4       | not a member |
      | leaves                                         | 1       | not a member |
      | is killed together with its control instance   | 8       | a member     |
      | is killed together with its control instance   | 18      | not a member |
      | is connected to a control instance that pauses | 20      | a member     |

  Scenario: A process with an older incarnation is rejected
    Given node "n" is up to date
    When a process with an older incarnation of node "n" starts
    And 3 seconds pass
    Then the newer incarnation of node "n" is the member

  Scenario: The status lists the nodes that have not applied the newest revision
    Given 3 nodes are up to date
    When node "n1" is cut off and 1 changes are accepted
    And 1 seconds pass
    Then the newest revision is applied by all nodes but "n1"

  Scenario: A node without a heartbeat since control restarted counts as applying nothing
    Given node "n" is up to date
    When node "n" is cut off and 1 changes are accepted
    And every control instance is killed
    And control starts with an empty state, and replays the log later
    Then the newest revision is applied by all nodes but "n"

  Scenario: No node goes back to an earlier revision, and all nodes converge
    Then random faults make no node go back, and all nodes converge

  Scenario: Deltas of any size lead to the published state
    Then random deltas of 300 targets give the same as sorting all targets
