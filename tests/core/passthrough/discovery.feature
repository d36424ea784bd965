Feature: Nodes discover control and each other from seeds

  Scenario: Before the first answer, the seeds are asked
    Given a node in zone "x" with the seeds "c1" and "c2"
    Then it asks "c1" and "c2"

  Scenario: Only the instance of the own zone is asked while it answers
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" and "c2" of zone "y" answer
    Then it asks "c1"
    And after 1.2 seconds without an answer it asks "c1" and "c2"

  Scenario: All instances are asked when the one of the own zone has no quorum
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers with a quorum confirmation that is 1500 ms old
    Then it asks "c1" and "c2"

  Scenario: Instances that are not seeds are learned from answers and kept
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "y" answers and lists the instance "c3"
    And 3 seconds pass
    Then it asks "c1", "c2" and "c3"

  Scenario: All instances are asked regularly, in case the own one is isolated and unaware of it
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers for 2.5 seconds
    Then it has asked "c2" at least 1 time

  Scenario: Only the instance of the own zone lists nodes while it answers
    Given a node in zone "x" with the seeds "c1" and "c2"
    Then "c2" is asked to list nodes
    When "c1" of zone "x" and "c2" of zone "y" answer
    Then "c1" is asked to list nodes
    And "c2" is asked for a brief answer
    And after 1.2 seconds without an answer "c2" is asked to list nodes

  Scenario: One instance of the own zone is asked, best one with a disk
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" and "c2" of zone "x" answer
    Then one instance alone is asked
    When "c2" of zone "x" answers and has a disk
    Then it asks "c2"
    And after 1.2 seconds without an answer it asks "c1" and "c2"

  Scenario Outline: What a node sends does not grow with <number> control instances
    Given a node in zone "x" that knows <number> control instances, one of them in its zone
    When the one of its zone answers for 60 seconds
    Then the node has sent at most 3.6 hellos a second
    And it has asked each control instance

    Examples:
      | number |
      | 5      |
      | 15     |
      | 49     |

  # While control is disturbed, all nodes of a large deployment do so at once.
  Scenario Outline: Without a quorum, a node asks few of <number> control instances at a time
    Given a node in zone "x" that knows <number> control instances, one of them in its zone
    When without a quorum the one of its zone answers for 30 seconds
    Then the node has asked at most 6 instances at a time
    And it has asked the one of its zone each time
    And it has asked each control instance

    Examples:
      | number |
      | 5      |
      | 15     |
      | 49     |

  Scenario: Without an instance of the own zone, one other lists nodes
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "y" and "c2" of zone "z" answer
    Then one instance alone is asked to list nodes
    And after 1.2 seconds without an answer "c1" is asked to list nodes
    And "c2" is asked to list nodes

  Scenario: A balancer that surveys a control instance does not change its lists
    Given control instances "c1" and "c2"
    And a node in zone "x" with the seeds "c1" and "c2"
    When for 20 seconds the node polls "c1", and "c2" relays "b1" to it, which surveys it every 4 seconds
    Then it was sent the lists 1 time
    And the balancer "b1" is known

  Scenario: A balancer is relayed by the control instances of its own zone
    Given "c1" of zone "x" and "c2" of zone "y" are control instances
    When "c1" hears the balancer "b1" of zone "x"
    And "c1" hears the balancer "b2" of zone "y"
    Then "c1" relays "b1" and "b2"
    When "c1" hears the control instance "c2"
    Then "c1" relays "b1"

  Scenario: A node that has the newest lists is not sent them again and keeps them
    Given control instances "c1" and "c2"
    And a node in zone "x" with the seeds "c1" and "c2"
    When a balancer "b1" sends a hello to "c1"
    And the node polls "c1" for 20 seconds while "b1" does so too
    Then it was sent the lists 1 time
    And the balancer "b1" is known
    When the hellos of "b1" stop and the node polls "c1" for 5 seconds
    Then it was sent the lists 2 times
    And after 13 seconds it is no longer known

  Scenario: A brief answer lists no nodes
    Given control instances "c1" and "c2"
    When a balancer "b1" sends a hello to "c1"
    Then an agent that asks "c1" for a brief answer gets no balancer
    And an agent that asks "c1" gets "b1"

  Scenario: Routes are confirmed only by an answer with a recent quorum confirmation
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers with version 7 and a quorum confirmation that is 1500 ms old
    Then version 7 is not confirmed
    When "c2" of zone "y" answers with version 7 and a quorum confirmation that is 200 ms old
    Then version 7 is confirmed
    And version 6 is not confirmed

  Scenario: After each failed fetch another instance with the newest routes is tried
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "y" answers with version 7 and a quorum confirmation that is 0 ms old
    And "c2" of zone "x" answers with version 7 and a quorum confirmation that is 0 ms old
    And "c3" of zone "x" answers with version 6 and a quorum confirmation that is 0 ms old
    Then a node with version 6 fetches from "c2", then after failures from "c1" and "c2"
    And a node with version 7 fetches nothing

  Scenario: A balancer becomes known to all instances and expires when its hellos stop
    Given control instances "c1" and "c2"
    When a balancer "b1" sends a hello to "c1"
    And "c1" sends its list of balancers to "c2"
    Then an agent that asks "c2" gets "b1"
    And after 3.5 seconds an agent that asks "c2" gets no balancer

  Scenario: An agent keeps a balancer during a restart of control
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers and lists the balancer "b1"
    And 6 seconds pass
    And "c1" of zone "x" answers and lists no balancer
    Then the balancer "b1" is known
    And after 7 seconds it is no longer known

  Scenario: A restarted balancer is recognized as new
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers and lists the balancer "b1" started at 1
    Then it is new
    When "c1" of zone "x" answers and lists the balancer "b1" started at 1
    Then it is not new
    When "c1" of zone "x" answers and lists the balancer "b1" started at 2
    Then it is new
    And one balancer is known

  Scenario Outline: Only a route set with a higher version is applied: <case>
    Given the routes of version 5 are applied
    When a command with version <version> and <content> is applied
    Then version <applied> is applied afterwards and the outcome is <outcome>

    Examples:
      | case                        | version | content       | applied | outcome   |
      | a higher version            | 9       | other content | 9       | changed   |
      | the same set again          | 5       | the same      | 5       | unchanged |
      | other content, same version | 5       | other content | 5       | unchanged |
      | a lower version             | 4       | other content | 5       | unchanged |

  Scenario: A snapshot preserves the document exactly as it was written
    Given the routes of version 5 are applied
    When a snapshot is taken and restored
    Then the document is the one that was written
