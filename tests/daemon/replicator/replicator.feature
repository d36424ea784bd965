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
      | a full disk    |
      | a failed fsync |

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
