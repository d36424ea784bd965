Feature: Explaining from log lines how and why a flow ended

  Scenario: The only agent declines the flow and the balancer refuses it
    Given these log lines
      | second | role     | instance | event | flow | fields                                                    |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                               |
      | 1.01   | agent    | a1       | 3101  | f    | {"reason": "overloaded", "flows": 27, "slots": 2}         |
      | 1.02   | balancer | b1       | 2102  | f    | {"reason": "no target accepts the flow", "offers": 1, "version": 7} |
    Then the cause of "f" is "b1 refused it with routes of version 7: no target accepts the flow after 1 offers; declined by a1 (overloaded, 27 flows on 2 slots)"

  Scenario: The balancer drops the flow and sends no reset
    Given these log lines
      | second | role     | instance | event | flow | fields                                       |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                  |
      | 1.25   | balancer | b1       | 2107  | f    | {"offers": 4}                                |
    Then the cause of "f" is "b1 dropped it after 4 offers and sent no reset: its caller may have opened it at another balancer"

  Scenario: The target starts again before it answers an open flow
    Given these log lines
      | second | role     | instance | event | flow | fields                                |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}           |
      | 1.01   | agent    | a1       | 3102  | f    | {"opening_ms": 7.0, "flows": 1}       |
      | 1.50   | agent    | a1       | 3104  |      | {"target": "t", "born": 9}            |
      | 1.40   | agent    | a2       | 3104  |      | {"target": "u", "born": 9}            |
    Then the cause of "f" contains "it was open at a1 and its target did not answer: at 2026-01-01T00:00:01.50"
    And 3 lines are shown

  Scenario: No target has the flow any more, and the balancer resets it
    Given these log lines
      | second | role     | instance | event | flow | fields                       |
      | 1.00   | balancer | b1       | 2108  | f    | {"asked": 7, "dropped": 1}   |
    Then the cause of "f" is "b1 reset it: its agent had said that its target has lost it"

  Scenario: A flow is open, and no line tells whether a request is unanswered
    Given these log lines
      | second | role     | instance | event | flow | fields                                       |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                  |
      | 1.01   | agent    | a1       | 3102  | f    | {"opening_ms": 7.0, "flows": 1}              |
    Then the cause of "f" is "it is open at a1: its target has not answered, or its caller keeps it open between requests"

  Scenario: The target answers late
    Given these log lines
      | second | role     | instance | event | flow | fields                                       |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                  |
      | 1.60   | agent    | a1       | 3102  | f    | {"opening_ms": 600.0, "flows": 9}            |
      | 1.95   | agent    | a1       | 3103  | f    | {"served_ms": 347.3, "age_ms": 950, "flows": 8} |
    Then the cause of "f" is "it ended at a1: opened after 600.0 ms, served by the target for 347.3 ms"

  Scenario: The balancer's lines are missing and a line is truncated
    Given these log lines
      | second | role  | instance | event | flow | fields                                       |
      | 1.95   | agent | a1       | 3103  | f    | {"served_ms": 20.0, "age_ms": 30, "flows": 0} |
    And a truncated line
    Then the cause of "f" is "it ended at a1: opened after unknown ms, served by the target for 20.0 ms"
    And 1 line could not be read

  Scenario: No line is about the flow
    Given these log lines
      | second | role  | instance | event | flow | fields |
      | 1.95   | agent | a1       | 3103  | g    | {}     |
    Then the cause of "f" contains "no process has logged this flow"

  Scenario: The command reads a file, and fails if it does not exist
    Given these log lines
      | second | role     | instance | event | flow | fields                                         |
      | 1.02   | balancer | b1       | 2102  | f    | {"reason": "no route", "offers": 0, "version": 7} |
    When "explain f" is run on a file with these lines
    Then it exits with 0 and prints "no route after 0 offers"
    When "explain f" is run on a file that does not exist
    Then it exits with 2
