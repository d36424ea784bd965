Feature: Faults of the network

  Scenario: An isolated leader accepts no change and answers no read
    Given 3 control instances that all vote
    And 5 accepted changes
    When the leader is isolated from the others for 60 seconds
    Then the isolated instance is not the leader
    And no change that was proposed to the isolated instance is accepted
    And the state of the isolated instance is more than 59 seconds old
    And no read on the isolated instance is answered
    When the network heals and 5 seconds pass
    Then every instance holds the same changes
    And the state of every instance is less than 0.5 seconds old

  Scenario Outline: A follower isolated over <count> changes catches up, <snapshot>
    Given 3 control instances that all vote
    When a follower is isolated from the others for 3 seconds
    And <count> changes are proposed to the leader, <snapshot>
    And the network heals and 3 seconds pass
    Then every instance holds the same changes
    And the term is the same as before

    Examples:
      | count | snapshot           |
      | 10    | without a snapshot |
      | 800   | without a snapshot |
      | 800   | with a snapshot    |

  Scenario Outline: <fault> does not disturb a working leader
    Given 3 control instances that all vote
    When <fault> for 20 seconds
    And the network heals and 3 seconds pass
    Then the term is the same as before
    And the state of every instance is less than 0.5 seconds old

    Examples:
      | fault                                    |
      | a follower is isolated from the others   |
      | a follower receives nothing but can send |

  Scenario Outline: No change is accepted twice while <share> percent of all messages are <fate>
    Given 3 control instances that all vote
    When <share> percent of all messages are <fate> while 100 changes are proposed
    And the network heals and 5 seconds pass
    Then every instance holds the same changes
    And some of the changes were accepted

    Examples:
      | share | fate       |
      | 20    | lost       |
      | 30    | duplicated |
      | 50    | reordered  |

  Scenario: Changes that an isolated leader could not commit are discarded
    Given 3 control instances that all vote
    When the leader is isolated and 200 changes are proposed to it
    And the others accept 300 changes
    And the network heals and 3 seconds pass
    Then every instance holds the same changes
    And no instance holds any of the 200 changes

  Scenario: Once a leader is isolated, only its successor answers reads
    Given 3 control instances that all vote
    And 5 accepted changes
    When the leader is isolated from the others for 6 seconds
    And a change is accepted by the others
    Then a read on the isolated former leader is not answered
    And a read on the new leader sees the change

  Scenario: A read needs a heartbeat round that began after it
    Given 3 control instances that all vote
    And 5 accepted changes
    When the leader receives no more messages
    Then a read on the leader is not answered

  Scenario: The age of the state counts from when a heartbeat was sent
    Given 3 control instances that all vote
    And 5 accepted changes
    When all messages of one heartbeat arrive 10 seconds late
    Then the state of every instance is more than 9 seconds old

  # Guards against reads that miss what was accepted: a leader took the
  # rejection of its former process's appends for answers to its heartbeats.
  Scenario: A leader that was frozen does not answer a read by itself
    Given 3 control instances that all vote
    And 5 accepted changes
    When the appends of 1 second to a follower arrive only after the leader has restarted and leads again
    And the leader is frozen while the others accept a change
    Then the first read on it is not answered

  # Guards against the same at a follower: the answer to a read of its former
  # process would confirm one that began later.
  Scenario: A read is not confirmed by the answer to one of a former process
    Given 3 control instances that all vote
    And 5 accepted changes
    When the answer to a read on a follower arrives only after it has restarted and 5 more changes are accepted
    Then a read that it has begun meanwhile is not confirmed by that answer
