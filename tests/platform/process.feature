Feature: The platform's processes start, reload and stop

  Scenario Outline: A <role> starts from its settings file, follows it, and ends on SIGTERM
    Given the settings file of a <role> on loopback
    When its process is started
    Then it logs event 1003
    When the seeds in the file change, with a signal
    Then it logs event 1007
    When the file is cut short, without a signal
    Then it logs event 1008
    When it gets SIGTERM
    Then it logs event 1004 and event 1005 and ends with status 0

    Examples:
      | role     |
      | balancer |
      | agent    |
      | control  |

  Scenario Outline: A process with <fault> says so and ends with status 2
    Given the settings file of a balancer on loopback
    When a process with <fault> is started
    Then it ends with status 2 and says "<part>"

    Examples:
      | fault            | part          |
      | no role          | usage         |
      | an unknown role  | usage         |
      | an unread file   | read settings |

  Scenario: A change of the settings during the imports does not end a process
    Then SIGHUP is ignored before the first import of a role
