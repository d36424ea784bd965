Feature: A replicator accepts commands and keeps them on its disk

  Scenario Outline: <size> instances accept commands and keep them
    Given <size> replicators that all vote
    When 50 commands are proposed to the leader at once
    Then all are accepted, each with the outcome of its index
    And a read barrier on every instance shows them
    When all replicators are stopped and started
    Then a read barrier on every instance shows them
    And a further command is accepted

    Examples:
      | size |
      | 1    |
      | 3    |
      | 5    |

  Scenario: A command outlives the loss of the leader
    Given 3 replicators that all vote
    When 50 commands are proposed to the leader at once
    And the leader is stopped
    Then a further command is accepted
    And a read barrier on every instance shows them

  Scenario: An instance that does not lead names the leader's address
    Given 3 replicators that all vote
    Then a command proposed to a follower is not taken and names the leader

  Scenario: A cut-off leader accepts nothing and is not fresh
    Given 3 replicators that all vote
    When the leader is cut off from the others
    Then a command proposed to it has an unknown outcome or is not taken
    And its read barrier fails
    And its freshness passes 1 second
    And a further command is accepted by the others

  Scenario Outline: After <fault> the replica answers nothing more
    Given 1 replicators that all vote
    When its disk suffers <fault>
    Then a command has an unknown outcome
    And the task has ended and does not run again
    And a further command is refused
    And a restart with a good disk holds all that was accepted

    Examples:
      | fault          |
      | a full disk    |
      | a failed fsync |

  Scenario: A snapshot takes the place of many entries
    Given 3 replicators that all vote
    When 3000 commands are proposed to the leader at once
    Then every journal holds fewer than 2000 entries
    When all replicators are stopped and started
    Then a read barrier on every instance shows them

  Scenario: A snapshot takes the place of large entries
    Given 3 replicators that all vote
    When 80 commands of 500000 bytes are proposed to the leader in turn
    Then every journal file is shorter than 30000000 bytes
    When all replicators are stopped and started
    Then a read barrier on every instance shows them

  Scenario: A lost folder is filled again under a new identity
    Given 3 replicators that all vote
    When 50 commands are proposed to the leader at once
    And a follower loses its data folder
    Then it holds all commands again and votes under a new identity

  Scenario: A damaged journal is not started from
    Given 1 replicators that all vote
    When 50 commands are proposed to the leader at once
    And its journal is damaged and it is started
    Then the task has ended and does not run again

  Scenario: A second process is kept out of a data folder
    Given 1 replicators that all vote
    Then its data folder can't be opened a second time
