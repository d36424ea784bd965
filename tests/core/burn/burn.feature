Feature: Burn rates of service-level objectives

  The objectives of the service soapfloor are that 99 % of its requests are
  answered and that 99 % take at most 0.5 s. Agents are sampled every
  5 minutes, and every minute has the same number of requests.

  Scenario Outline: The burn rate is the share of bad requests over the allowed share
    Given <agents> agents with <good> good and <bad> <kind> requests a minute for <minutes> minutes
    When the burn rates are computed
    Then the <objective> burn rate over <window> seconds is <rate>
    And the <alert> alert of <objective> is <verdict>

    Examples:
      | agents | good | bad | kind    | minutes | objective    | window | rate | alert | verdict |
      | 1      | 99   | 1   | slow    | 400     | latency      | 300    | 1    | fast  | calm    |
      | 3      | 80   | 20  | slow    | 400     | latency      | 3600   | 20   | fast  | burning |
      | 3      | 80   | 20  | slow    | 400     | availability | 3600   | 0    | fast  | calm    |
      | 2      | 92   | 8   | refused | 400     | availability | 21600  | 8    | slow  | burning |
      | 2      | 92   | 8   | refused | 400     | availability | 3600   | 8    | fast  | calm    |
      | 2      | 50   | 50  | failed  | 400     | availability | 300    | 50   | fast  | burning |

  Scenario Outline: The alert is unknown while samples are missing
    Given 2 agents with 100 good and 0 slow requests a minute for <minutes> minutes
    And <fault>
    When the burn rates are computed
    Then the slow alert of latency is unknown
    And <missing> agents are missing and <restarts> restarts are detected

    Examples:
      | minutes | fault                                       | missing | restarts |
      | 30      | no fault                                    | 0       | 0        |
      | 400     | no sample of an agent in the last 5 minutes | 1       | 0        |
      | 400     | an agent that was never sampled             | 1       | 0        |
      | 30      | an agent that restarted at half time        | 0       | 1        |

  Scenario: Requests before an agent's restart stay counted
    Given 1 agents with 100 good and 0 slow requests a minute for 400 minutes
    And an agent that restarted at half time
    When the burn rates are computed
    Then 36000 requests are counted for latency over 21600 seconds

  Scenario: There is no burn rate without requests
    Given 1 agents with 0 good and 0 slow requests a minute for 400 minutes
    When the burn rates are computed
    Then there is no latency burn rate over 300 seconds

  Scenario: Quantiles are computed from the merged histograms of all agents
    Given an agent with 90 requests of 0.01 seconds and one with 10 of 1 second
    When the burn rates are computed
    Then the merged median is 0.01 seconds and the 99th percentile 1 second
