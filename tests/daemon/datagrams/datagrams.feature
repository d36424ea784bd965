Feature: A socket that is flooded leaves others their turn

  Scenario: An answer is read before a flood is
    Given a socket with a batch of 16 before which 200 datagrams wait
    And a socket with a batch of 64 before which 1 datagram waits
    When both are served until all is read
    Then the 1 datagram was read after at most 16 of the 200
    And all 201 were read

  Scenario: A datagram that the system does not take is not dropped in silence
    When a datagram of 65530 bytes is sent
    Then it is reported as dropped with the reason "too long"
