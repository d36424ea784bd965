Feature: No disk fault loses an accepted change

  Scenario Outline: <who> is killed at step <step> of <what>
    Given 3 control instances that all vote
    And 20 accepted changes
    When <who> is killed at step <step> of <what>
    And 4 seconds pass
    And the killed instance is started and 3 seconds pass
    Then every instance holds the same changes
    And the state of every instance is less than 0.5 seconds old
    And every instance votes under its current identity

    Examples: an append has the steps write and sync
      | who        | step | what      |
      | the leader | 1    | an append |
      | the leader | 2    | an append |
      | a follower | 1    | an append |
      | a follower | 2    | an append |

    Examples: a snapshot has the steps write, sync, rename and sync of the folder
      | who        | step | what       |
      | the leader | 1    | a snapshot |
      | the leader | 2    | a snapshot |
      | the leader | 3    | a snapshot |
      | the leader | 4    | a snapshot |
      | a follower | 1    | a snapshot |
      | a follower | 4    | a snapshot |

    Examples: a snapshot from the leader, for a follower that lacks compacted entries
      | who        | step | what                    |
      | a follower | 1    | a snapshot installation |
      | a follower | 2    | a snapshot installation |
      | a follower | 3    | a snapshot installation |
      | a follower | 4    | a snapshot installation |

  Scenario Outline: <fault> stops the process of <who> but not the cluster
    Given 3 control instances that all vote
    And 20 accepted changes
    When <fault> of <who> happens as changes are proposed
    Then its process has stopped with a failure of the journal
    And it has sent no message after the fault
    When 4 seconds pass
    Then a leader accepts another change
    When the stopped instance is started and 3 seconds pass
    Then every instance holds the same changes

    Examples:
      | fault         | who        |
      | a full disk   | the leader |
      | a full disk   | a follower |
      | a failed sync | the leader |
      | a failed sync | a follower |

  Scenario Outline: The journal of <who> is damaged <where>
    Given 3 control instances that all vote
    And 20 accepted changes
    When <who> is stopped and a bit of its journal is flipped <where>
    Then it does not start, and the failure names the offset
    When its data folder is moved away and it is started
    And 6 seconds pass
    Then every instance holds the same changes
    And every instance votes under its current identity

    Examples:
      | who        | where         |
      | the leader | in the middle |
      | a follower | in the middle |
      | a follower | at the end    |
