Feature: Control instances bootstrap a cluster and repair it

  Scenario Outline: <size> instances bootstrap one cluster and accept changes
    Given <size> control instances that all vote
    When 20 changes are proposed to the leader
    And 1 second passes
    Then all 20 changes are accepted
    And every instance holds the same changes
    And the state of every instance is less than 0.5 seconds old

    Examples:
      | size |
      | 1    |
      | 3    |
      | 5    |

  Scenario Outline: With <size> instances, accepted changes survive when <loss>
    Given <size> control instances that all vote
    And 20 accepted changes
    When the following happens: <loss>
    And 6 seconds pass
    Then a leader accepts another change
    And every running instance holds all accepted changes

    Examples: one loss
      | size | loss                                           |
      | 3    | the leader is killed                           |
      | 3    | a follower is killed                           |
      | 5    | the leader is killed                           |
      | 3    | the leader is killed and started               |
      | 3    | all instances are killed and started           |
      | 1    | all instances are killed and started           |
      | 3    | the leader takes a snapshot, all are restarted |
      | 3    | the leader loses its disk                      |
      | 3    | a follower loses its disk                      |
      | 5    | a follower loses its disk                      |
      | 3    | a follower loses its disk after a snapshot     |

    Examples: a second loss, just after the first was repaired
      | size | loss                                                      |
      | 3    | two followers lose their disks, one after repair          |
      | 3    | the leader loses its disk after a repair                  |
      | 3    | a follower loses its disk, another is killed after repair |
      | 5    | two followers lose their disks, one after repair          |

  Scenario: An instance that lost its disk never votes under its old identity
    Given 3 control instances that all vote
    And 20 accepted changes
    When a follower loses its disk and only receives requests for its old identity
    Then it answers none of them
    And its old identity is retired once it has joined again

  Scenario: A retired identity is not admitted again
    Given 3 control instances that all vote
    When a follower is replaced, and its instance restarts with its old disk
    Then the old identity is neither a voter nor the leader
    And it is told that it is retired

  Scenario: A learner whose admission was not committed asks to join again
    Given 5 control instances that all vote
    When a follower loses its disk, and only it receives the entry that admits it
    And the leader is killed and stays down
    Then the instance that lost its disk becomes a voter

  Scenario: No change is accepted before a majority of the instances has joined
    Given 3 control instances, of which only the first runs
    When 3 seconds pass
    Then a change that is proposed to the first is refused
