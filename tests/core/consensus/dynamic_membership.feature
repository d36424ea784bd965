Feature: The membership follows the instances that run

  Scenario Outline: <size> instances form a cluster from 3 seeds, with a fault tolerance of <tolerance>
    Given <size> instances with 3 seeds and a fault tolerance of <tolerance>
    Then <voters> of them vote, and all are members
    And every running instance applies a newly proposed change

    Examples:
      | size | tolerance | voters |
      | 3    | 1         | 3      |
      | 4    | 1         | 4      |
      | 6    | 2         | 6      |
      | 11   | 2         | 9      |
      | 12   | 5         | 11     |

  Scenario Outline: Instances without a disk join as members but never vote
    Given instances "<diskless>" have no disk
    And <size> instances with 3 seeds and a fault tolerance of 1
    Then <voters> of them vote, and all are members
    And every running instance applies a newly proposed change
    And no instance of "<diskless>" votes
    When all instances of "<diskless>" restart
    Then within 8 seconds every running instance is a member
    And every running instance applies a newly proposed change
    And no instance of "<diskless>" votes

    Examples:
      | diskless | size | voters |
      | a        | 4    | 3      |
      | bd       | 5    | 3      |
      | ab       | 5    | 3      |

  Scenario: A voter is not replaced by an instance without a disk
    Given instances "d" have no disk
    And 4 instances with 3 seeds and a fault tolerance of 1
    When a voter is permanently lost
    And 10 seconds pass
    Then no instance of "d" votes
    And a leader accepts another change

  Scenario: No change is accepted while there are too few voters for the fault tolerance
    Given 5 instances with 3 seeds and a fault tolerance of 2, of which 2 run
    Then no change is accepted
    When the others start
    Then a change is accepted within 8 seconds

  Scenario Outline: <disks> disks serve a fault tolerance of <tolerance> as well as they can
    Given <disks> instances with disks and a fault tolerance of <tolerance>
    Then a change is accepted within 30 seconds
    When a change is accepted, all instances are killed, and <lost> voters that have it restart with empty disks, the others with their own
    Then within 45 seconds a leader accepts another change
    And within 30 seconds every running instance is a member
    And every running instance holds all accepted changes

    Examples: enough disks for a quorum after the loss
      | disks | tolerance | lost |
      | 1     | 0         | 0    |
      | 3     | 1         | 1    |
      | 5     | 2         | 2    |
      | 7     | 3         | 3    |
      | 7     | 2         | 2    |

    Examples: more disks than may be lost, but no quorum after the loss
      | disks | tolerance | lost |
      | 2     | 1         | 1    |
      | 3     | 2         | 2    |
      | 4     | 2         | 2    |
      | 4     | 3         | 3    |
      | 5     | 3         | 3    |
      | 6     | 3         | 3    |

    Examples: so few disks that no change can survive the loss
      | disks | tolerance | lost |
      | 1     | 1         | 0    |
      | 1     | 3         | 0    |
      | 2     | 2         | 0    |
      | 2     | 2         | 1    |
      | 3     | 3         | 2    |

  Scenario: Without a quorum, a cluster that has lost more disks than tolerated stays without a leader
    Given 3 instances with disks and a fault tolerance of 1
    Then a change is accepted within 30 seconds
    When a change is accepted, all instances are killed, and 2 voters that have it restart with empty disks, the others with their own
    Then there is no leader after 30 seconds

  Scenario: With few disks, a change waits for all voters that respond
    Given 3 instances with disks and a fault tolerance of 2
    Then a change is accepted within 30 seconds
    When a voter is killed
    Then a change is accepted within 8 seconds
    And all voters that run hold all accepted changes
    When another voter is cut off for 1 second while a change is proposed
    Then that change is not accepted meanwhile
    When the network heals
    Then a change is accepted within 8 seconds

  # A response to the question which identity an instance has may be old: the
  # voter may have joined the cluster after it.
  Scenario: A voter is not taken for lost because of an old response
    Given 3 instances with disks and a fault tolerance of 2
    Then a change is accepted within 30 seconds
    When the leader's instances answer an old join request under an earlier identity
    And all other voters are cut off
    Then the leader steps down and is not elected again within 20 seconds

  Scenario: The first change is accepted only when it survives the loss of a voter
    Given 3 instances with 3 seeds and a fault tolerance of 1, of which 3 run
    When the last voter is slow to join, the first change is accepted and the leader is killed at once
    Then within 8 seconds a leader accepts another change

  # In each heartbeat interval, the leader exchanges a heartbeat with each
  # other member, and each of these asks it once how recent its state is.
  Scenario: What members send grows with their number and not with its square
    Given 8 instances with 3 seeds and a fault tolerance of 1
    When nothing is proposed for 10 s
    Then at most 4 messages were sent for each other member and heartbeat
    And the state at each instance was confirmed at most 0.7 s ago

  Scenario: Instances that restart with empty disks never bootstrap a new cluster
    Given 3 instances with 3 seeds and a fault tolerance of 1
    When all instances restart with empty disks and may not bootstrap a cluster
    Then there is no leader after 10 seconds

  Scenario Outline: A permanently lost voter is replaced by <by>
    Given <size> instances with 3 seeds and a fault tolerance of 1
    And 20 accepted changes
    When a voter is permanently lost
    And a new instance starts at another address
    Then within 8 seconds <voters> of the running instances vote
    When another voter is killed
    Then a leader accepts another change
    And every running instance holds all accepted changes

    Examples:
      | size | voters | by                  |
      | 3    | 3      | the new instance    |
      | 4    | 4      | the new instance    |
      | 11   | 9      | an existing learner |

  # Guards against a loss of the quorum by two planned replacements: the new
  # instances did not vote before the second removal.
  Scenario Outline: A leader accepts changes after two instances are removed <gap> s apart <notice> notice, once two others have joined
    Given 3 instances with 3 seeds and a fault tolerance of 1
    And 20 accepted changes
    When two new instances have run for 5 seconds, and two others are removed <gap> seconds apart <notice> notice
    Then within 5 seconds 3 of the running instances vote
    And a leader accepts another change
    And every running instance holds all accepted changes

    Examples:
      | gap | notice  |
      | 0   | with    |
      | 1   | with    |
      | 2.6 | with    |
      | 0   | without |
      | 0.3 | without |
      | 1   | without |
      | 2.6 | without |

  # Guards against the same loss when the second voter loses its disk.
  Scenario Outline: A leader accepts changes after an instance is removed <notice> notice and another loses its disk <gap> s later, once one has joined
    Given 3 instances with 3 seeds and a fault tolerance of 1
    And 20 accepted changes
    When a new instance has run for 5 seconds, another is removed <notice> notice, and one more loses its disk <gap> seconds later
    Then within 12 seconds 3 of the running instances vote
    And a leader accepts another change
    And every running instance holds all accepted changes

    Examples:
      | gap | notice  |
      | 0   | with    |
      | 1   | with    |
      | 0   | without |
      | 0.5 | without |
      | 1   | without |
      | 2.5 | without |

  # Guards against a voter that is removed again after its restart, since its
  # request to leave still counts.
  Scenario Outline: A voter that is stopped as planned is a voter again after a restart that takes <pause> s
    Given 4 instances with 3 seeds and a fault tolerance of 1
    When each voter in turn is stopped with notice and started <pause> seconds later
    Then within 8 seconds 4 of the running instances vote
    And every running instance applies a newly proposed change
    And the voters have changed 8 times since

    Examples:
      | pause |
      | 0.1   |
      | 1     |

  Scenario: A voter that is needed for the fault tolerance stays one while it is stopped
    Given 3 instances with 3 seeds and a fault tolerance of 1
    When a voter gives notice and 5 seconds pass
    Then within 1 seconds 3 of the running instances vote

  Scenario: A voter that was only cut off catches up
    Given 4 instances with 3 seeds and a fault tolerance of 1
    And 20 accepted changes
    When a voter is cut off for 10 seconds
    And 5 changes are proposed to the leader
    And the network heals
    Then within 8 seconds every running instance is a member
    And every running instance applies a newly proposed change

  Scenario: A new instance finds the cluster although two seeds are gone
    Given 4 instances with 3 seeds and a fault tolerance of 1
    When two seeds are replaced by new instances, one after the other
    Then within 8 seconds 4 of the running instances vote
    And a leader accepts another change

  Scenario Outline: An accepted change survives <lost> lost disks among <size> instances
    Given <size> instances with 3 seeds and a fault tolerance of <lost>
    When a change is accepted, all instances are killed, and <lost> voters that have it restart with empty disks, the others with their own
    Then within 15 seconds a leader accepts another change
    And every running instance holds all accepted changes

    Examples:
      | size | lost |
      | 3    | 1    |
      | 4    | 1    |
      | 5    | 2    |
      | 6    | 2    |
