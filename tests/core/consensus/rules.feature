Feature: A single replica follows the safety rules of Raft

  Scenario Outline: A vote request of term <term> with last entry <last>, after a vote for "<voted>", is answered <answer>
    Given a replica in term 5 that voted for "<voted>" and whose last entry is 10 of term 4
    When it is asked for its vote in term <term> by "b/1" with last entry <last>
    Then it answers <answer>, after its term and vote are durable
    And after a restart it does not vote for "c/1" in term <term>, when it answered yes

    Examples:
      | voted | term | last         | answer |
      |       | 5    | 10 of term 4 | yes    |
      | b/1   | 5    | 10 of term 4 | yes    |
      | c/1   | 5    | 10 of term 4 | no     |
      | c/1   | 6    | 10 of term 4 | yes    |
      |       | 4    | 10 of term 4 | no     |
      |       | 6    | 9 of term 4  | no     |
      |       | 6    | 11 of term 3 | no     |
      |       | 6    | 1 of term 5  | yes    |
      |       | 6    | 11 of term 4 | yes    |

  Scenario Outline: A pre-vote requested <seconds> seconds after the leader's last message is <answer>
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    And it has just received a heartbeat from its leader "c/1"
    When <seconds> seconds later "b/1" asks for a pre-vote with last entry <last>
    Then the pre-vote is <answer> and nothing has changed

    Examples:
      | seconds | last         | answer  |
      | 0.5     | 10 of term 4 | refused |
      | 0.9     | 11 of term 5 | refused |
      | 1.1     | 10 of term 4 | granted |
      | 1.1     | 9 of term 4  | refused |

  Scenario Outline: When a quorum holds the entries up to <matched>, a new leader commits those up to <commits>
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to <matched>
    Then the entries up to <commits> are committed

    Examples: an entry of an earlier term is not committed by counting its replicas
      | matched | commits |
      | 9       | 0       |
      | 10      | 0       |
      | 11      | 11      |

  Scenario Outline: After a delayed append of entries <first> to <last> of term <term>, the log ends at <length>
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    When its leader "c/1" sends entries <first> to <last> of term <term>
    Then its log ends at <length>

    Examples:
      | first | last | term | length |
      | 3     | 5    | 4    | 10     |
      | 9     | 12   | 4    | 12     |
      | 9     | 9    | 5    | 9      |
      | 12    | 13   | 5    | 10     |

  Scenario: An append of an earlier term is rejected with the current term
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    When a leader of term 4 sends an entry that would replace 9
    Then its log ends at 10
    And the leader of term 4 is told of term 5

  Scenario: Proposed commands become durable before they are sent or acknowledged
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And two commands are proposed
    Then the first action makes entries 12 and 13 durable

  Scenario: Membership changes are made one at a time
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "d/1" and "e/1" ask to join
    Then no change begins before an entry of term 6 is committed
    And the second change begins only after the first is committed

  Scenario: A new leader answers no read before an entry of its own term is committed
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And a read begins
    And "b/1" acknowledges the read's heartbeat round and holds the entries up to 10
    Then the read is not answered, and no quorum is confirmed
    When "b/1" acknowledges the read's heartbeat round and holds the entries up to 11
    Then the read is answered at 11

  Scenario Outline: With <configured> instances in the settings, a single voter <verdict>
    Given a replica that is the only voter, with <configured> instances in the settings
    When a command is proposed
    Then it <verdict>

    Examples:
      | configured | verdict                                |
      | 1          | accepts the command                    |
      | 2          | refuses the command for too few voters |
      | 3          | refuses the command for too few voters |
      | 5          | refuses the command for too few voters |

  Scenario: A learner becomes a voter once it holds all committed entries
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to 11
    And "d/1" is admitted as a learner
    Then "d/1" does not vote when it holds the entries up to 0
    And "d/1" does not vote when it holds the entries up to 11
    And "d/1" votes when it holds the entries up to 12

  Scenario: A learner does not replace a voter that still responds
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to 11
    And "b/2" is admitted as a learner
    Then "b/2" does not vote when it holds the entries up to 12
    And "b/1" is still a voter

  Scenario: A retired identity is told so and not admitted again
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to 11
    And "d/1" is admitted as a learner
    And "d/2" replaces the learner "d/1"
    And "d/1" asks to join again
    Then "d/1" is told that it is retired
    And "d/1" is not a member

  Scenario Outline: <kind> from another cluster is ignored
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    When it receives <kind> from another cluster in term 9
    Then it does nothing

    Examples:
      | kind           |
      | a vote request |
      | an append      |
      | a join request |

  Scenario: A replica that does not respond gets no entries until it does
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And 3 seconds pass in which only "b/1" responds
    And two commands are proposed
    Then "b/1" is sent 2 entries
    And "c/1" is sent 0 entries
    When "c/1" responds that it lacks the entries after 10
    Then "c/1" is sent 3 entries
