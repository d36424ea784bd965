Feature: The platform's processes start, reload and stop

  Scenario Outline: A <role> starts from its settings file, reloads it when it changes, and exits on SIGTERM
    Given the settings file of a <role> on loopback
    When its process is started
    Then it logs event 1003
    When the seeds in the file are changed and SIGHUP is sent
    Then it logs event 1007
    When the file is truncated and no signal is sent
    Then it logs event 1008
    When it gets SIGTERM
    Then it logs event 1004 and event 1005 and exits with status 0

    Examples:
      | role     |
      | balancer |
      | agent    |
      | control  |

  Scenario: Further signals do not cut a stop short
    Given the settings file of a balancer on loopback
    When its process is started
    Then it logs event 1003
    When it gets SIGTERM
    Then it logs event 1004
    When it gets SIGTERM, SIGINT and SIGHUP
    Then it exits with status 0 after 0.8 s or more

  Scenario Outline: A <role> that is told to stop while it is paused stops in order
    Given the settings file of a <role> on loopback
    When its process is started
    Then it logs event 1003
    When it gets SIGTERM while it is paused for 0.5 s
    Then it logs event 1004 and event 1005 and exits with status 0

    Examples:
      | role     |
      | balancer |
      | agent    |
      | control  |

  Scenario Outline: A process with <fault> reports it and exits with status 2
    Given the settings file of a balancer on loopback
    When a process with <fault> is started
    Then it exits with status 2 and prints "<part>"

    Examples:
      | fault            | part          |
      | no role          | usage         |
      | an unknown role  | usage         |
      | no settings file | read settings |

  Scenario: SIGHUP during the imports does not end a process
    Then SIGHUP is ignored before the first import of a role

  Scenario: A call of a target waits while its agent imports its modules
    Given the settings file of an agent on loopback
    When the modules of the agent are about to be imported
    Then a target can connect to the agent

  # Guards against flows that reach other targets while their own agent is
  # restarted: an agent whose imports took long seemed to have started after
  # its target, and claimed flows that it did not know.
  Scenario: An agent whose imports take long claims no flows of its target
    Given the settings file of an agent on loopback
    When the agent is paused for 1.2 s during its imports, and its target reports that it started with the agent
    Then the agent does not claim an unknown flow

  Scenario Outline: The start of a <role> does not import <module>
    Then a process that imports the modules of the <role> lacks <module>

    Examples:
      | role     | module                              |
      | balancer | hdrh.histogram                      |
      | balancer | secrets                             |
      | balancer | pistachiohook_core.passthrough.agent |
      | agent    | hdrh.histogram                      |
      | agent    | secrets                             |
