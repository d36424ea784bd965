Feature: The command line explains where a new flow would be placed

  # Guards against a command, an endpoint or an error that is missing, and
  # against one that names another target than the balancer's.
  Scenario: A balancer with routes and 2 agents explains placements
    Given 3 control instances, 1 balancers and 2 agents on loopback
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    And "b0" explains placements as follows
      | options                                        | status | part                                |
      | --entry 198.18.0.1:8443                        | 0      | drawn among 2 candidates            |
      | --entry 198.18.0.1:8443 --age-ms 5000          | 0      | outcome: refused                    |
      | --entry 198.18.0.1:8443 --zone x --json        | 0      | "kind": "target"                    |
      | --entry 198.18.0.1:9                           | 1      | unknown route                       |
      | --entry 198.18.0.1:9 --json                    | 1      | "error": "unknown route"            |
      | --entry 198.18.0.1                             | 2      | expected an IPv4 address and a port |
      | --entry 198.18.0.1:8443 --age-ms 70000         | 2      | expected a number from 0 to 60000   |
      | --entry 198.18.0.1:8443 --age-ms nan           | 2      | expected a number from 0 to 60000   |
      | --entry 198.18.0.1:8443 --balancer 127.0.0.1:1 | 1      | no answer                           |
    And a first call through "b0" is answered by the target named before

  # Guards against a process that does not serve the endpoint.
  Scenario: The process of a balancer answers before it has routes
    Given the settings file of a balancer on loopback
    When its process is started
    Then it answers that it has no routes yet
