Feature: A cluster that has stopped as a whole is back soon

  Scenario Outline: All <size> instances are killed and started at once
    Given <size> control instances that all vote
    And 20 accepted changes
    When all instances are killed and started at once
    Then within 1 second there is a leader
    And no instance that starts anew disturbs it for 5 seconds

    Examples:
      | size |
      | 3    |
      | 5    |
