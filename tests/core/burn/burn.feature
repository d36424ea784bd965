Feature: Service-level burn

  The service soapfloor wants 99 % of its requests answered, and within 0.5 s.
  Agents are sampled each 5 minutes; each minute has the same requests.

  Scenario Outline: Burn is the bad share over the allowed share
    Given <agents> agents with <good> good and <bad> <kind> requests a minute for <minutes> minutes
    When the burn is measured
    Then the <objective> burn of <window> seconds is <rate>
    And the <alert> alert of <objective> is <verdict>

    Examples:
      | agents | good | bad | kind    | minutes | objective    | window | rate | alert | verdict |
      | 1      | 99   | 1   | slow    | 400     | latency      | 300    | 1    | fast  | calm    |
      | 3      | 80   | 20  | slow    | 400     | latency      | 3600   | 20   | fast  | burning |
      | 3      | 80   | 20  | slow    | 400     | availability | 3600   | 0    | fast  | calm    |
      | 2      | 92   | 8   | refused | 400     | availability | 21600  | 8    | slow  | burning |
      | 2      | 92   | 8   | refused | 400     | availability | 3600   | 8    | fast  | calm    |
      | 2      | 50   | 50  | failed  | 400     | availability | 300    | 50   | fast  | burning |

  Scenario Outline: What is missing is stated
    Given 2 agents with 100 good and 0 slow requests a minute for <minutes> minutes
    And <fault>
    When the burn is measured
    Then the slow alert of latency is unknown
    And <missing> agents are missing and <restarts> restarts were seen

    Examples:
      | minutes | fault                              | missing | restarts |
      | 30      | nothing else                       | 0       | 0        |
      | 400     | an agent silent for 5 minutes      | 1       | 0        |
      | 400     | an agent that was never sampled    | 1       | 0        |
      | 30      | an agent that restarted at half time | 0     | 1        |

  Scenario: An agent's restart doesn't make its requests vanish
    Given 1 agents with 100 good and 0 slow requests a minute for 400 minutes
    And an agent that restarted at half time
    When the burn is measured
    Then the latency window of 21600 seconds has 36000 requests

  Scenario: Without requests there is no rate
    Given 1 agents with 0 good and 0 slow requests a minute for 400 minutes
    When the burn is measured
    Then the latency burn of 300 seconds is none

  Scenario: Quantiles come from merged histograms
    Given an agent with 90 requests of 0.01 seconds and one with 10 of 1 second
    When the burn is measured
    Then the merged median is 0.01 seconds and the 99th percentile 1 second
