Feature: Commands that change the replicated state

  Background:
    Given an empty state

  Scenario: Two operators race with the same number
    When change "first" is made against revision 0 by "ana"
    And change "second" is made against revision 0 by "bea"
    Then change "first" is accepted at revision 1
    And change "second" conflicts with "first" by "ana" at revision 1

  Scenario Outline: A resend gets the first outcome
    When change "first" is made against revision 0 by "ana"
    And <event>
    And change "first" is made against revision <base> by "ana"
    Then the last outcome is the first one

    Examples:
      | event                                                | base |
      | nothing happens                                      | 0    |
      | nothing happens                                      | 1    |
      | the state is read back from a snapshot               | 0    |
      | change "other" is made against revision 1 by "bea"   | 0    |
      | change "other" is made against revision 0 by "bea"   | 0    |
      | 23 hours pass and 1200 other changes are accepted    | 0    |
      | a clock is 48 hours ahead for 900 other changes      | 0    |

  Scenario: A conflict is a first outcome too
    When change "first" is made against revision 7 by "ana"
    And change "other" is made against revision 0 by "bea"
    And change "first" is made against revision 7 by "ana"
    Then the last outcome is the first one

  Scenario: A change id can't name other objects
    When change "first" is made against revision 0 by "ana"
    And change "first" is made with other objects
    Then the change id is refused and nothing has changed

  Scenario: A number of a removed service is never given again
    When the services are "a b"
    And the services are "b"
    And the services are "a b c"
    Then the numbers are "a=3 b=2 c=4"

  Scenario Outline: Members come and go
    Given the services "a"
    And node "n" with incarnation 5 announces target "t" through control "c1"
    When <event>
    Then target "t" is <state>

    Examples:
      | event                                                                    | state                |
      | nothing happens                                                          | serving at 5         |
      | node "n" with incarnation 6 announces target "t" through control "c2"    | serving at 6         |
      | node "n" with incarnation 4 announces target "t" through control "c2"    | serving at 5         |
      | node "m" with incarnation 9 announces target "t" through control "c2"    | serving at 5         |
      | control "c1" expires node "n" with incarnation 5                         | gone                 |
      | control "c1" expires node "n" with incarnation 4                         | serving at 5         |
      | control "c2" expires node "n" with incarnation 5                         | serving at 5         |
      | node "n" with incarnation 5 leaves                                       | gone                 |
      | node "n" with incarnation 4 leaves                                       | serving at 5         |
      | the services are "b"                                                     | gone                 |
      | target "t" with incarnation 5 is drained                                 | draining at 5        |
      | target "t" with incarnation 4 is drained                                 | serving at 5         |
      | target "t" is drained and its node announces it again                    | draining at 5        |
      | target "t" is drained and its node starts again                          | serving at 6         |
      | node "n" leaves and a late heartbeat of incarnation 5 comes              | gone                 |
      | node "n" expires and comes back with incarnation 5                       | serving at 5         |
      | the state is read back from a snapshot                                   | serving at 5         |

  Scenario: Targets out of the places of a service are not published
    Given the services "a" only in availability zone "nadi-b"
    When node "n" with incarnation 1 announces target "t" through control "c1"
    Then target "t" is gone

  Scenario: What can't be decoded changes nothing
    When the bytes "rubbish" are applied
    Then the published revision is 0

  Scenario Outline: A service tells when its targets last changed
    Given the services "a"
    And node "n" with incarnation 5 announces target "t" through control "c1"
    When <event>
    Then the membership of service "a" has <fate>

    Examples:
      | event                                                                 | fate      |
      | nothing happens                                                       | not moved |
      | target "t" with incarnation 5 is drained                              | not moved |
      | node "n" with incarnation 6 announces target "t" through control "c2" | moved     |
      | node "n" with incarnation 5 leaves                                    | moved     |
      | the services are "a b"                                                | not moved |
