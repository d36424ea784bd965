Feature: Cold targets get a bounded rate of requests

  # Guards against a bucket that lets a window exceed the bound, at all rates,
  # and against one that admits next to nothing.
  Scenario Outline: An allowance of <rate> per second, factor <over>, slack <slack>
    When random requests are charged to an allowance of <rate>, <over> and <slack>
    Then each window that ends with an admission is within the bound
    And at least <share> of the rate is admitted

    Examples:
      | rate | over | slack | share |
      | 0.5  | 1.5  | 5     | 0.8   |
      | 20   | 1.5  | 5     | 0.9   |
      | 400  | 1.5  | 5     | 0.9   |
      | 20   | 1    | 0     | 0.8   |
      | 1    | 1    | 0     | 0.8   |
      | 0.5  | 1    | 0     | 0     |

  # Guards against targets that are overrun just after their start, also when
  # a restart of an agent or of a target forgets what was admitted before.
  Scenario Outline: A flood through <balancers> balancers at <rate> per second, <event>
    Given <balancers> balancers and 2 agents whose targets bear <rate> requests per second while cold
    When the targets turn cold for 4 s, 200 calls per second arrive and <event>
    Then no cold target gets more requests in any second than the bound
    And each gets at least 0.7 of its rate

    Examples:
      | balancers | rate | event                                     |
      | 1         | 20   | nothing else happens                      |
      | 3         | 20   | nothing else happens                      |
      | 6         | 40   | nothing else happens                      |
      | 6         | 5    | nothing else happens                      |
      | 3         | 20   | the agents restart after 1.5 s            |
      | 3         | 20   | the agents restart after 1.5 s and 1.9 s  |
      | 3         | 20   | the targets restart after 1.5 s and 1.9 s |
      | 3         | 20   | a balancer has routes without a rate      |
      | 3         | 20   | the zone was evacuated before             |

  # Guards against a change for deployments that configure no rate.
  Scenario: Without a rate, a cold target gets all requests
    Given 3 balancers and 2 agents whose targets bear 0 requests per second while cold
    When the targets turn cold for 4 s, 200 calls per second arrive and nothing else happens
    Then all calls are answered, and the agents report and count no allowance

  # Guards against requests on open flows that are not counted, and against
  # new flows that are admitted on top of them.
  Scenario: Requests on open flows are charged first
    Given 3 balancers and 1 agents whose targets bear 20 requests per second while cold
    And 12 callers have opened a flow each
    When the targets turn cold for 4 s, each sends a request per second and 200 calls per second arrive
    Then all requests on open flows are answered
    And no cold target gets more requests in any second than the bound
    And at most 10 new flows per second are opened

  Scenario: Calls go to warm targets while cold ones have no allowance
    Given 3 balancers and 3 agents whose targets bear 10 requests per second while cold
    When the target of agent 0 turns cold for 4 s and 200 calls per second arrive
    Then each is answered within 150 ms
    And fewer than 5 of 100 are declined by an agent
    And no cold target gets more requests in any second than the bound

  # Guards against calls that wait for a token until it is too late, and against
  # urgent ones that are refused in favor of others.
  Scenario: When all targets are cold, urgent calls are admitted first and the rest refused at once
    Given 3 balancers and 2 agents whose targets bear 20 requests per second while cold
    When the targets turn cold for 4 s, 20 urgent and 100 other calls per second arrive
    Then all urgent calls but 2 of 100 are answered
    And the answered ones are answered within 275 ms
    And 80 of 100 refused ones are refused within 20 ms, and all within 275 ms

  # Guards against a second charge for one flow, which would waste the rate.
  Scenario Outline: <case> is charged once
    When an opening packet reaches a cold target and <case> follows
    Then the target has got <packets> opening packets and 1 request is charged

    Examples:
      | case                                     | packets |
      | its retransmission                       | 2       |
      | an offer of another balancer             | 2       |
      | a new offer after the accept timed out   | 2       |
      | a new offer after a withdrawal           | 2       |
      | the first request                        | 1       |

  # Guards against a full bucket beside requests that were admitted just before.
  Scenario Outline: There is no allowance at once when <event>
    When a cold target has got allowance and <event>
    Then there is no allowance, and 50 ms later there is some

    Examples:
      | event                 |
      | the target restarts   |
      | the agent restarts    |
      | the zone was evacuated |

  # Guards against an agent that fails because of one odd message.
  Scenario Outline: An offer with a rate of <rate> for <seconds> s changes nothing
    When an offer with a rate of <rate> for <seconds> s reaches a cold target
    Then it is accepted, and there is no bound

    Examples:
      | rate  | seconds |
      | nan   | 1       |
      | inf   | 1       |
      | 1e300 | 1       |
      | -1    | 1       |
      | 5     | nan     |
      | 5     | inf     |

  Scenario: Route sets and offers of earlier versions are read
    When a route set and an offer without the rate of cold targets are read
    Then they have no rate
