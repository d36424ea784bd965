Feature: A key is granted at most once

  Scenario: Messages are lost, duplicated and reordered while agents restart and leave
    When 300 sequences of 30 random steps are run
    Then no key was granted twice
