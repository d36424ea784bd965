Feature: Flows stay intact while processes pause and messages are lost

  Background:
    Given 2 balancers in zone "x" with 4 agents whose targets queue 4
    And 300 calls are scheduled within 6 s

  Scenario Outline: <part> of 100 messages between balancers and agents are lost
    When <part> of 100 messages between balancers and agents are lost
    Then 300 calls are answered
    And no open flow was reset, no request ran twice, and no refused one ran

    Examples:
      | part |
      | 1    |
      | 3    |
      | 10   |

  Scenario Outline: <what> is paused for <length> s and resumes
    When <what> is paused from 2 s on for <length> s
    Then no open flow was reset, no request ran twice, and no refused one ran
    And the calls from 1 s after the pause on are answered within 275 ms

    Examples:
      | what       | length |
      | an agent   | 0.15   |
      | an agent   | 2.0    |
      | a balancer | 0.15   |
      | a balancer | 1.0    |

  Scenario: Each agent and each balancer is paused repeatedly
    When each process is paused for 0.12 s in each second, one after another
    Then 300 calls are answered
    And no open flow was reset, no request ran twice, and no refused one ran

  Scenario Outline: <what> ends just when the caller is refused
    When a target of 1 agent is called while <what> takes from 30 to 420 ms
    Then no open flow was reset, no request ran twice, and no refused one ran
    And the caller is answered whenever it takes less than <bound> ms

    Examples:
      | what                 | bound |
      | the target's accept  | 70    |
      | a pause of the agent | 200   |

  Scenario: A withdrawal does not affect the offer of another balancer
    When a flow is offered to 1 agent through 2 balancers, and the first one withdraws it before the target accepts
    Then the caller is answered within 150 ms
    And no open flow was reset, no request ran twice, and no refused one ran

  Scenario: When two targets accept late, the first one keeps the flow
    When a target of each of 2 agents is called while the target's accept takes from 30 to 200 ms
    Then no open flow was reset, no request ran twice, and no refused one ran
    And the caller is answered whenever it takes less than 140 ms
