Feature: A caller's port that is used again belongs to its newest flow

  # Guards against packets of an open flow at a target of an earlier one whose
  # caller had restarted: the earlier one's agent claimed them.
  Scenario Outline: The agent of a flow that its caller has left <claims> a packet that acknowledges <what>
    Given an agent with one slot
    When a flow is open at its target
    And a balancer asks for the owner of a packet that acknowledges <what>
    Then the agent <claims> the flow

    Examples:
      | what                   | claims         |
      | data of its target     | claims         |
      | data of another target | does not claim |

  # Guards against resets of an open flow: a target returned a late packet of an
  # earlier one, and its agent took the open flow for lost.
  Scenario: A late packet of an earlier flow changes nothing about the open one
    Given an agent with one slot
    When a flow is open at its target
    And a late packet of an earlier flow arrives
    Then the target does not get it
    When a balancer asks for the owner of a packet that acknowledges data of its target
    Then the agent claims the flow

  # Guards against the same after the target has accepted a second flow: what
  # it had sent on the first one was compared.
  Scenario: An agent forgets what its target has sent on an earlier flow
    Given an agent with one slot
    When a flow is open at its target
    And the target has sent data, and accepts another flow of the port
    And a balancer asks for the owner of a packet that acknowledges data of another target
    Then the agent claims the flow

  # Guards against new flows at a target that leaves: a balancer took the
  # repeated opening packet for one of the ended flow.
  Scenario Outline: An opening packet that is first seen when repeated does not go to the leaving target of a flow that <how>
    Given 2 balancers in zone "x" with 2 agents
    And a caller has opened a flow of 20 ms through "b0"
    When the flow has ended, and "<name>" has <how> it, and its target leaves
    And the caller uses its port again, and its repeated opening packet reaches "<name>"
    Then the other target has accepted the flow

    Examples:
      | how      | name |
      | offered  | b0   |
      | found    | b1   |

  # Guards against broken flows: an agent that had claimed a flow wrongly was
  # tried again, and did not count as one of the two that may be tried.
  Scenario: An agent that knows an earlier flow counts as one that was tried
    Given 2 balancers in zone "x" with 6 agents
    And all agents have been killed and started again
    And a caller has opened a flow of 45000 ms through "b0"
    And another agent has adopted an earlier flow of its port
    When the flow's agent is killed, and the caller repeats a packet for 4 s through "b1"
    Then at most 2 packets have reached other targets

  # Guards against the same: the agent forgot, or did not tell, that its target
  # had returned a packet.
  Scenario Outline: An agent tells that its target has returned a packet <when>
    Given an agent that has started after its target
    When the target returns a packet of the port <when>
    And a balancer asks for the owner of a packet that acknowledges data of another target
    Then the agent answers that the packet was returned

    Examples:
      | when                                  |
      | of a flow that a balancer had kept    |
      | of a flow that has ended              |
      | and restarts                          |

  # Guards against acceptances of two targets: the agent took an offer for a
  # repeated opening packet of a flow that its target had lost.
  Scenario: The acceptance of a withdrawn offer is withheld when the target had a flow of the port before it restarted
    Given an agent with one slot
    When a flow is open at its target
    And the target restarts, and a flow of the port is offered and withdrawn
    Then the caller does not get the target's acceptance

  # Guards against the same when the agent has restarted as planned.
  Scenario: The acceptance of a withdrawn offer is withheld when the agent has got an earlier flow of the port back
    Given an agent that has started after its target
    When a balancer returns a flow that it had kept
    And a flow of the port is offered and withdrawn
    Then the caller does not get the target's acceptance

  # Guards against the same: a flow that a balancer had kept was claimed for
  # certain, also for packets of a later flow of its port.
  Scenario Outline: The claim of an agent that has got a flow back is <how> when a packet acknowledges <what>
    Given an agent that has started after its target
    When a balancer returns a flow that it had kept
    And a balancer asks for the owner of a packet that acknowledges <what>
    Then its claim is <how>

    Examples:
      | what                   | how         |
      | data of its target     | certain     |
      | data of another target | not certain |
