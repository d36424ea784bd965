Feature: The platform's packets are decoded and built according to their format

  Scenario: A caller's SYN packet opens a flow
    When the packet "00000000bb01419c0700406401001 2c6080000000000443322110000000000 00d5c3b2a1" is read
    Then it opens the flow 100.64.0.7:40001>198.18.0.1:443 with sequence 0x11223344

  Scenario: A reset that the balancer builds itself
    When a reset for the flow 100.64.0.7:40001>198.18.0.1:443 is built
    Then it is "00000000419cbb01010012c607004064800000000000000000000000000000000000 0000"

  Scenario: A target's packet belongs to the flow of its caller
    When a target's packet from 198.18.0.1:443 to 100.64.0.7:40001 with flags 12 is read
    Then it accepts the flow 100.64.0.7:40001>198.18.0.1:443

  Scenario: A returned packet belongs to the flow of the caller that sent it
    When a target's packet from 100.64.0.7:40001 to 198.18.0.1:443 with flags 5 is read
    Then it is a returned packet of the flow 100.64.0.7:40001>198.18.0.1:443
    And restored to what its caller sent, its flags are 4

  Scenario: Malformed packets are rejected
    When 500 random, truncated and overlong packets of each kind are read
    Then none is accepted, and no exception is raised
