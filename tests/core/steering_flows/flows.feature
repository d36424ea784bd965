Feature: Flows stay with their holder while targets and balancers change

  The caller is chosen so that the flow's bucket belongs to a, then to d when
  d joins, and to e when e joins after that. Its datagrams come by balancer 1
  unless a step names another. "wait" lets the settling time and one second
  pass, "wait long" a minute. Once registrations are lost, none is delivered. An
  agent or a balancer that lags does not apply newly published states.

  Scenario Outline: A datagram of an established flow after changes
    Given agents a, b and c, and a flow that a holds
    When these events happen in turn: <events>
    Then the flow's next datagram reaches "<outcome>"
    And no other agent holds the flow

    Examples: One change and two
      | events                                    | outcome |
      | none                                      | a       |
      | d joins                                   | a       |
      | d joins; wait                             | a       |
      | d joins; e joins                          | a       |
      | d joins; wait; e joins; wait              | a       |
      | a drains                                  | a       |
      | a drains; wait                            | a       |
      | a drains; wait; d joins; wait             | a       |

    Examples: Registrations that are lost or stale
      | events                                              | outcome |
      | registrations are lost; d joins                     | a       |
      | d joins; wait; d is killed                          | a       |
      | d joins; wait; registrations are lost; d is killed  | a       |
      | d joins; d restarts                                 | a       |
      | d joins; wait; d restarts                           | a       |
      | d joins; wait; registrations are lost; d restarts   | a       |
      | d joins; e joins; e is killed; d is killed; wait    | a       |
      | d joins; wait; wait long                            | a       |
      | registrations are lost; d joins; e joins            | a       |
      | registrations are lost; d joins; a is paused        | nobody  |
      | d joins; a is paused; a resumes                     | a       |

    Examples: Nodes that have applied different revisions
      | events                                                      | outcome |
      | balancer 1 lags; d joins                                    | a       |
      | balancer 1 lags; d joins; wait; e joins; wait               | a       |
      | d joins and alone applies it; balancer 1 applies it too     | a       |
      | a lags; d joins                                             | a       |
      | a lags; d joins; wait; a catches up                         | a       |

    Examples: A holder that no longer runs
      | events                           | outcome |
      | a is killed                      | reset   |
      | d joins; wait; a is killed       | reset   |
      | a restarts                       | reset   |
      | a restarts; wait                 | reset   |

  Scenario: An established flow through ten changes
    Given agents a, b and c, and a flow that a holds
    When targets join and are killed in ten changes
    Then the flow's next datagram reaches "a"
    And no other agent holds the flow

  Scenario Outline: Which agent opens a flow
    Given agents a, b and c, and a caller whose bucket a owns
    When these events happen in turn: <events>
    And the caller's opening datagram comes by both balancers
    Then "<holder>" alone holds the flow

    Examples:
      | events                                        | holder        |
      | none                                          | a             |
      | wait                                          | a             |
      | wait; d joins                                 | d             |
      | wait; a drains                                | the new owner |
      | wait; balancer 1 lags; d joins                | d             |
      | wait; a lags; d joins                         | d             |
      | wait; balancer 1 lags; a lags; d joins        | a             |
      | wait; a is killed                             | the new owner |
      | wait; a restarts                              | a             |
      | a drains; b drains; c drains                  | nobody        |
      | balancer 1 lags; a drains; b drains; c drains | nobody        |

  Scenario Outline: An opening datagram is retransmitted after a change
    Given agents a, b and c, and a flow that a holds
    When these events happen in turn: <events>
    And the caller's opening datagram comes by both balancers
    Then "a" alone holds the flow

    Examples:
      | events                                       |
      | d joins                                      |
      | registrations are lost; d joins              |
      | a drains                                     |
      | d joins; wait; d restarts                    |

  Scenario: The newer balancer's datagram comes before the older one's
    Given agents a, b and c, and a caller whose bucket a owns
    When these events happen in turn: wait; balancer 1 lags; a lags; d joins
    And the caller's opening datagram comes by balancer 2, then 1
    Then "d" alone holds the flow

  Scenario: A caller reopens a flow that has ended
    Given agents a, b and c, and a flow that a holds
    When these events happen in turn: d joins; wait; a ends the flow
    And the caller's opening datagram comes by balancer 1, then 2
    Then "d" alone holds the flow

  Scenario Outline: A datagram of a flow that no agent holds
    Given agents a, b and c, and a flow that a holds
    When a gets a datagram of an unknown flow from a balancer at <kind> revision
    Then the flow's outcome is "<outcome>"

    Examples:
      | kind     | outcome         |
      | the same | reset           |
      | an older | reset           |
      | a newer  | owner_uncertain |

  Scenario: A peer is killed while a flow is on offer to it
    Given agents a, b and c, and a flow that a holds
    When these events happen in turn: registrations are lost; d joins; a is paused
    And a datagram of the flow comes, and then a is killed
    Then the flow is reset before any time passes

  Scenario Outline: Two agents have opened the same flow
    Given agents a, b and c, and a flow that a holds
    When d joins and opens the flow without an offer, and then <event>
    And these events happen in turn: wait
    Then "<holder>" alone holds the flow

    Examples:
      | event                          | holder |
      | nothing else happens           | a      |
      | d completes a handshake        | d      |
      | a completes another handshake  | a      |

  Scenario Outline: Envelopes that are not meant for an agent
    Given agents a, b and c, and a flow that a holds
    When a gets an envelope for <receiver>
    Then it is dropped as "<reason>"

    Examples:
      | receiver                   | reason            |
      | another service            | wrong_service     |
      | an earlier incarnation     | wrong_incarnation |
      | a later incarnation        | wrong_incarnation |
      | itself after too many hops | too_many_hops     |
      | itself as an answer        | wrong_kind        |

  Scenario Outline: An agent's address is reused by another service
    Given agents a, b and c, and a flow that a holds
    When a's address is given to x of intake, while <node> lags
    Then the flow's next datagram reaches "<outcome>"
    And x has received no datagram

    Examples:
      | node         | outcome |
      | nobody       | reset   |
      | the balancer | nobody  |

  Scenario Outline: Which balancer an answer is sent to
    Given agents a, b and c, and a flow that a holds
    And the balancers 1 and 2 are published
    When balancer <removed> is removed and the flow is idle for <time> s
    Then a sends its answer to balancer <chosen>

    Examples:
      | removed | time | chosen |
      | none    | 5    | 1      |
      | 2       | 5    | 1      |
      | 1       | 5    | 2      |
      | 1       | 0    | 1      |

  Scenario: Any order of changes, datagrams and messages
    Then no order of events breaks an established flow
