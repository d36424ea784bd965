Feature: When a balancer takes itself out

  Scenario Outline: The health of a balancer
    Given a balancer that is <state> and has heard of a quorum <age> s ago
    When an agent answers with the revision that is <revision>
    Then the balancer's health is <health>

    Examples:
      | state       | age | revision   | health |
      | current     | 1   | its own    | good   |
      | current     | 1   | later      | good   |
      | current     | 60  | its own    | good   |
      | current     | 60  | later      | bad    |
      | not current | 1   | its own    | bad    |
      | leaving     | 1   | its own    | bad    |
