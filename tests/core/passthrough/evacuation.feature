Feature: An availability zone is evacuated and returned to service

  Scenario Outline: The last committed order wins: <orders>
    When the orders <orders> are committed
    Then the zones <zones> are evacuated at revision <revision>
    And a restored snapshot holds the same

    Examples:
      | orders      | zones | revision |
      | +x +x       | x     | 1        |
      | +x -x -x    | -     | 2        |
      | -x +y       | y     | 1        |
      | +y +x -y +y | x,y   | 4        |
      | +x -x +x    | x     | 3        |

  Scenario: Snapshots and entries of earlier versions can be read, and are still written without an evacuation
    Then a snapshot and an entry of an earlier version hold version 7
    And without an evacuation, the snapshot is the same
    And it ends an evacuation that the instance has not heard the end of

  Scenario Outline: An agent follows the highest revision of <answers>
    When answers with <answers> arrive at an agent of zone "x"
    Then it follows revision <revision>, and its state is "<state>"

    Examples: delayed, repeated, reordered; r stands for routes alone
      | answers         | revision | state     |
      | r               | 0        | ready     |
      | 1:x             | 1        | evacuated |
      | 1:x 2: 1:x      | 2        | ready     |
      | 3:x 2: 1:x r    | 3        | evacuated |
      | 4:x,y 5:y 4:x,y | 5        | ready     |
      | 6:y             | 6        | ready     |

  Scenario: A control instance counts the live agents that follow a revision
    When agents that follow the revisions 3, 4 and 5 send hellos
    Then 2 of 3 agents follow revision 4
    And 3.5 seconds later none is known

  Scenario Outline: No flow is opened in an evacuated zone while <fault>, and open flows continue
    Given zones "x" and "y" with a balancer and 2 agents of 4 slots each
    And 120 calls within 4 s, some of 2 s
    When zone "x" is evacuated after 1 s while <fault>
    Then its targets were given no new flow from then on
    And its targets had flows that were open then
    And all calls are answered, none ran twice, and no flow was reset

    Examples:
      | fault                        |
      | nothing else happens         |
      | the balancers are frozen     |
      | the targets accept slowly    |
      | the first reports are lost   |
      | an agent hears of it later   |
      | its agents are restarted     |
      | the order arrives repeatedly |

  Scenario: Waiting flows are offered elsewhere at once
    Given zones "x" and "y" with a balancer and 2 agents of 2 slots each
    And the agents of zone "y" have just become reachable
    When 16 callers call, and zone "x" is evacuated 10 ms later
    Then the calls that waited there are answered in zone "y" within 200 ms

  Scenario Outline: An opening packet that is <how> again opens no flow that the target has not accepted
    Given an agent whose target has been delivered an opening packet
    When its zone is evacuated and the packet is <how> again
    Then it is declined and nothing is delivered
    And when the target accepts it late, the caller is not told
    And it is declined again when the acceptance leads to an offer

    Examples:
      | how       |
      | offered   |
      | forwarded |

  Scenario: An opening packet of a flow that the target has accepted is delivered again
    Given an agent whose target has been delivered an opening packet
    And the target has accepted it
    When its zone is evacuated and the packet is forwarded again
    Then it is delivered

  Scenario Outline: Without a ready zone new flows are refused at once, also while the agents are <how>
    Given zones "x" and "y" with a balancer and 2 agents of 2 slots each
    When both zones are evacuated and the agents are <how>
    Then a call through each balancer is refused within 5 ms
    When both zones are returned to service and the agents run
    Then calls are answered in both zones

    Examples:
      | how             |
      | reporting       |
      | silent          |
      | without targets |

  Scenario Outline: A restarted agent that <answer> is "<state>" after <time> s
    When an agent starts that <answer>
    Then its state is "<state>" after <time> s

    Examples:
      | answer                          | time | state     |
      | gets no answer                  | 0.1  | unknown   |
      | gets no answer                  | 3.1  | ready     |
      | is told routes alone            | 0.1  | ready     |
      | is told that its zone is empty  | 0.1  | evacuated |
      | hears an instance without state | 0.1  | unknown   |
      | is told that there is no state  | 0.1  | ready     |
