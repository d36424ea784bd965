Feature: Writing logs never blocks, and the number of lines is limited

  Scenario: When the reader is stalled, lines are dropped and no call blocks
    Given a pipe that nobody reads
    When 20,000 lines are written to it
    Then each call returns, and some report that their line was dropped
    And the reader gets the lines that were not dropped, each of them whole

  Scenario: A long line is truncated to the size of an atomic pipe write
    Given a pipe that nobody reads
    When a line of 10,000 bytes is written to it
    Then the reader gets one line of 4,096 bytes

  Scenario Outline: <load> lines per millisecond stay within the rate limit
    Given a rate limit of log lines
    When one event asks for <load> lines per millisecond for 10 s
    Then at most 720 are allowed, and the rest are counted as dropped
    And a line of another event is still allowed

    Examples:
      | load |
      | 1    |
      | 10   |

  Scenario: The count of dropped lines is reported once
    Given a rate limit of log lines
    When one event asks for 10 lines per millisecond for 1 s
    Then the count of dropped lines is returned once, and then 0
