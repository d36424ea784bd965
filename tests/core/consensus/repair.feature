Feature: Control instances found a cluster and repair it

  Scenario Outline: <size> instances found one cluster and accept changes
    Given <size> control instances that all vote
    When 20 changes are proposed to the leader
    And 1 second passes
    Then all 20 changes are accepted
    And every instance holds the same changes
    And every instance is fresh

    Examples:
      | size |
      | 1    |
      | 3    |
      | 5    |

  Scenario Outline: What was accepted outlives <loss>, with <size> instances
    Given <size> control instances that all vote
    And 20 accepted changes
    When the cluster suffers this: <loss>
    And 6 seconds pass
    Then a leader accepts a further change
    And every instance that runs holds all that was accepted

    Examples: one loss
      | size | loss                                              |
      | 3    | the leader is killed                              |
      | 3    | a follower is killed                              |
      | 5    | the leader is killed                              |
      | 3    | the leader is killed and started                  |
      | 3    | all instances are killed and started              |
      | 1    | all instances are killed and started              |
      | 3    | the leader takes a snapshot, all are restarted    |
      | 3    | the leader loses its disk                         |
      | 3    | a follower loses its disk                         |
      | 5    | a follower loses its disk                         |
      | 3    | a follower loses its disk after a snapshot        |

    Examples: a second loss, just after the first was repaired
      | size | loss                                              |
      | 3    | two followers lose their disks, one after repair  |
      | 3    | the leader loses its disk after a repair          |
      | 3    | a follower loses its disk, another is killed after repair |
      | 5    | two followers lose their disks, one after repair  |

  Scenario: An instance that lost its disk never votes under its old identity
    Given 3 control instances that all vote
    And 20 accepted changes
    When a follower loses its disk and only hears requests for its old identity
    Then it answers none of them
    And its old identity is retired once it has joined anew

  Scenario: A retired identity is not let in again
    Given 3 control instances that all vote
    When a follower is replaced and its old disk comes back
    Then the old identity neither votes nor leads
    And it is told that it is retired

  Scenario: A learner whose entry into the membership was lost asks again
    Given 5 control instances that all vote
    When a follower loses its disk and only it hears that it is let in
    And the leader is killed for good
    Then the instance that lost its disk votes at last

  Scenario: Nothing is accepted before a majority of the instances has joined
    Given 3 control instances, of which only the first can be reached
    When 3 seconds pass
    Then a change that is proposed to the first is refused
