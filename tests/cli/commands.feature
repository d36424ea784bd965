Feature: The operators' commands

  Background:
    Given 3 control instances
    And a folder with the service "soapfloor" at "10.0.0.1:443"

  Scenario: A configuration is checked and applied, and a target drained
    Given a node "soapfloor-1"
    When "check {folder}" is run
    Then it exits with 0 and prints "no errors in 1 services"
    When "apply {folder} --revision 0 --change-id first" is run
    Then it exits with 0 and prints "as change first"
    When "status" is run to wait for the newest revision
    Then it exits with 0 and prints "1 of 1 nodes apply"
    When "targets" is run
    Then it exits with 0 and prints "serving"
    When "drain soapfloor-1" is run
    Then it exits with 0 and prints "soapfloor-1 is draining"
    When "targets" is run
    Then it exits with 0 and prints "draining"
    When "show" is run
    Then it exits with 0 and prints "10.0.0.1:443"
    When "control members" is run
    Then it exits with 0 and prints "leader"

  Scenario: A second change based on the same revision is refused
    When "apply {folder} --revision 0 --change-id first" is run
    And "apply {folder} --revision 0 --change-id second" is run
    Then it exits with 1 and warns "change first by ana was accepted at"
    When "apply {folder} --revision 0 --change-id first" is run
    Then it exits with 0 and prints "as change first"

  Scenario: Of concurrent changes based on the same revision, one is accepted
    When 8 changes based on revision 0 are sent at once
    Then one is accepted and the problems of the others name it

  Scenario Outline: A failed command has an exit status and a message
    When "<command>" is run
    Then it exits with <status> and warns "<text>"

    Examples:
      | command                       | status | text               |
      | apply {folder}/none           | 2      | no *.toml file     |
      | drain nobody                  | 1      | no target with this name |
      | show --settings none          | 2      | read file          |
      | status --wait 1 --timeout x   | 2      |                    |

  Scenario: A set with invalid objects is refused as a whole, with all errors
    Given a folder with the service "intake" at "10.0.0.1"
    When "apply {folder}" is run
    Then it exits with 2 and warns "service intake: addresses: expected host"
    And it warns "service intake: policy: no policy"
    When "show" is run
    Then it exits with 0 and prints "at revision 0"

  Scenario: A reader may not change the configuration
    When "apply {folder} --revision 0" is run with the token "reader"
    Then it exits with 1 and warns "expected a token of the role operator"
    When "show" is run with the token "reader"
    Then it exits with 0 and prints "at revision 0"
    When "show" is run with the token "unknown"
    Then it exits with 1 and warns "unauthorized"
    And an event 4056 is logged

  Scenario: Sending a change again shows its outcome after a lost response
    Given an API that forwards requests and drops the responses
    When "apply {folder} --revision 0 --change-id lost" is run with that API
    Then it exits with 3 and warns "--revision 0 --change-id lost"
    When "apply {folder} --revision 0 --change-id lost" is run
    Then it exits with 0 and prints "as change lost"

  Scenario: Every command prints JSON
    When "<command> --json" is run for each command
    Then each prints one JSON document
