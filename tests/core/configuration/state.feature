Feature: Commands that change the replicated state

  Background:
    Given an empty state

  Scenario: Two changes based on the same revision conflict
    When change "first" based on revision 0 is proposed by "ana"
    And change "second" based on revision 0 is proposed by "bea"
    Then change "first" is accepted at revision 1
    And change "second" conflicts with "first" by "ana" at revision 1

  Scenario Outline: A retried change gets the outcome of its first attempt
    When change "first" based on revision 0 is proposed by "ana"
    And <event>
    And change "first" based on revision <base> is proposed by "ana"
    Then the last outcome equals the first one

    Examples:
      | event                                                   | base |
      | nothing happens                                         | 0    |
      | nothing happens                                         | 1    |
      | the state is read back from a snapshot                  | 0    |
      | change "other" based on revision 1 is proposed by "bea" | 0    |
      | change "other" based on revision 0 is proposed by "bea" | 0    |
      | 23 hours pass and 1200 other changes are accepted       | 0    |
      | a clock is 48 hours ahead for 900 other changes         | 0    |

  Scenario: A conflict is stored for retries too
    When change "first" based on revision 7 is proposed by "ana"
    And change "other" based on revision 0 is proposed by "bea"
    And change "first" based on revision 7 is proposed by "ana"
    Then the last outcome equals the first one

  Scenario: A change id can't be reused for other objects
    When change "first" based on revision 0 is proposed by "ana"
    And change "first" is proposed with other objects
    Then the change id is refused and nothing has changed

  Scenario: The fencing number of a removed service is never assigned again
    When the services are "a b"
    And the services are "b"
    And the services are "a b c"
    Then the fencing numbers are "a=3 b=2 c=4"

  Scenario Outline: Nodes join, restart, leave and expire
    Given the services "a"
    And node "n" with incarnation 5 announces target "t" through control instance "c1"
    When <event>
    Then target "t" is <state>

    Examples:
      | event                                                                          | state         |
      | nothing happens                                                                | serving at 5  |
      | node "n" with incarnation 6 announces target "t" through control instance "c2" | serving at 6  |
      | node "n" with incarnation 4 announces target "t" through control instance "c2" | serving at 5  |
      | node "m" with incarnation 9 announces target "t" through control instance "c2" | serving at 5  |
      | control instance "c1" expires node "n" with incarnation 5                      | not published |
      | control instance "c1" expires node "n" with incarnation 4                      | serving at 5  |
      | control instance "c2" expires node "n" with incarnation 5                      | serving at 5  |
      | node "n" with incarnation 5 leaves                                             | not published |
      | node "n" with incarnation 4 leaves                                             | serving at 5  |
      | the services are "b"                                                           | not published |
      | target "t" with incarnation 5 is drained                                       | draining at 5 |
      | target "t" with incarnation 4 is drained                                       | serving at 5  |
      | target "t" is drained and its node announces it again                          | draining at 5 |
      | target "t" is drained and its node restarts                                    | serving at 6  |
      | node "n" leaves and a late heartbeat of incarnation 5 arrives                  | not published |
      | node "n" expires and returns with incarnation 5                                | serving at 5  |
      | the state is read back from a snapshot                                         | serving at 5  |

  Scenario: Targets outside the places of a service are not published
    Given the services "a" only in availability zone "nadi-b"
    When node "n" with incarnation 1 announces target "t" through control instance "c1"
    Then target "t" is not published

  Scenario: A command that can't be decoded changes nothing
    When the bytes "rubbish" are applied
    Then the published revision is 0

  Scenario Outline: A service carries the revision of its last membership change
    Given the services "a"
    And node "n" with incarnation 5 announces target "t" through control instance "c1"
    When <event>
    Then the membership revision of service "a" is <state>

    Examples:
      | event                                                                          | state     |
      | nothing happens                                                                | unchanged |
      | target "t" with incarnation 5 is drained                                       | unchanged |
      | node "n" with incarnation 6 announces target "t" through control instance "c2" | changed   |
      | node "n" with incarnation 5 leaves                                             | changed   |
      | the services are "a b"                                                         | unchanged |
