Feature: Flows stay with their holder while targets and balancers change

  Scenario Outline: A datagram of an established flow after changes
    Given agents a, b and c, and a flow that a holds
    When these happen, each change moving its bucket: <changes>
    Then the flow's next datagram reaches "<outcome>"
    And nobody else holds the flow

    Examples: One change and two
      | changes                                   | outcome |
      | none                                      | a       |
      | d joins                                   | a       |
      | d joins; wait                             | a       |
      | d joins; e joins                          | a       |
      | d joins; wait; e joins; wait              | a       |
      | a drains                                  | a       |
      | a drains; wait                            | a       |
      | a drains; wait; d joins; wait             | a       |

    Examples: Registrations that are lost or stale
      | changes                                             | outcome |
      | registrations are lost; d joins                     | a       |
      | d joins; wait; d is killed                          | a       |
      | d joins; wait; registrations are lost; d is killed  | a       |
      | d joins; d restarts                                 | a       |
      | d joins; wait; d restarts                           | a       |
      | d joins; wait; registrations are lost; d restarts   | a       |
      | d joins; e joins; e is killed; d is killed; wait    | a       |
      | d joins; wait; long                                 | a       |
      | registrations are lost; d joins; e joins            | a       |
      | registrations are lost; d joins; a is frozen        | nobody  |
      | d joins; a is frozen; a returns                     | a       |

    Examples: Nodes on different versions
      | changes                                                     | outcome |
      | the balancer lags; d joins                                  | a       |
      | the balancer lags; d joins; wait; e joins; wait             | a       |
      | d starts unseen; the balancer alone applies                 | a       |
      | a lags; d joins                                             | a       |
      | a lags; d joins; wait; a catches up                         | a       |

    Examples: A holder that is gone
      | changes                          | outcome |
      | a is killed                      | closed  |
      | d joins; wait; a is killed       | closed  |
      | a restarts                       | closed  |
      | a restarts; wait                 | closed  |

  Scenario: A flow through ten changes
    Given agents a, b and c, and a flow that a holds
    When ten targets join and leave one after another
    Then the flow's next datagram reaches "a"
    And nobody else holds the flow

  Scenario Outline: Who starts a flow
    Given agents a, b and c, and a caller whose bucket a owns
    When these happen, each change moving its bucket: <changes>
    And the caller's opening datagram comes twice
    Then "<holder>" alone holds the flow

    Examples:
      | changes                                          | holder |
      | none                                             | a      |
      | wait                                             | a      |
      | wait; d joins                                    | d      |
      | wait; a drains                                   | next   |
      | wait; the balancer lags; d joins                 | d      |
      | wait; a lags; d joins                            | d      |
      | wait; the balancer lags; a lags; d joins         | a      |
      | wait; a is killed                                | next   |
      | wait; a restarts                                 | a      |
      | a drains; b drains; c drains                     | nobody |
      | the balancer lags; a drains; b drains; c drains  | nobody |

  Scenario Outline: An opening datagram that comes again after a change
    Given agents a, b and c, and a flow that a holds
    When these happen, each change moving its bucket: <changes>
    And the caller's opening datagram comes twice
    Then "a" alone holds the flow

    Examples:
      | changes                                      |
      | d joins                                      |
      | registrations are lost; d joins              |
      | a drains                                     |
      | d joins; wait; d restarts                    |

  Scenario: The newer balancer's datagram comes before the older one's
    Given agents a, b and c, and a caller whose bucket a owns
    When these happen, each change moving its bucket: wait; the balancer lags; a lags; d joins
    And the caller's opening datagram comes by balancer 2, then 1
    Then "d" alone holds the flow

  Scenario: A caller that comes again on a flow that has ended
    Given agents a, b and c, and a flow that a holds
    When these happen, each change moving its bucket: d joins; wait; a ends the flow
    And the caller's opening datagram comes by balancer 1, then 2
    Then "d" alone holds the flow

  Scenario Outline: A datagram of a flow that nobody holds
    Given agents a, b and c, and a flow that a holds
    When a gets a datagram of an unknown flow from a balancer on <kind> version
    Then the flow is "<outcome>"

    Examples:
      | kind     | outcome         |
      | the same | closed          |
      | an older | closed          |
      | a newer  | owner_uncertain |

  Scenario Outline: Two agents that have started one flow
    Given agents a, b and c, and a flow that a holds
    When d joins without asking, and the flow is <state> there too
    And these happen, each change moving its bucket: wait
    Then "<holder>" alone holds the flow

    Examples:
      | state                  | holder |
      | opened                 | a      |
      | opened and confirmed   | d      |
      | opened, later again at a | a    |

  Scenario Outline: Datagrams that are not for this start of this service
    Given agents a, b and c, and a flow that a holds
    When a gets a datagram sealed for <receiver>
    Then it is dropped as "<reason>"

    Examples:
      | receiver                   | reason            |
      | another service            | wrong_service     |
      | an earlier incarnation     | wrong_incarnation |
      | a later incarnation        | wrong_incarnation |
      | itself after too many hops | too_many_hops     |
      | itself as an answer        | wrong_kind        |

  Scenario Outline: An address that another service has taken over
    Given agents a, b and c, and a flow that a holds
    When a's address is given to x of intake, and the <who> lags
    Then the flow's next datagram reaches "<outcome>"
    And x has got nothing

    Examples:
      | who      | outcome |
      | nobody   | closed  |
      | balancer | nobody  |

  Scenario Outline: Which balancer takes an answer
    Given agents a, b and c, and a flow that a holds
    And the balancers 1 and 2 are published
    When balancer <gone> is gone and the flow is silent for <silence> s
    Then a's answer leaves by balancer <taken>

    Examples:
      | gone | silence | taken |
      | none | 5       | 1     |
      | 2    | 5       | 1     |
      | 1    | 5       | 2     |
      | 1    | 0       | 1     |

  Scenario: Any order of changes, datagrams and messages
    Then no order of events breaks an established flow
