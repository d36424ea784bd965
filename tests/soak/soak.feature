Feature: Guarantees hold while random faults affect real processes

  # A seed that once found a violation stays here as a regression case, with
  # the cause. Seeds 5 and 8 did so before the plan depended on the seed alone:
  # a call ran at two targets, since the simulated target accepted data that
  # acknowledged the sequence number of another target. Seed 8 did so again once
  # calls kept their flow open: a flow was reset whose agent was stopped.
  Scenario Outline: Seed <seed>, with faults for <length> seconds
    When seed <seed> is run with faults for <length> seconds
    Then no guarantee is violated
    And no process has exited unexpectedly
    And calls were answered while faults were injected

    Examples:
      | seed | length |
      | 1    | 6      |
      | 5    | 12     |
      | 8    | 12     |

  # In seed 604, a target whose address went to the other service lost a flow,
  # and its caller was told; this is no violation.
  Scenario Outline: Disks and links fail, clocks jump, and addresses are reused, by seed <seed>
    When seed <seed> is run with faults of all kinds for 10 seconds
    Then no guarantee is violated
    And no process has exited unexpectedly
    And calls were answered while faults were injected

    Examples:
      | seed |
      | 101  |
      | 604  |

  # Guards against new flows in an evacuated zone, a lost order and an unbounded
  # cold target. In both seeds all control instances lose power after the order,
  # in seed 17 right after it, and an agent restarts beside its cold target.
  Scenario Outline: A zone is evacuated, targets hang and start cold, by seed <seed>
    When seed <seed> is run with faults, orders and slow targets for 3 seconds
    Then no guarantee is violated
    And no process has exited unexpectedly
    And calls were answered while faults were injected

    Examples:
      | seed |
      | 17   |
      | 142  |

  Scenario Outline: A file holds <content> after a power loss when <what>
    Given a disk with a synced file "ab"
    When <what>, and power is lost
    Then the file holds "<content>"

    Examples:
      | what                                                     | content |
      | "cd" is appended and synced                              | abcd    |
      | "cd" is appended                                         | ab      |
      | "cd" is appended, half of it is written                  | abc     |
      | it is replaced by a synced file                          | ab      |
      | it is replaced by a synced file and the folder is synced | new     |

  Scenario: Each kind of violation is detected
    Given two targets, a call and an operator
    Then each of these is found as a violation
      | what                                                      |
      | a call that ran at two targets                            |
      | a refused call that ran                                   |
      | a call that was reset after its handshake                 |
      | a call that was reset after another target lost its flows |
      | a call answered by another service                        |
      | a packet at a target of another service                   |
      | an accepted version that is not returned                  |
      | a version returned with other text than sent              |
      | an acknowledged evacuation that is not returned           |
      | an evacuation that is returned after its end              |
      | a new flow in an evacuated zone                           |
      | nine new flows of a cold target in a second               |
