Feature: Authenticated links between processes

  Background:
    Given a listener with the key "11111111111111111111111111111111"

  Scenario: A message and its reply
    Given a dialer with the key "11111111111111111111111111111111"
    When the dialer sends revision 7
    Then the listener receives revision 7
    When the listener replies with revision 8
    Then the dialer receives revision 8

  Scenario: The listener accepts every key of a rotation
    Given the listener also accepts the key "22222222222222222222222222222222"
    And a dialer with the key "22222222222222222222222222222222"
    When the dialer sends revision 7
    Then the listener receives revision 7

  Scenario Outline: The listener drops invalid frames
    Given a dialer that sends <frame>
    And a dialer with the key "11111111111111111111111111111111"
    When the dialer sends revision 7
    Then the listener receives revision 7
    And the name of the sender is "dialer"
    And the logged events are <event>

    Examples:
      | frame                      | event |
      | a message with a wrong key | 5002  |
      | a replayed message         | 5002  |
      | random bytes               | 5002  |
      | a short hello              | none  |
      | a message of unknown type  | 5003  |
      | a deeply nested message    | 5003  |

  Scenario: A dialer reconnects to a restarted listener
    Given a dialer with the key "11111111111111111111111111111111"
    When the dialer sends revision 7
    Then the listener receives revision 7
    When the listener is restarted on its address
    And the dialer sends revision 9 until it arrives
    Then the listener receives revision 9

  # Guards against a withdrawn key that is in use again.
  Scenario: A key that was removed is refused once the listener has restarted
    Given the listener also accepts the key "22222222222222222222222222222222"
    And a dialer with the key "22222222222222222222222222222222"
    When the dialer sends revision 7
    Then the listener receives revision 7
    When the listener is restarted on its address
    And the dialer sends revision 9 until event 5002 is logged
    Then the listener has received nothing

  Scenario: A reader that is cancelled while a message arrives stops
    Given a dialer with the key "11111111111111111111111111111111"
    When 200 readers of the listener are cancelled while a message arrives
    Then every reader has stopped
