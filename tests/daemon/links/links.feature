Feature: Links between the processes of the system

  Background:
    Given a listener with the key "11111111111111111111111111111111"

  Scenario: A message and its answer
    Given a dialer with the key "11111111111111111111111111111111"
    When the dialer sends revision 7
    Then the listener receives revision 7
    When the listener answers with revision 8
    Then the dialer receives revision 8

  Scenario: Each key of a rotation is taken
    Given the listener also takes the key "22222222222222222222222222222222"
    And a dialer with the key "22222222222222222222222222222222"
    When the dialer sends revision 7
    Then the listener receives revision 7

  Scenario Outline: What a listener drops
    Given a dialer that sends <frame>
    And a dialer with the key "11111111111111111111111111111111"
    When the dialer sends revision 7
    Then the listener receives revision 7
    And nothing else was received
    And the events hold <event>

    Examples:
      | frame                   | event |
      | a message of a wrong key | 5002 |
      | a replayed message       | 5002 |
      | random bytes             | 5002 |
      | a short hello            | none |
      | a message of no codec    | 5003 |

  Scenario: A listener that was started again
    Given a dialer with the key "11111111111111111111111111111111"
    When the dialer sends revision 7
    Then the listener receives revision 7
    When the listener is started again on its address
    And the dialer sends revision 9 until it arrives
    Then the listener receives revision 9

  Scenario: A reader stops at once, also when a message comes in just then
    Given a dialer with the key "11111111111111111111111111111111"
    When 200 readers of the listener are stopped while a message comes in
    Then every reader has stopped
