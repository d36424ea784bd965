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
