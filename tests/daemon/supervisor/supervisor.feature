Feature: A failed task is restarted a limited number of times

  Scenario Outline: A task that fails <failures> times
    Given a supervisor with a task that fails <failures> times, then keeps running
    When the supervisor runs until the task keeps running or is given up
    Then the task was started <starts> times
    And the supervisor <ending>
    And the events are <events>

    Examples:
      | failures | starts | ending        | events                   |
      | 0        | 1      | keeps running | none                     |
      | 2        | 3      | keeps running | 1001,1001                |
      | 9        | 5      | gives up      | 1001,1001,1001,1001,1002 |

  Scenario: Garbage collection is enabled once the role has started
    Given garbage collection is disabled while a role starts
    When the role has started and the process gets SIGTERM
    Then garbage collection was enabled while the role ran
    And the objects created during the start were exempt from collection

  Scenario Outline: A process that gets <signal> while its role starts shuts down in order
    When a process gets <signal> while its role starts
    Then it has shut the role down and exits with status 0

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |
