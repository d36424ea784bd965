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
