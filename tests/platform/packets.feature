Feature: The platform's packets are read as they are written

  Scenario: An opening packet
    When the packet "00000000bb01419c0700406401001 2c6080000000000443322110000000000 00d5c3b2a1" is read
    Then it opens the flow 100.64.0.7:40001>198.18.0.1:443 with sequence 0x11223344

  Scenario: A reset of the system's own
    When a reset for the flow 100.64.0.7:40001>198.18.0.1:443 is made
    Then it is "00000000419cbb01010012c607004064800000000000000000000000000000000000 0000"

  Scenario: A target's packet belongs to the flow of its caller
    When a target's packet from 198.18.0.1:443 to 100.64.0.7:40001 with flags 12 is read
    Then it accepts the flow 100.64.0.7:40001>198.18.0.1:443

  Scenario: A packet that was given back belongs to its sender's flow
    When a target's packet from 100.64.0.7:40001 to 198.18.0.1:443 with flags 5 is read
    Then it was given back on the flow 100.64.0.7:40001>198.18.0.1:443
    And as its sender wrote it, its flags are 4

  Scenario: What is no packet is not read
    When 500 random and cut-off packets are read
    Then none is taken, and no error arises
