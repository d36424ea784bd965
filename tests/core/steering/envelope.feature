Feature: Sealed envelopes between balancers and agents

  Scenario Outline: Verification of a sealed datagram
    Given a datagram sealed with the <sealing> key
    When it is <change>
    Then the outcome is "<outcome>"

    Examples:
      | sealing  | change                      | outcome   |
      | current  | left unchanged              | accepted  |
      | previous | left unchanged              | accepted  |
      | foreign  | left unchanged              | wrong_key |
      | current  | given another service       | wrong_key |
      | current  | given another incarnation   | wrong_key |
      | current  | given another hop count     | wrong_key |
      | current  | given another payload       | wrong_key |
      | current  | given an unknown kind       | malformed |
      | current  | given an unknown format     | malformed |
      | current  | shortened by one byte       | wrong_key |
      | current  | cut to its first 20 bytes   | malformed |
      | current  | emptied                     | malformed |

  Scenario: Sealing and unsealing preserves an envelope
    Then any envelope is the same after it is sealed and unsealed

  Scenario Outline: Which datagrams may open a flow
    When a datagram of <size> bytes begins with <header>
    Then that it may open a flow is <opens>

    Examples:
      | size | header       | opens |
      | 1200 | c00000000108 | true  |
      | 1199 | c00000000108 | false |
      | 1200 | d00000000108 | false |
      | 1200 | e00000000108 | false |
      | 1200 | d06b3343cf08 | true  |
      | 1200 | c06b3343cf08 | false |
      | 1200 | c00000000008 | false |
      | 1200 | c01a2a3a4a08 | true  |
      | 1200 | 400000000108 | false |
      | 0    |              | false |

  Scenario Outline: The connection id of a datagram
    When a datagram of <size> bytes begins with <header>
    Then its connection id is "<id>"

    Examples:
      | size | header           | id       |
      | 1200 | c00000000102abcd | abcd     |
      | 7    | c00000000102ab   | none     |
      | 1200 | c00000000115abcd | none     |
      | 40   | 4001020304       | 01020304 |
      | 4    | 40010203         | none     |
      | 0    |                  | none     |
