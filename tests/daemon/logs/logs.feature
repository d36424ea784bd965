Feature: Logs are bounded and never wait for their reader

  Scenario: A reader that stands still costs lines, not time
    Given a pipe that nobody reads
    When 20,000 lines are written to it
    Then each call has returned, and some were told that their line was not taken
    And what the reader finds later are whole lines

  Scenario: A line that is too long is cut to what a pipe takes whole
    Given a pipe that nobody reads
    When a line of 10,000 bytes is written to it
    Then the reader finds one line of 4,096 bytes

  Scenario Outline: <load> times the load costs no more lines than the bound
    Given a budget of lines
    When <load> lines a millisecond of one event are asked for during 10 s
    Then at most 720 are allowed, and the rest is counted as left out
    And another event still gets its line

    Examples:
      | load |
      | 1    |
      | 10   |

  Scenario: What was left out is told once
    Given a budget of lines
    When 10 lines a millisecond of one event are asked for during 1 s
    Then the count of left-out lines is given once and then 0
