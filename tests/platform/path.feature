Feature: The whole platform on loopback

  Background:
    Given 3 control instances, 2 balancers and 2 agents on loopback

  Scenario: Flows are served once control, balancers and agents have discovered each other
    Then no balancer is ready before it has routes
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    And 20 calls through each balancer are answered
    And each target has answered some of them

  Scenario: A valid route set is acknowledged, only a newer version is applied, and an invalid one is refused
    When the operator puts version 3 and the targets send heartbeats
    Then version 3 is read back from each instance as it was written
    And these route sets are answered as follows
      | route set                       | status | applied version |
      | version 3 again                 | 200    | 3               |
      | version 3 with other content    | 200    | 3               |
      | version 2                       | 200    | 3               |
      | version 9 cut short             | 400    | 3               |
      | version 9 to an unknown service | 400    | 3               |
      | version 9 without a timeout     | 400    | 3               |
      | version 8                       | 200    | 8               |

  Scenario: A control instance without a disk accepts route sets and answers reads
    When a control instance "c9" without a disk starts
    And the operator puts version 3 and the targets send heartbeats
    Then version 4 is acknowledged by "c9"
    And version 4 is read back from each instance as it was written

  Scenario: Flows and route sets are accepted after the leader of control has stopped
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    When the leading control instance is stopped
    Then 5 calls through each balancer are answered
    And version 4 is acknowledged by another instance within the test's timeout

  Scenario: Control instances send each other no lists that are known
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    When the messages of control are counted for 3 s
    Then control instances have answered each other
    And no answer has listed any nodes

  Scenario: An agent without a target reports to the balancers of its zone alone
    When the operator puts version 3
    And a balancer "far" starts in another zone and the messages of agents are counted for 4 s
    Then reports were sent to each balancer but "far"
    When the targets send heartbeats
    And the messages of agents are counted for 4 s
    Then reports were sent to each balancer

  Scenario: After a suspension of the machines nothing counts as recent that was known before
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    When all machines are suspended for 20 s
    Then no control instance counts as confirmed by a quorum since then
    And no balancer would offer a flow to an agent that has not reported since then
    When the targets send heartbeats
    Then every balancer becomes ready
    And 5 calls through each balancer are answered
    And version 4 is acknowledged by each instance

  Scenario: A target that says it is leaving gets no new flow
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    When the target of "a1" announces that it is draining
    Then 20 calls through each balancer are answered
    And the target of "a1" has answered none of them

  Scenario: An invalid heartbeat changes nothing
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    And these heartbeats to "a1" are refused and change nothing
      | heartbeat                      |
      | not JSON                       |
      | {"Service": "t"}               |
      | {"Service": "s", "Slots": "4"} |

  Scenario: New flows to a removed route are reset
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    When version 5 removes the route
    Then new calls through each balancer are reset

  # The operator's calls end when the process does, unless it waits for them.
  Scenario Outline: Calls in progress are answered before <which> control instance that is stopped exits
    When the operator puts version 3 and the targets send heartbeats
    Then every balancer becomes ready
    When <which> control instance is told to stop while 4 changes and 4 reads are in progress there
    Then each of these calls was answered before the shutdown ended
    And new connections to its operators' address are refused

    Examples:
      | which       |
      | the leading |
      | a following |

  # Guards against a rate that is lost between the route set and the agents.
  Scenario: Cold targets get the rate that the route set and the settings bound
    When the operator puts version 3 with 10 requests per second for cold targets
    And the targets send heartbeats that they are cold for 10000 ms
    Then every balancer becomes ready
    And of 40 calls through each balancer within 2 s, each target answers 5 to 24
    And the agents have the bounds of their settings

  # Guards against sockets of one scenario that hold ports in the next.
  Scenario: A platform that is closed holds no port of callers and targets
    When the platform is closed
    Then the ports of callers and targets are free
