Feature: The whole path on loopback, from settings to an answer

  Background:
    Given 3 control instances, 2 balancers and 2 agents on loopback

  Scenario: A flow is served once everything has found each other
    Then no balancer is ready before it has routes
    When the operator puts version 3 and the targets report
    Then every balancer becomes ready
    And 20 calls through each balancer are answered
    And each target has run some of them

  Scenario: An order is acknowledged, read back, sent again and refused as the page says
    When the operator puts version 3 and the targets report
    Then version 3 is read back from each instance as it was written
    And these orders are answered as follows
      | order                            | status | in force |
      | version 3 again                  | 200    | 3        |
      | version 3 with other content     | 200    | 3        |
      | version 2                        | 200    | 3        |
      | version 9 cut short              | 400    | 3        |
      | version 9 to an unknown service  | 400    | 3        |
      | version 9 without a timeout      | 400    | 3        |
      | version 8                        | 200    | 8        |

  Scenario: An instance without a disk takes orders and answers reads
    When a control instance "c9" without a disk starts
    And the operator puts version 3 and the targets report
    Then version 4 is acknowledged by "c9"
    And version 4 is read back from each instance as it was written

  Scenario: Flows go on while the leader of control is gone, and so do orders
    When the operator puts version 3 and the targets report
    Then every balancer becomes ready
    When the leading control instance is stopped
    Then 5 calls through each balancer are answered
    And version 4 is acknowledged by another instance within the test's patience

  Scenario: A target that says it is leaving gets no new flow
    When the operator puts version 3 and the targets report
    Then every balancer becomes ready
    When the target of "a1" reports that it is leaving
    Then 20 calls through each balancer are answered
    And the target of "a1" has run none of them

  Scenario: A report that can't be read changes nothing
    When the operator puts version 3 and the targets report
    Then every balancer becomes ready
    And these reports to "a1" are refused and change nothing
      | report                        |
      | not JSON                      |
      | {"Service": "t"}              |
      | {"Service": "s", "Slots": "4"} |

  Scenario: A dropped route refuses new flows
    When the operator puts version 3 and the targets report
    Then every balancer becomes ready
    When version 5 drops the route
    Then new calls through each balancer are reset
