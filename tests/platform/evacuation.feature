Feature: Operators evacuate an availability zone on the whole platform

  Background:
    Given 3 control instances, 2 balancers and 2 agents on loopback
    And an agent "far" in zone "y"
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready

  Scenario: The calls are answered as specified, and a repeat as the first one
    Then these calls to each instance are answered as follows
      | call                   | body | status | response                          |
      | POST /Evacuate.Start/x |      | 200    | {"Zone": "x", "Evacuated": true}  |
      | POST /Evacuate.Start/x | {}   | 200    | {"Zone": "x", "Evacuated": true}  |
      | POST /Evacuate.End/%79 | null | 200    | {"Zone": "y", "Evacuated": false} |
      | POST /Evacuate.Start/z |      | 404    | {"Error": "unknown zone z"}       |
      | POST /Evacuate.Start/x | {"   | 400    | {"Error": "the body is not JSON"} |
    And the revision is 1, and the zones x are evacuated
    And all 3 agents are counted as following by each instance

  Scenario: Agents of an evacuated zone open no flows until it is returned to service
    When zone "x" is evacuated and the agents follow
    Then 20 calls through each balancer are answered
    And the target of "a0" has answered none of them
    And the metrics of "a0" show that its zone is evacuated and empty
    When zone "x" is returned to service and the agents follow
    Then 20 calls through each balancer are answered
    And each target has answered some of them

  # What was acknowledged must not depend on one instance, or on memory.
  Scenario Outline: An acknowledged evacuation outlives <fault>
    When zone "x" is evacuated, just before <fault>
    Then the revision is 1, and the zones x are evacuated
    When the agents follow
    Then 5 calls through each balancer are answered
    And the target of "a1" has answered none of them

    Examples:
      | fault                               |
      | the loss of the leader              |
      | a restart of all control instances  |
      | a restart from a snapshot           |

  Scenario: An agent that loses control keeps the state, also with all zones evacuated
    When zone "x" is evacuated and the agents follow
    And zone "y" is evacuated and the agents follow
    And all control instances are stopped for 3.5 s
    Then new calls through each balancer are reset

  Scenario: Two operators that contradict each other leave one state everywhere
    When two operators start and end the evacuation of zone "x" 20 times each
    Then all of these calls were answered with 200
    And all instances agree on the revision and the zones

  Scenario: Without a majority nothing is accepted or read
    When all control instances but one are stopped
    Then an order to it and a read of it are answered with 503
    And no zone is evacuated there
