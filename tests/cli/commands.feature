Feature: Commands of the operators

  Background:
    Given 3 control instances
    And a folder with the service "soapfloor" at "10.0.0.1:443"

  Scenario: From a check to a change in force
    Given a node "soapfloor-1"
    When "check {folder}" is run
    Then it exits with 0 and prints "no fault in 1 services"
    When "apply {folder} --revision 0 --change-id first" is run
    Then it exits with 0 and prints "as change first"
    When the newest revision is waited for
    Then it exits with 0 and prints "1 of 1 nodes apply"
    When "targets" is run
    Then it exits with 0 and prints "serving"
    When "drain soapfloor-1" is run
    Then it exits with 0 and prints "soapfloor-1 drains"
    When "targets" is run
    Then it exits with 0 and prints "draining"
    When "show" is run
    Then it exits with 0 and prints "10.0.0.1:443"
    When "control members" is run
    Then it exits with 0 and prints "leader"

  Scenario: Two operators race with the same number
    When "apply {folder} --revision 0 --change-id first" is run
    And "apply {folder} --revision 0 --change-id second" is run
    Then it exits with 1 and warns "change first by ana was accepted at"
    When "apply {folder} --revision 0 --change-id first" is run
    Then it exits with 0 and prints "as change first"

  Scenario: Changes of one number from many operators at once
    When 8 changes against revision 0 are sent at once
    Then one is accepted and the others show it

  Scenario Outline: What is refused, and how
    When "<command>" is run
    Then it exits with <status> and warns "<text>"

    Examples:
      | command                       | status | text               |
      | apply {folder}/none           | 2      | no *.toml file     |
      | drain nobody                  | 1      | no such target     |
      | show --settings none          | 2      | read file          |
      | status --wait 1 --timeout x   | 2      |                    |

  Scenario: A bad set is refused as a unit with every error
    Given a folder with the service "intake" at "10.0.0.1"
    When "apply {folder}" is run
    Then it exits with 2 and warns "service intake: addresses: expected host"
    And it warns "service intake: policy: no policy"
    When "show" is run
    Then it exits with 0 and prints "at revision 0"

  Scenario: A reader may not change anything
    When "apply {folder} --revision 0" is run by a reader
    Then it exits with 1 and warns "expected a token of the role operator"
    When "show" is run by a reader
    Then it exits with 0 and prints "at revision 0"
    When "show" is run by a stranger
    Then it exits with 1 and warns "unauthorized"
    And an event 4056 is logged

  Scenario: The outcome is unknown, and a resend tells it
    Given an API that takes a change and loses its answer
    When "apply {folder} --revision 0 --change-id lost" is run there
    Then it exits with 3 and warns "--revision 0 --change-id lost"
    When "apply {folder} --revision 0 --change-id lost" is run
    Then it exits with 0 and prints "as change lost"

  Scenario: Every command prints JSON
    When "<command> --json" is run for each command
    Then each prints one JSON document
