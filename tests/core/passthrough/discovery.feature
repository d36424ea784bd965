Feature: Nodes find control and each other from seeds alone

  Scenario: Before any answer, the seeds are asked
    Given a node in zone "x" with the seeds "c1" and "c2"
    Then it asks "c1" and "c2"

  Scenario: The instance of the own zone is asked while it answers
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" and "c2" of zone "y" answer
    Then it asks "c1"
    And after 1.2 seconds without an answer it asks "c1" and "c2"

  Scenario: An instance of the own zone without a quorum is not enough
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers with a proof that is 1500 ms old
    Then it asks "c1" and "c2"

  Scenario: Instances that are no seeds are found by answers, and outlive the seeds
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "y" answers and names "c3"
    And 3 seconds pass
    Then it asks "c1", "c2" and "c3"

  Scenario: Now and then all are asked, for one that is isolated unawares
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers for 2.5 seconds
    Then it has asked "c2" at least 1 time

  Scenario: Nodes are named by the own zone alone while it answers
    Given a node in zone "x" with the seeds "c1" and "c2"
    Then "c2" should name nodes
    When "c1" of zone "x" and "c2" of zone "y" answer
    Then "c1" should name nodes
    And "c2" should name none
    And after 1.2 seconds without an answer "c2" should name nodes

  Scenario: A brief answer names no nodes
    Given control instances "c1" and "c2"
    When a balancer "b1" says hello to "c1"
    Then an agent that asks "c1" for a brief answer is told nobody
    And an agent that asks "c1" is told "b1"

  Scenario: Routes count as confirmed only with a quorum behind an answer
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers with version 7 and a proof that is 1500 ms old
    Then version 7 is not confirmed
    When "c2" of zone "y" answers with version 7 and a proof that is 200 ms old
    Then version 7 is confirmed
    And version 6 is not confirmed

  Scenario: A balancer is known at all instances soon, and forgotten when it is silent
    Given control instances "c1" and "c2"
    When a balancer "b1" says hello to "c1"
    And "c1" tells "c2" whom it hears
    Then an agent that asks "c2" is told "b1"
    And after 3.5 seconds an agent that asks "c2" is told nobody

  Scenario: An agent keeps a balancer over a restart of control
    Given a node in zone "x" with the seeds "c1" and "c2"
    When "c1" of zone "x" answers and lists the balancer "b1"
    And 6 seconds pass
    And "c1" of zone "x" answers and lists nobody
    Then the balancer "b1" is known
    And after 7 seconds it is known no more

  Scenario: A balancer that has started anew is reported to at once
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
