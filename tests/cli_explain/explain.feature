Feature: Why a flow ended as it did, from log lines alone

  Scenario: Refused at once
    Given these lines
      | second | role     | instance | event | flow | fields                                                    |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                               |
      | 1.01   | agent    | a1       | 3101  | f    | {"reason": "overloaded", "flows": 27, "slots": 2}         |
      | 1.02   | balancer | b1       | 2102  | f    | {"reason": "no target accepts the flow", "offers": 1, "version": 7} |
    Then the cause of "f" is "b1 refused it with routes of version 7: no target accepts the flow after 1 offers; declined by a1 (overloaded, 27 flows on 2 slots)"

  Scenario: Given up without a reset
    Given these lines
      | second | role     | instance | event | flow | fields                                       |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                  |
      | 1.25   | balancer | b1       | 2107  | f    | {"offers": 4}                                |
    Then the cause of "f" is "b1 gave it up after 4 offers, without a reset: its caller had gone on elsewhere"

  Scenario: Opened but never answered
    Given these lines
      | second | role     | instance | event | flow | fields                                |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}           |
      | 1.01   | agent    | a1       | 3102  | f    | {"opening_ms": 7.0, "flows": 1}       |
      | 1.50   | agent    | a1       | 3104  |      | {"target": "t", "born": 9}            |
      | 1.40   | agent    | a2       | 3104  |      | {"target": "u", "born": 9}            |
    Then the cause of "f" names "it was open at a1 and was not answered: at 2026-01-01T00:00:01.50"
    And 3 lines are shown

  Scenario: Answered late
    Given these lines
      | second | role     | instance | event | flow | fields                                       |
      | 1.00   | balancer | b1       | 2101  | f    | {"agent": "a1", "offer": 1}                  |
      | 1.60   | agent    | a1       | 3102  | f    | {"opening_ms": 600.0, "flows": 9}            |
      | 1.95   | agent    | a1       | 3103  | f    | {"served_ms": 347.3, "age_ms": 950, "flows": 8} |
    Then the cause of "f" is "it ended at a1: opened after 600.0 ms, at the target for 347.3 ms"

  Scenario: The lines of the balancer are missing, and some are cut
    Given these lines
      | second | role  | instance | event | flow | fields                                       |
      | 1.95   | agent | a1       | 3103  | f    | {"served_ms": 20.0, "age_ms": 30, "flows": 0} |
    And a line that is cut off
    Then the cause of "f" is "it ended at a1: opened after unknown ms, at the target for 20.0 ms"
    And 1 line could not be read

  Scenario: No line at all
    Given these lines
      | second | role  | instance | event | flow | fields |
      | 1.95   | agent | a1       | 3103  | g    | {}     |
    Then the cause of "f" names "no process has logged this flow"

  Scenario: On the command line, over several files
    Given these lines
      | second | role     | instance | event | flow | fields                                         |
      | 1.02   | balancer | b1       | 2102  | f    | {"reason": "no route", "offers": 0, "version": 7} |
    When "explain f" is run on a file with them
    Then it ends with status 0 and prints "no route after 0 offers"
    When "explain f" is run on a file that does not exist
    Then it ends with status 2
