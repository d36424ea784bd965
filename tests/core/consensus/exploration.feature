Feature: The cluster stays consistent under random faults

  Scenario: Faults of the network, the disks and the clocks in any order
    Given rules for lost, duplicated and reordered messages, partitions, kills at each disk operation, lost disks and passing time
    Then under fixed seeds no term has two leaders
    And no committed entry is lost or changed, or applied twice
    And no applied index goes down
    And no read and no reported age of the state misses an earlier accepted change
