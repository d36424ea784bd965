Feature: Nodes and their control instances

  Background:
    Given the control instances "c1 c2 c3" with a quorum

  Scenario: A node serves once a linearizable read has shown it current
    When node "n" starts
    And 0.2 seconds pass without linearizable reads
    Then node "n" applies the newest revision and does not serve
    When 1.2 seconds pass without linearizable reads
    Then the newest revision counts as in force at node "n", not serving
    When 1.5 seconds pass
    Then node "n" serves

  Scenario Outline: A node that has missed many changes comes back
    Given node "n" is up to date
    When node "n" is cut off and <count> changes are accepted
    Then node "n" still applies what it had
    When node "n" is connected again and 12 seconds pass
    Then node "n" applies the newest revision and serves
    And it has been sent <way>

    Examples:
      | count | way        |
      | 1     | a delta    |
      | 300   | a delta    |
      | 1100  | a snapshot |

  Scenario Outline: A control instance fails
    Given node "n" is up to date
    When its control instance is <fault>
    And <seconds> seconds pass
    Then node "n" has moved to another control instance
    And a change is in force at node "n" within 1 second
    And node "n" never left the members

    Examples:
      | fault                  | seconds |
      | killed                 | 3       |
      | cut off from nodes     | 3       |
      | isolated from others   | 5       |

  Scenario: An isolated control instance never makes stale state look fresh
    Given node "n" is up to date
    When its control instance is isolated from others
    And node "n" can reach no other
    And 4 seconds pass
    Then node "n" knows that its state is stale
    And node "n" serves

  Scenario: An answer that waited on its way does not count as fresh
    Given node "n" is up to date
    When node "n" is paused for 60 seconds and then reads old answers
    Then node "n" knows that its state is stale

  Scenario: No control instance is reachable
    Given node "n" is up to date
    When every control instance is killed
    And 60 seconds pass
    Then node "n" has heard of none and serves

  Scenario: A restart of control expires nobody and brings no herd
    Given 200 nodes are up to date
    When every control instance is killed
    And 8 seconds pass
    And every control instance is back
    And 15 seconds pass
    Then no node has left the members
    And no tenth of a second saw more than 60 nodes connect

  Scenario Outline: A lease
    Given node "n" is up to date
    When node "n" <event>
    And <seconds> seconds pass
    Then node "n" is <outcome>

    Examples:
      | event                            | seconds | outcome       |
      | is killed                        | 2       | a member      |
      | is killed                        | 4       | not a member  |
      | leaves                           | 1       | not a member  |
      | is killed with its instance      | 8       | a member      |
      | is killed with its instance      | 18      | not a member  |
      | sees its instance pause          | 20      | a member      |

  Scenario: An older incarnation is fenced
    Given node "n" is up to date
    When a process with an older incarnation of node "n" starts
    And 3 seconds pass
    Then the newer incarnation of node "n" is the member

  Scenario: The status names the nodes that lag behind
    Given 3 nodes are up to date
    When node "n1" is cut off and 1 changes are accepted
    And 1 seconds pass
    Then the newest revision is in force at all nodes but "n1"

  Scenario: A node that control has not heard since it started does not count as applying anything
    Given node "n" is up to date
    When node "n" is cut off and 1 changes are accepted
    And every control instance is killed
    And control starts with an empty state, and replays the log later
    Then the newest revision is in force at all nodes but "n"

  Scenario: Revisions only grow, and all nodes converge
    Then random faults never make a node go back, and all converge

  Scenario: Deltas of any size lead to what is published
    Then random deltas on 300 targets give the same as a new sort
