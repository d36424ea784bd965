Feature: One replica keeps the rules on which the others rely

  Scenario Outline: Asked in term <term> for a log up to <last>, it answers <answer>
    Given a replica in term 5 that voted for "<voted>" and whose last entry is 10 of term 4
    When it is asked for its vote in term <term> by "b/1" with last entry <last>
    Then it answers <answer>, after what it must remember is durable
    And a restart does not let it vote for "c/1" in term <term>, when it answered yes

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

  Scenario Outline: A pre-vote <seconds> after the leader's last message is <answer>
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    And it has heard its leader "c/1" just now
    When <seconds> seconds later "b/1" asks for a pre-vote with last entry <last>
    Then the pre-vote is <answer> and nothing has changed

    Examples:
      | seconds | last         | answer  |
      | 0.5     | 10 of term 4 | refused |
      | 0.9     | 11 of term 5 | refused |
      | 1.1     | 10 of term 4 | granted |
      | 1.1     | 9 of term 4  | refused |

  Scenario Outline: A new leader commits entry <matched> when a quorum holds it: <commits>
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to <matched>
    Then the entries up to <commits> are committed

    Examples: an entry of an earlier term is not committed by counting
      | matched | commits |
      | 9       | 0       |
      | 10      | 0       |
      | 11      | 11      |

  Scenario Outline: Late entries <first> to <last> of term <term> leave the log at <length>
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    When its leader "c/1" sends entries <first> to <last> of term <term>
    Then its log ends at <length>

    Examples:
      | first | last | term | length |
      | 3     | 5    | 4    | 10     |
      | 9     | 12   | 4    | 12     |
      | 9     | 9    | 5    | 9      |
      | 12    | 13   | 5    | 10     |

  Scenario: A leader of an earlier term is told so and changes nothing
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    When a leader of term 4 sends entries in the place of 9
    Then its log ends at 10
    And the leader of term 4 learns of term 5

  Scenario: What was proposed is durable before it is sent or answered
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And two commands are proposed
    Then the first action makes entries 12 and 13 durable

  Scenario: Only one change of the membership is under way
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "d/1" and "e/1" ask to be let in
    Then no change begins before an entry of term 6 is committed
    And the second change begins only after the first is committed

  Scenario: A new leader answers no read before an entry of its own term
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And a read begins
    And "b/1" answers the read's round and holds the entries up to 10
    Then the read is not answered, and no quorum is proved
    When "b/1" answers the read's round and holds the entries up to 11
    Then the read is answered at 11

  Scenario Outline: The only voter of <named> named instances <verdict>
    Given a replica that is the only voter, where <named> instances are named
    When a command is proposed
    Then it <verdict>

    Examples:
      | named | verdict                       |
      | 1     | accepts the command           |
      | 2     | refuses for want of voters    |
      | 3     | refuses for want of voters    |
      | 5     | refuses for want of voters    |

  Scenario: A learner votes once it holds what is committed
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to 11
    And "d/1" is let in as a learner
    Then "d/1" does not vote when it holds the entries up to 0
    And "d/1" does not vote when it holds the entries up to 11
    And "d/1" votes when it holds the entries up to 12

  Scenario: A learner does not take the place of a voter that is alive
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to 11
    And "b/2" is let in as a learner
    Then "b/2" does not vote when it holds the entries up to 12
    And "b/1" is still a voter

  Scenario: A retired identity is told so and not let in again
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And "b/1" holds the entries up to 11
    And "d/1" is let in as a learner
    And "d/2" takes the place of "d/1"
    And "d/1" asks to be let in again
    Then "d/1" is told that it is retired
    And "d/1" is no member

  Scenario Outline: <kind> of another cluster changes nothing
    Given a replica in term 5 that voted for "c/1" and whose last entry is 10 of term 4
    When it gets <kind> of another cluster in term 9
    Then it does nothing

    Examples:
      | kind           |
      | a vote request |
      | an append      |
      | a join         |

  Scenario: A silent replica gets heartbeats only, until it answers
    Given a replica in term 5 that voted for "a/1" and whose last entry is 10 of term 4
    When it becomes the leader of term 6
    And 3 seconds pass in which only "b/1" answers
    And two commands are proposed
    Then "b/1" is sent 2 entries
    And "c/1" is sent 0 entries
    When "c/1" answers that it lacks the entries after 10
    Then "c/1" is sent 3 entries
