Feature: Datagrams and frames that nobody of the system has sent

  Every port takes 200 pieces of rubbish from a fixed seed, counts what it
  drops and goes on.

  Scenario Outline: A port of a balancer or an agent
    Given a balancer and an agent with a published service
    When 200 <kind> datagrams come to the <port>
    Then all of them are counted as dropped or handled
    And every task of both roles goes on

    Examples:
      | kind      | port                  |
      | random    | balancer's entry      |
      | truncated | balancer's entry      |
      | oversized | balancer's entry      |
      | random    | balancer's sealed end |
      | truncated | balancer's sealed end |
      | oversized | balancer's sealed end |
      | replayed  | balancer's sealed end |
      | random    | agent's sealed end    |
      | truncated | agent's sealed end    |
      | oversized | agent's sealed end    |
      | replayed  | agent's sealed end    |

  Scenario Outline: A connection to an agent
    Given a balancer and an agent with a published service
    When 50 connections with random bytes come to the <port>
    Then every task of both roles goes on
    And a message of a peer still arrives

    Examples:
      | port                  |
      | agent's link          |
      | agent's hand-over end |

  Scenario: A header field that is no text
    Given a balancer and an agent with a published service
    When a caller sends a header field with the bytes ff fe
    Then every task of both roles goes on
    And the agent has taken 1 request

  Scenario: A fault in one flow
    Given a balancer and an agent with a published service
    And two flows at the agent, of which the first fails at any datagram
    When a datagram comes for each of them
    Then only the second goes on
    And the events hold 3001
    And every task of both roles goes on
