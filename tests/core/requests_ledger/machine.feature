Feature: A key is granted at most once in its life

  Scenario: Messages are lost, doubled and reordered, agents restart and leave
    When 400 runs of 40 faults are tried
    Then no key was granted twice
