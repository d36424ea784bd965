Feature: Promises hold while real processes are struck by random faults

  Scenario: One seed, with faults for a few seconds
    When seed 1 is played with faults for 6 seconds
    Then no promise is broken
    And no process has ended by itself
    And calls were answered while faults came

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
