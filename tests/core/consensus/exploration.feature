Feature: What was accepted holds whatever happens

  Scenario: Faults of the network, the disks and the time in any order
    Given rules for lost, doubled and reordered messages, partitions, kills at each disk step, lost disks and time
    Then under fixed seeds no term has two leaders
    And no committed entry is lost or changed, or applied twice
    And no applied index goes down
    And no read or freshness misses what was accepted before
