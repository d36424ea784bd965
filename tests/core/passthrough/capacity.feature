Feature: Load follows how well each target handles it

  # Guards against flows that wait at a target that hangs until their callers
  # give up, although other targets are free.
  Scenario: Flows that wait for a target that hangs are opened elsewhere
    Given 2 balancers in zone "x" with 2 agents that serve 2 requests each
    When 30 callers call at once, and the target of "a0" hangs after 60 ms for 1500 ms
    Then all but 3 of the calls are answered within 900 ms
    And no call has been refused

  # Guards against new flows that go to a target that hangs and has free slots.
  Scenario: Balancers know the wait at a target that hangs
    Given 2 balancers in zone "x" with 2 agents that serve 4 requests each
    When 1 callers call at once, and their target hangs for 1500 ms
    And 500 ms pass
    Then every balancer expects a wait of at least 250 ms there and none elsewhere

  # Guards against a target that gets too little after it has hung: the wait
  # that it reported while it hung must not last.
  Scenario: A target that hangs and recovers gets its share again
    Given 2 balancers in zone "x" with 4 agents that serve 2 requests each
    When the target of "a0" hangs from 1.0 s on for 1.0 s, while callers load 70 of 100 slots for 7 s
    Then 95 of 100 of the calls from 1.2 s after its recovery on are answered within 275 ms
    And "a0" has run at least 0.7 times the mean from 1.2 s after its recovery on

  # Guards against refusals when no target is better than another: all of them
  # hang or are slow at once, and each keeps its flows.
  Scenario: Targets that all hang at once keep their flows
    Given 2 balancers in zone "x" with 4 agents that serve 2 requests each
    When the target of every agent hangs from 1.0 s on for 0.6 s, while callers load 50 of 100 slots for 4 s
    Then no call has been refused
    And 97 of 100 of the calls from 0 s after its recovery on are answered within 400 ms

  # Guards against a long request that makes its target look as if it hung,
  # while the target answers others.
  Scenario: A long request beside others is no sign of a target that hangs
    Given 1 balancers in zone "x" with 1 agents that serve 2 requests each
    When one request takes 2000 ms, and others arrive one after the other for 1 s
    Then no balancer expects a wait above 0 ms

  # Guards against a limit that is not learned, or known at the agent alone.
  Scenario: A target that slows down before it is full gets a lower limit
    Given a target that is fast up to 2 of its 4 requests
    When it is loaded at 85 of 100 of what it can do for 8 s
    Then its limit is 1 to 3 at its agent and at the balancer

  # Guards against a limit that a new agent takes for granted: it begins with
  # the slots.
  Scenario: The limit is learned again after a restart of the agent
    Given a target that is fast up to 2 of its 4 requests
    And it is loaded at 85 of 100 of what it can do for 8 s
    When its agent restarts
    Then its limit is 0 to 0 at its agent and at the balancer
    When it is loaded at 85 of 100 of what it can do for 8 s
    Then its limit is 1 to 3 at its agent and at the balancer

  # Guards against balancers that learn a limit from regular reports alone, and
  # against a late report that takes it back.
  Scenario: A limit is known when reports are lost or late
    Given a target that is fast up to 2 of its 4 requests
    When all its regular reports are lost
    And it is loaded at 85 of 100 of what it can do for 8 s
    And its first report arrives again
    Then its limit is 1 to 3 at its agent and at the balancer

  # Guards against a limit that chance or a change of the speed lowers.
  Scenario Outline: A target that is as fast when busy keeps its slots at <part> of 100
    Given a target that is fast up to <slots> of its <slots> requests
    When it is loaded at <part> of 100 of what it can do for 10 s
    Then its limit is 0 to 0 at its agent and at the balancer

    Examples:
      | part | slots |
      | 50   | 4     |
      | 80   | 4     |
      | 95   | 4     |
      | 110  | 2     |
      | 80   | 2     |
      | 80   | 8     |

  Scenario Outline: A target whose speed changes by <factor> every <pause> s keeps its slots
    Given a target that is fast up to 4 of its 4 requests
    When its speed changes by a factor of <factor> every <pause> s meanwhile
    And it is loaded at 60 of 100 of what it can do for 10 s
    Then its limit is 0 to 0 at its agent and at the balancer

    Examples:
      | factor | pause |
      | 0.25   | 1.0   |
      | 0.25   | 0.3   |
      | 0      | 0.5   |
      | 0.5    | 2.0   |

  # Guards against a target that gets too little for lack of new measurements.
  Scenario: The estimate of an idle target returns to its usual time
    Given a target that is fast up to 2 of its 2 requests
    When it is loaded at 60 of 100 of what it can do for 10 s
    And its requests take 8 times as long for 1 s
    And 20000 ms pass
    Then its agent expects at most 2 times the usual time
