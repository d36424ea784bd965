Feature: A balancer follows the routes that control instances announce

  # A control instance may answer hellos and yet be unable to send its routes,
  # for example over a saturated link. A balancer that asked it alone would
  # keep old routes for as long as the other one lasts.
  Scenario: Routes are fetched from another instance when one does not send them
    Given a balancer with version 1 of the routes
    And control instances that announce version 2, of which the first sends nothing
    Then within 2.0 s the balancer has version 2
    And it is ready

  Scenario: Routes are fetched from another instance when one sends older ones
    Given a balancer with version 1 of the routes
    And control instances that announce version 2, of which the first sends version 1
    Then within 2.0 s the balancer has version 2
    And the first instance was asked at most 2 times

  Scenario: A balancer that cannot fetch the routes that it knows of is not ready
    Given a balancer with version 1 of the routes
    And one control instance that announces version 2 and sends version 1
    Then within 2.5 s the balancer is not ready, since newer routes could not be fetched
    And the first instance was asked at most 60 times
    When the first instance sends version 2
    Then within 1.0 s the balancer has version 2
    And it is ready

  Scenario: A balancer that has fetched each of many versions in time stays ready
    Given a balancer with version 1 of the routes
    When one control instance announces and sends a newer version every 0.1 s for 3.0 s
    Then the balancer was ready all the time

  Scenario: A balancer without newer routes to fetch sends no requests
    Given a balancer with version 1 of the routes
    And one control instance that announces version 1 and sends version 1
    When 1.5 s pass
    Then the first instance was asked at most 1 times

  # Guards against balancers that all end because of one route set that can't
  # be applied.
  Scenario Outline: A balancer keeps its routes and serves when it can't apply newer ones: <content>
    Given a balancer with version 1 of the routes
    And 4 control instances that announce version 2, with <content>
    When 3.0 s pass
    Then the balancer has been ready with version 1 all the time
    And it has reported event 2109, and asked at most 4 times
    When one control instance announces and sends version 3
    Then within 2.0 s the balancer has version 3
    And it is ready

    Examples:
      | content                  |
      | a port above 65535       |
      | an invalid host          |
      | weights of 0             |
      | bytes that are no routes |

  Scenario: A balancer applies routes that only some control instances send intact
    Given a balancer with version 1 of the routes
    And 2 control instances that announce version 2, with bytes that are no routes
    When one control instance announces and sends version 2
    Then within 2.0 s the balancer has version 2

  Scenario: A balancer fetches a version again after some time
    Given a balancer with version 1 of the routes
    And 1 control instances that announce version 2, with bytes that are no routes
    When 3.0 s pass
    And the control instances send version 2 intact
    Then within 6.0 s the balancer has version 2
