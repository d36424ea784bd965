Feature: Service during a load peak that needs all slots

  # The load exceeds the slots for a few seconds, so that each slot that is
  # idle while flows wait elsewhere makes answers late. The upper bound is
  # placement by the agents' state at that moment, which no message can
  # convey in time.
  Scenario: Placement comes close to placement with perfect knowledge
    Given a load peak of 112 of 100 slots over 3 zones with 12 agents
    When it is simulated with random, actual and perfectly informed placement
    Then actual placement serves 95 of 100 calls in time that perfectly informed placement does
    And random placement serves fewer of them

  Scenario: Placement does not depend on additional messages
    Given a load peak of 112 of 100 slots over 3 zones with 12 agents
    When it is simulated with actual placement
    Then agents send at most one load report for each call besides their regular reports

  # Each agent reports to more balancers less often, so that a balancer knows
  # less of the agents the more balancers there are.
  Scenario Outline: Placement stays close to perfect knowledge with <balancers> balancers
    Given a load peak of 112 of 100 slots over 3 zones with 12 agents
    And <balancers> balancers
    When it is simulated with random, actual and perfectly informed placement
    Then actual placement serves 95 of 100 calls in time that perfectly informed placement does

    Examples:
      | balancers |
      | 9         |
      | 63        |
      | 300       |
