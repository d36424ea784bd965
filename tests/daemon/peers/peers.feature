Feature: Silent links between control instances are replaced

  Scenario: The link to an instance that answers is kept
    Given a control instance that sends to another one every 0.2 s
    When the other instance answers for 10 s
    Then the instance was dialed 1 time
    And the first link was pinged at least 20 times

  Scenario: A link that stays silent is closed and dialed again
    Given a control instance that sends to another one every 0.2 s
    When the other instance answers for 3 s
    And the link receives nothing for 1.5 s
    Then the instance was dialed 2 times; only the first link is closed

  Scenario: An unreachable instance is redialed at a limited rate
    Given a control instance that sends to another one every 0.2 s
    When the link receives nothing for 12 s
    Then the instance was dialed at most 11 times

  Scenario: Nothing is sent to a name that is not an address
    Given a control instance that sends to another one every 0.2 s
    Then a message to "nowhere" is not sent
