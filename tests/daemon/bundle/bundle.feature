Feature: A process imports its modules from one file of the build

  Background:
    Given a bundle with the modules of control

  Scenario: No module of the role is looked for in the file system
    When a process loads the bundle and imports the role
    Then no module was imported from its own file
    And loading the bundle reported no failure

  Scenario: A module that the bundle lacks is imported as usual
    When a process loads the bundle and imports the role of the balancer
    Then some modules were imported from their own files
    And loading the bundle reported no failure

  Scenario: Tracebacks and resources of a bundled module point to its source
    When a process loads the bundle and imports the role
    Then the file of each bundled module is its source

  Scenario Outline: A bundle that <fault> is not used
    Given the bundle <fault>
    When a process loads the bundle and imports the role
    Then all modules were imported from their own files
    And loading the bundle reported a failure that contains "<reason>"

    Examples:
      | fault                                 | reason          |
      | was written by another Python version | another version |
      | is damaged                            | damaged         |
      | is truncated                          | damaged         |
      | was moved to another folder           | another place   |

  Scenario: A process starts without the bundle
    Given the bundle is missing
    When a process loads the bundle and imports the role
    Then all modules were imported from their own files
    And loading the bundle reported no failure
