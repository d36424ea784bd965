Feature: A failed task is started again within a limit

  Scenario Outline: Failures of one task
    Given a supervisor with a task that fails <failures> times, then goes on
    When the supervisor runs until the task goes on or is given up
    Then the task was started <starts> times
    And the supervisor <ending>
    And the events are <events>

    Examples:
      | failures | starts | ending           | events                   |
      | 0        | 1      | goes on          | none                     |
      | 2        | 3      | goes on          | 1001,1001                |
      | 9        | 5      | gives up         | 1001,1001,1001,1001,1002 |

  Scenario: A process that starts without collecting garbage collects it later
    Given garbage is not collected while a role starts
    When the role has started and is told to stop
    Then garbage was collected while it ran
    And what its start had made was left out
