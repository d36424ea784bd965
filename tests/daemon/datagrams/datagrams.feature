Feature: Fair reading of several sockets, and reports of dropped datagrams

  Scenario: A flooded socket doesn't delay the datagram of another socket
    Given a socket with a batch size of 16 and 200 queued datagrams
    And a socket with a batch size of 64 and 1 queued datagram
    When both are served until all datagrams are read
    Then the 1 datagram was read after at most 16 of the 200
    And all 201 were read

  Scenario: A datagram that the operating system rejects is reported
    When a datagram of 65530 bytes is sent
    Then it is reported as dropped with the reason "too long"
