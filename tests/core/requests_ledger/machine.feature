Feature: A key is granted at most once in its life

  Scenario: Messages are lost, doubled and reordered, agents restart and leave
    When 300 runs of 30 faults are tried
    Then no key was granted twice
