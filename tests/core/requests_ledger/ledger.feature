Feature: An order with an idempotency key runs at most once

  Background:
    Given 5 agents that share a ledger

  Scenario Outline: The holder is killed and the order is sent again to another agent
    When the order is sent to a
    And a is killed, <step>
    And control removes a after 30 s
    And the order is sent again to b
    Then the answer to b is <answer>
    And the order was granted <grants> times

    Examples:
      | step                                     | answer          | grants |
      | before it requests votes                 | granted         | 1      |
      | once the replicas have voted             | unknown outcome | 0      |
      | once it is granted the key               | unknown outcome | 1      |
      | once the run has ended                   | unknown outcome | 1      |
      | once one replica has stored the answer   | replayed        | 1      |
      | once all replicas have stored the answer | replayed        | 1      |

  Scenario Outline: The holder <event> after any number of messages
    When the holder <event> after each number of messages up to 40
    Then the order was granted at most once and was always answered

    Examples:
      | event    |
      | leaves   |
      | restarts |

  Scenario Outline: An order is sent again after it was granted
    When the order is granted to a
    And <event>
    And the order is sent again to <agent>
    And 1 s pass
    Then the answer to <agent> is <answer>
    And the order was granted 1 times

    Examples:
      | event                       | agent | answer          |
      | the target answers          | a     | replayed        |
      | the target answers          | b     | replayed        |
      | the target's answer is lost | a     | unknown outcome |
      | the target's answer is lost | b     | unknown outcome |
      | nothing more happens        | a     | waiting         |
      | nothing more happens        | b     | waiting         |

  Scenario Outline: An order that is sent again while it runs gets the answer of the run
    When the order is granted to a
    And the order is sent again to <agent>
    And the target answers
    And 1 s pass
    Then the answer to <agent> is replayed

    Examples:
      | agent |
      | a     |
      | c     |

  Scenario: An order that is sent twice at once to one agent runs once
    When the order is sent twice at once to a
    And the target answers
    Then the second order is replayed
    And the order was granted 1 times

  Scenario Outline: An order with an unusable key is refused
    When an order with a key <form> is sent to a
    Then the answer to a is <answer>

    Examples:
      | form                  | answer         |
      | without an issue time | malformed      |
      | issued 700 s ago      | expired        |
      | issued 20 s ahead     | not yet issued |
      | of another order      | other request  |

  Scenario: A replica leaves just after the holder's record was copied to a new one
    When the order is granted to a
    And the target answers
    And 2 s pass
    And a leaves
    And 2 s pass
    And a replica of the order leaves
    And 2 s pass
    And the order is sent again to a live agent
    Then the answer is replayed

  Scenario: All agents restart, one after another
    When the order is granted to a
    And the target answers
    And all agents restart, 3 s apart
    And the order is sent again to b
    Then the answer to b is replayed

  Scenario: All agents restart at once
    When the order is granted to a
    And the target answers
    And all agents restart, 0 s apart
    And the order is sent again to b
    And 31 s pass
    Then the answer to b is unknown outcome
    And the order was granted 1 times

  Scenario: Only the majority side of a partition grants a key
    When a partition separates one replica of the order from the two others
    And the order is sent to the replica in the minority
    And the order is sent to a replica in the majority
    And 1 s pass
    Then the order in the majority is granted
    And the order in the minority is waiting
    When the partition ends
    And the target answers
    And 2 s pass
    Then the order in the minority is replayed

  Scenario: The first messages with the outcome of a run are lost
    When the order is granted to a
    And the target answers while all messages are lost
    And 1 s pass
    And the order is sent again to b
    Then the answer to b is replayed

  Scenario Outline: The ledger is asked before an order is refused as not run
    When <event>
    And c looks the order up
    And <later>
    Then the answer to c is <answer>

    Examples:
      | event                                   | later              | answer          |
      | nothing more happens                    | 1 s pass           | not run         |
      | the order is granted to a               | 1 s pass           | waiting         |
      | the order is granted to a               | the target answers | replayed        |
      | the order is granted to a, which leaves | 31 s pass          | unknown outcome |
      | c is isolated                           | 31 s pass          | unknown outcome |

  Scenario: An agent without a recent confirmation by control grants no key
    Given control no longer reaches a
    And 5 s pass
    When the order is sent to a
    And 31 s pass
    Then the answer to a is unknown outcome
    And the order was granted 0 times

  Scenario: A new service grants no key until the tolerated clock skew has passed
    Given 3 agents of a service that was formed just now
    When 3 s pass
    And the order is sent to a
    Then the answer to a is waiting
    When 3 s pass
    Then the answer to a is granted

  Scenario: Replicas that have lost their votes in a restart do not vote again
    When the order is granted to a
    And two replicas of the order restart while the third is isolated
    And the order is sent again to an agent that kept running
    And 31 s pass
    Then the answer is unknown outcome
    And the order was granted 1 times

  Scenario: A new replica set does not grant a key without the old one
    When the order is granted to a
    And two replicas of the order leave while the third is isolated
    And 3 s pass
    And the order is sent again to an agent that kept running
    And 31 s pass
    Then the answer is unknown outcome
    And the order was granted 1 times

  Scenario: A vote from before the restart of a replica does not count
    When one agent has the vote of a replica, which then restarts
    And another agent is granted the order by that replica and a second one
    And the third replica votes for the first agent
    Then the order was granted 1 times

  Scenario: Rounds of messages without a response are repeated with backoff
    Given a is isolated from the others
    When the order is sent to a
    And 20 s pass
    Then a has sent at most 16 messages to each agent

  Scenario Outline: Control can not be reached for a time
    Given control reaches no agent for 5 s, and <meanwhile>
    When the order is sent to a
    And 3 s pass
    Then the answer to a is <answer>

    Examples:
      | meanwhile           | answer  |
      | nothing changes     | granted |
      | c leaves            | waiting |
      | c leaves and starts | waiting |
