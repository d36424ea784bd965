Feature: An order that is sent again does not run again

  Background:
    Given 5 agents that share a ledger

  Scenario Outline: The holder is killed and the order is sent to another agent
    When the order is sent to a
    And a is killed, <step>
    And control notices after 30 s
    And the order is sent again to b
    Then the answer to b is <answer>
    And the order was granted <grants> times

    Examples:
      | step                           | answer          | grants |
      | before it asks for votes       | granted         | 1      |
      | once the replicas have voted   | unknown outcome | 0      |
      | once it holds the grant        | unknown outcome | 1      |
      | once the run ended             | unknown outcome | 1      |
      | once one replica has the answer| replayed        | 1      |
      | once all have the answer       | replayed        | 1      |

  Scenario Outline: The holder <fate> after any number of messages
    When the holder <fate> after each number of messages up to 40
    Then the order never ran twice, and was granted again only if never before

    Examples:
      | fate     |
      | leaves   |
      | restarts |

  Scenario Outline: An order is sent again
    When the order is granted to a
    And <event>
    And the order is sent again to <agent>
    And 1 s pass
    Then the answer to <agent> is <answer>
    And the order was granted 1 times

    Examples:
      | event                            | agent | answer          |
      | the target answers               | a     | replayed        |
      | the target answers               | b     | replayed        |
      | the target's answer is lost      | a     | unknown outcome |
      | the target's answer is lost      | b     | unknown outcome |
      | nothing more happens             | a     | waiting         |
      | nothing more happens             | b     | waiting         |

  Scenario Outline: An order that is sent again while it runs gets its answer
    When the order is granted to a
    And the order is sent again to <agent>
    And the target answers
    And 1 s pass
    Then the answer to <agent> is replayed

    Examples:
      | agent |
      | a     |
      | c     |

  Scenario: One that is sent twice at once to one agent runs once
    When the order is sent twice at once to a
    And the target answers
    Then the second is replayed
    And the order was granted 1 times

  Scenario Outline: A key that can not be used
    When an order with a key <form> is sent to a
    Then the answer to a is <answer>

    Examples:
      | form                | answer         |
      | without a time      | malformed      |
      | issued 700 s ago    | expired        |
      | issued 20 s ahead   | not yet issued |
      | of another order    | other request  |

  Scenario: A second agent is lost just after the repair of the first
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

  Scenario: A partition leaves the smaller side without a grant
    When the replicas of the order but one are cut off with c
    And the order is sent to the agent on the smaller side
    And the order is sent to the larger side
    And 1 s pass
    Then the larger side is granted
    And the smaller side is waiting
    When the partition ends
    And the target answers
    And 2 s pass
    Then the smaller side is replayed

  Scenario: The holder's news of the answer is lost at first
    When the order is granted to a
    And the target answers while all messages are lost
    And 1 s pass
    And the order is sent again to b
    Then the answer to b is replayed

  Scenario Outline: What is asked before a refusal as not run
    When <event>
    And c looks the order up
    And <later>
    Then the answer to c is <answer>

    Examples:
      | event                                 | later              | answer          |
      | nothing more happens                  | 1 s pass           | not run         |
      | the order is granted to a             | 1 s pass           | waiting         |
      | the order is granted to a             | the target answers | replayed        |
      | the order is granted to a, which dies | 31 s pass          | unknown outcome |
      | c is cut off                          | 31 s pass          | unknown outcome |

  Scenario: An agent that control no longer confirms grants nothing
    Given control no longer reaches a
    And 5 s pass
    When the order is sent to a
    And 31 s pass
    Then the answer to a is unknown outcome
    And the order was granted 0 times

  Scenario: A cold service grants once clocks that differ agree on its start
    Given 3 agents of a service that was formed just now
    When 3 s pass
    And the order is sent to a
    Then the answer to a is waiting
    When 3 s pass
    Then the answer to a is granted

  Scenario: Replicas that have forgotten their votes do not vote again
    When the order is granted to a
    And two replicas of the order restart while the third is cut off
    And the order is sent again to an agent that kept running
    And 31 s pass
    Then the answer is unknown outcome
    And the order was granted 1 times

  Scenario: A new set of replicas does not grant without the old one
    When the order is granted to a
    And two replicas of the order leave while the third is cut off
    And 3 s pass
    And the order is sent again to an agent that kept running
    And 31 s pass
    Then the answer is unknown outcome
    And the order was granted 1 times

  Scenario: A vote of a replica that has restarted since does not count
    When one agent holds the vote of a replica that restarts
    And another agent is granted the order by that replica and a second
    And the third replica votes for the first agent
    Then the order was granted 1 times

  Scenario: A key that nobody answers for is asked about ever less often
    Given a is cut off from the others
    When the order is sent to a
    And 20 s pass
    Then a has asked at most 16 times

  Scenario Outline: Control is away for a time
    Given control reaches no agent for 5 s, and <meanwhile>
    When the order is sent to a
    And 3 s pass
    Then the answer to a is <answer>

    Examples:
      | meanwhile           | answer  |
      | nothing changes     | granted |
      | c leaves            | waiting |
      | c leaves and starts | waiting |
