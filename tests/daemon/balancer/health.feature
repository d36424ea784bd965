Feature: A balancer's health check

  A balancer without a recent quorum confirmation stays healthy unless an agent
  has applied a later revision.

  Scenario Outline: The health of a balancer
    Given a balancer that is <state>, whose last quorum confirmation is <age> s old
    When an agent's answer carries a revision that is <revision>
    Then the balancer's health is <health>

    Examples:
      | state         | age | revision | health |
      | current       | 1   | the same | good   |
      | current       | 1   | later    | good   |
      | current       | 60  | the same | good   |
      | current       | 60  | later    | bad    |
      | not current   | 1   | the same | bad    |
      | shutting down | 1   | the same | bad    |
