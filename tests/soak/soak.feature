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

  Scenario: Disks fail, power is lost, clocks jump and addresses are used again
    When seed 101 is played with faults of all kinds for 10 seconds
    Then no promise is broken
    And no process has ended by itself
    And calls were answered while faults came

  Scenario Outline: A loss of power leaves <left> of a file when <what>
    Given a disk with a synced file "ab"
    When <what>, and power is lost
    Then the file holds "<left>"

    Examples:
      | what                            | left |
      | "cd" is added and synced        | abcd |
      | "cd" is added                   | ab   |
      | "cd" is added, half is written  | abc  |
      | it is replaced and synced       | ab   |
      | it is replaced for good         | new  |

  Scenario: A broken promise is seen
    Given two targets, a call of each outcome and an operator
    Then each of these is found as a broken promise
      | what                                 |
      | a call that ran at two targets       |
      | a refused call that has run          |
      | a call that was reset while open     |
      | a call answered by another service   |
      | a packet at a target of another service |
      | an accepted version that is not shown |
      | a version shown as it was not sent   |
