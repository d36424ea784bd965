Feature: A replicator replicates commands and stores them on disk

  Scenario Outline: <size> instances accept commands and restore them after a restart
    Given <size> replicators that all vote
    When 50 commands are proposed to the leader concurrently
    Then all are accepted, with their own outcomes at increasing indexes
    And every instance holds the commands after a read barrier
    When all replicators are stopped and started
    Then every instance holds the commands after a read barrier
    And a further command is accepted

    Examples:
      | size |
      | 1    |
      | 3    |
      | 5    |

  Scenario: Accepted commands survive the loss of the leader
    Given 3 replicators that all vote
    When 50 commands are proposed to the leader concurrently
    And the leader is stopped
    Then a further command is accepted
    And every instance holds the commands after a read barrier

  Scenario: A follower rejects a command and returns the leader's address
    Given 3 replicators that all vote
    Then a command proposed to a follower is rejected with the leader's address

  Scenario: An isolated leader accepts no command and its state becomes stale
    Given 3 replicators that all vote
    When the leader is isolated from the others
    Then a command proposed to it has an unknown outcome or is rejected
    And its read barrier fails
    And its last quorum confirmation becomes older than 1 second
    And a further command is accepted by the others

  Scenario Outline: After <fault> the replica stops for good
    Given 1 replicators that all vote
    When its disk reports <fault>
    Then a command has an unknown outcome
    And its task has failed and fails again when run
    And a further command is refused
    And after a restart with a working disk it holds all accepted commands

    Examples:
      | fault          |
      | a failed write |
      | a failed fsync |

  Scenario Outline: A single replica whose <operation> finds the disk full goes on once it has room
    Given 1 replicators that all vote
    When the disk of the leader has no room for <operation>
    Then a command proposed to it is not accepted
    And it refuses further commands and reads at once, and counts as no leader
    When its disk has room again
    Then a further command is accepted
    And no task has ended, and each disk that was full is reported once
    When all replicators are stopped and started
    Then every instance holds all accepted commands

    Examples:
      | operation          |
      | an append          |
      | a torn append      |
      | a sync             |

  Scenario Outline: Disks that are full one after another, <gap> s apart, stop no change
    Given <size> replicators that all vote
    When the disk of each instance is full for 1.5 s, one after another with <gap> s between
    Then commands that were proposed to all instances meanwhile were accepted or are unknown
    And 100 further commands are accepted
    And no task has ended, and each disk that was full is reported once
    And every instance holds all accepted commands
    When all replicators are stopped and started
    Then every instance holds all accepted commands

    Examples:
      | size | gap |
      | 3    | 0.1 |
      | 3    | 1.0 |
      | 5    | 0.1 |
      | 7    | 0.1 |

  Scenario Outline: A disk that is full while an instance joins <end> stops no change
    Given 3 replicators with a fault tolerance of 1
    When the disk of <voter> is full and a further instance joins
    Then 20 further commands are accepted
    When the disk has room <end>
    Then 20 further commands are accepted
    And no task has ended, and each disk that was full is reported once
    And every instance holds all accepted commands
    And 4 instances vote

    Examples:
      | voter      | end                               |
      | the leader | at once                           |
      | a follower | at once                           |
      | a follower | after it was replaced as a voter  |
      | the leader | after it was replaced as a voter  |

  # Guards against a quorum that is lost because instances that are stopped for
  # good go on to count as voters.
  Scenario Outline: <instance> that is stopped waits until the others do without its vote
    Given 3 replicators with a fault tolerance of 1
    When a further instance joins and votes
    And <instance> leaves and is stopped
    Then 3 instances vote
    And 20 further commands are accepted
    When a follower leaves and is stopped
    Then it has not waited, since its vote is needed

    Examples:
      | instance   |
      | the leader |
      | a follower |

  Scenario Outline: <size> voters elect a leader around a disk that is full
    Given <size> replicators that all vote
    When the leader is stopped while the disk of a follower is full for 1.5 s
    Then 20 further commands are accepted
    And no task has ended, and each disk that was full is reported once
    When the stopped one is started
    Then every instance holds all accepted commands

    Examples:
      | size |
      | 3    |
      | 5    |

  Scenario: A snapshot that finds the disk full is written once it has room
    Given 3 replicators that all vote
    When the disk of the leader has no room for a snapshot
    And 1200 commands are proposed to it
    And its disk has room again
    Then a further command is accepted
    And no task has ended, and each disk that was full is reported once

  Scenario: A replica that starts with a full disk takes part once it has room
    Given 3 replicators that all vote
    When a follower is started again with a full disk
    Then a further command is accepted by the others
    When its disk has room again
    Then no task has ended, and each disk that was full is reported once
    And every instance holds all accepted commands

  Scenario: A snapshot replaces many entries
    Given 3 replicators that all vote
    When 3000 commands are proposed to the leader concurrently
    Then every journal holds fewer than 2000 entries
    When all replicators are stopped and started
    Then every instance holds the commands after a read barrier

  Scenario: A snapshot takes the place of large entries
    Given 3 replicators that all vote
    When 80 commands of 500000 bytes are proposed to the leader serially
    Then every journal file is shorter than 30000000 bytes
    When all replicators are stopped and started
    Then every instance holds the commands after a read barrier

  Scenario: Fewer disks than the fault tolerance wants are reported once
    Given 2 replicators with a fault tolerance of 1
    Then within 15 s a command is accepted
    And event 4008 was logged 1 time, with 2 of 3 voters
    And the counter of missing voters is 1

  Scenario: An instance that lost its data folder rejoins with a new identity
    Given 3 replicators that all vote
    When 50 commands are proposed to the leader concurrently
    And a follower loses its data folder
    Then it holds all commands and votes under a new identity

  Scenario: A replicator does not start from a damaged journal
    Given 1 replicators that all vote
    When 50 commands are proposed to the leader concurrently
    And its journal is damaged and it is started
    Then its task has failed and fails again when run

  Scenario: A data folder can be opened only once at a time
    Given 1 replicators that all vote
    Then its data folder can't be opened a second time
