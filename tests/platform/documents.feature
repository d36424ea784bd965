Feature: The platform's calls are read once, or refused as a whole

  Scenario Outline: A heartbeat <case>
    When a heartbeat with <key> <value> is read for service "s"
    Then it is <outcome>

    Examples:
      | case                        | key       | value      | outcome                 |
      | as it should be             | Seq       | 4          | taken                   |
      | of a leaving target         | State     | "draining" | taken as leaving        |
      | of a target's later start   | born      | 7          | taken with start 7      |
      | of an unknown state         | State     | "odd"      | refused                 |
      | of another service          | Service   | "t"        | refused                 |
      | without slots               | Slots     | 0          | refused                 |
      | with slots as text          | Slots     | "4"        | refused                 |
      | with a start as text        | born      | "7"        | refused                 |
      | with a start that is broken | born      | 7.5        | refused                 |
      | with an unknown field       | Further   | 1          | taken                   |

  Scenario Outline: A configuration with <case>
    When the example configuration is read with <case>
    Then it is <outcome>

    Examples:
      | case                  | outcome |
      | no change             | taken   |
      | its end cut off       | refused |
      | no bytes              | refused |
      | a route as text       | refused |
      | no service of a route | refused |
      | two kinds of service  | refused |
      | an unknown type       | refused |
      | a host name           | refused |
      | a longer prefix       | refused |
      | a version as text     | refused |
      | no services           | refused |

  Scenario Outline: A route set with <case>
    When the example configuration is checked with <case>
    Then it is <outcome>

    Examples:
      | case               | outcome |
      | no change          | taken   |
      | an unknown service | refused |
      | one place twice    | refused |
      | a timeout of 0     | refused |
      | weights of 0       | refused |
      | a negative weight  | refused |

  Scenario: The settings of each role are read
    When the example settings are read for each role
    Then control's seeds, the ports and the bounds are as the file says

  Scenario Outline: Settings with <case>
    When the example settings are read with <case>
    Then it is refused

    Examples:
      | case                |
      | its end cut off     |
      | a bad address       |
      | too few ports       |
      | no listen addresses |
