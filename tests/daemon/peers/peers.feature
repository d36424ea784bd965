Feature: Connections between control instances that go silent are replaced

  Scenario: An instance that answers keeps its connection
    Given a control instance that sends to another every 0.2 s
    When the other answers for 10 s
    Then it was dialed 1 time
    And it was asked for a sign of life at least 20 times

  Scenario: A connection that goes silent for good is dialed anew
    Given a control instance that sends to another every 0.2 s
    When the other answers for 3 s
    And its connection is silent for 1.5 s
    Then it was dialed 2 times, and the former connection is closed

  Scenario: An instance that is gone is dialed again and again, but rarely
    Given a control instance that sends to another every 0.2 s
    When its connection is silent for 12 s
    Then it was dialed at most 11 times

  Scenario: Nothing is sent to a name that is no address
    Given a control instance that sends to another every 0.2 s
    Then a message to "nowhere" is not sent
