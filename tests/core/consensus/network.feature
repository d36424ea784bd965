Feature: Faults of the network

  Scenario: A leader isolated for a long time accepts nothing
    Given 3 control instances that all vote
    And 5 accepted changes
    When the leader is isolated from the others for 60 seconds
    Then no instance among the isolated leads
    And no change that was proposed to the isolated is accepted
    And the freshness of the isolated passes 59 seconds
    And no read on the isolated is answered
    When the network is healed for 5 seconds
    Then every instance holds the same changes
    And every instance is fresh

  Scenario Outline: A follower isolated over <count> changes catches up, <snapshot>
    Given 3 control instances that all vote
    When a follower is isolated from the others for 3 seconds
    And <count> changes are proposed to the leader, <snapshot>
    And the network is healed for 3 seconds
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
    And the network is healed for 3 seconds
    Then the term is the same as before
    And every instance is fresh

    Examples:
      | fault                                    |
      | a follower is isolated from the others   |
      | a follower hears nothing but can send    |

  Scenario Outline: Changes are accepted once although <share> percent of all messages are <fate>
    Given 3 control instances that all vote
    When <share> percent of all messages are <fate> while 100 changes are proposed
    And the network is healed for 5 seconds
    Then every instance holds the same changes
    And some of the changes were accepted

    Examples:
      | share | fate      |
      | 20    | lost      |
      | 30    | doubled   |
      | 50    | reordered |

  Scenario: Changes of an isolated leader give way to those accepted meanwhile
    Given 3 control instances that all vote
    When the leader is isolated and takes 200 changes that it can't accept
    And the others accept 300 changes
    And the network is healed for 3 seconds
    Then every instance holds the same changes
    And none of the 200 changes is held anywhere

  Scenario: A read on a new leader sees what the former one accepted
    Given 3 control instances that all vote
    And 5 accepted changes
    When the leader is isolated from the others for 6 seconds
    And a change is accepted by the others
    Then a read on the isolated former leader is not answered
    And a read on the new leader sees the change

  Scenario: A read needs a round that began after it
    Given 3 control instances that all vote
    And 5 accepted changes
    When the leader gets no further message
    Then a read on the leader is not answered

  Scenario: A heartbeat that was under way for long proves nothing
    Given 3 control instances that all vote
    And 5 accepted changes
    When all messages of one heartbeat arrive 10 seconds late
    Then the freshness of every instance passes 9 seconds
