Feature: Promises hold while real processes are struck by random faults

  # Seeds that ever broke a promise stay here, with the cause. 5 and 8 did so
  # before a seed fixed its plan: a call ran at two targets, as the stand-in
  # for targets took data that acknowledged another target's number.
  Scenario Outline: Seed <seed>, with faults for <length> seconds
    When seed <seed> is played with faults for <length> seconds
    Then no promise is broken
    And no process has ended by itself
    And calls were answered while faults came

    Examples:
      | seed | length |
      | 1    | 6      |
      | 5    | 12     |
      | 8    | 12     |

  Scenario: A broken promise is seen
    Given two targets, a call of each outcome and an operator
    Then each of these is found as a broken promise
      | what                                 |
      | a call that ran at two targets       |
      | a refused call that has run          |
      | a call that was reset while open     |
      | a call answered by another service   |
      | an accepted version that is not shown |
      | a version shown as it was not sent   |
