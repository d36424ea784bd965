Feature: Flows through a pass-through service stay whole

  Background:
    Given balancers "b1" and "b2" and agents "a1" and "a2" in zone "x"
    And the routes lead to service "s"

  Scenario: A calm flow is answered
    When a caller calls through "b1"
    Then the call is answered within 80 ms
    And its target has run it once

  Scenario: A flow whose balancer has left is found by another
    Given a caller has opened a flow of 500 ms through "b1"
    When its packets go through "b2"
    Then the call is answered within 800 ms
    And no other target has seen a packet of it

  Scenario: The flow of a restarted agent goes on, since its target still holds it
    Given a caller has opened a flow of 500 ms through "b1"
    When the agent that holds it starts anew
    Then the call is answered within 800 ms
    And its target has run it once

  Scenario: The flow of a restarted agent and of another balancer goes on
    Given a caller has opened a flow of 500 ms through "b1"
    When the agent that holds it starts anew
    And its packets go through "b2"
    Then the call is answered within 800 ms

  Scenario: An agent that is gone costs a new flow little
    Given agent "a1" has fallen silent just now
    When 8 callers call through "b1"
    Then each call is answered within 200 ms

  Scenario: A target that does not answer costs a new flow little
    Given the target of "a1" has fallen silent just now
    When 8 callers call through "b1"
    Then each call is answered within 250 ms
    And the target of "a1" has run none

  Scenario: When every target is silent, a caller is refused before it gives up
    Given the target of "a1" has fallen silent just now
    And the target of "a2" has fallen silent just now
    When a caller calls through "b1"
    Then the call is refused within 500 ms

  Scenario: A leaving target keeps its flows and gets no new ones
    Given a caller has opened a flow of 500 ms through "b1"
    When its target says that it is leaving
    And 8 callers call through "b1"
    Then the open flow is answered
    And its target has run 1 request

  Scenario: A late announcement of an earlier start is dropped
    Given the target of "a1" has started anew at 50
    When it is announced that the target of "a1" born at 1 is leaving
    Then the target of "a1" takes new flows

  Scenario: A new start of the target holds none of the earlier flows
    Given a caller has opened a flow of 500 ms through "b1"
    When its target starts anew at 50
    Then the agent that held it counts 0 flows

  Scenario: An address that another service has taken over gets nothing of the former one
    Given a caller has opened a flow of 500 ms through "b1"
    When the address of its agent goes to service "t"
    And the caller sends a further packet
    Then the target of service "t" has seen no packet

  Scenario: A dropped route refuses new flows and resets no open one
    Given a caller has opened a flow of 500 ms through "b1"
    When the route is dropped
    And the caller sends a further packet
    Then the open flow is not reset
    And a new call through "b1" is refused within 10 ms

  Scenario: A packet without a route is dropped, since its flow may be open
    Given the route is dropped
    When a packet of an unknown flow comes to "b1"
    Then nothing is sent

  Scenario: An opening packet that is lost on its way is offered again
    Given the first message from "b1" to each agent is lost
    When a caller calls through "b1"
    Then the call is answered within 250 ms

  Scenario: A balancer that reaches no agent does not reset a flow that opens through another
    Given all messages of "b1" are lost
    When a caller opens through "b1", and again through "b2"
    Then the call is answered within 350 ms
    When a caller opens through "b1", again through "b2", and goes on through "b1" for 0.15 s
    Then the call is answered within 800 ms

  Scenario: A slow accept after a second offer leaves the flow with the target that the caller chose
    Given the targets of "a1" and "a2" accept after 100 ms
    When a caller calls through "b1"
    Then the call is answered within 600 ms
    And it has run once in all

  Scenario: Rubbish is counted and answered by nothing
    When 200 random packets come to "b1" and to "a1"
    Then nothing is sent

  Scenario: A caller is not refused while no agent has reported yet
    Given a balancer "b3" in zone "x" that starts now with its routes
    When a caller calls through "b3"
    Then the call is answered within 350 ms

  Scenario: A service without agents is refused at once
    Given the routes lead to service "t"
    When a caller calls through "b1"
    Then the call is refused within 10 ms

  Scenario: A target that starts while its clock has jumped back is used in the end
    Given the target of "a1" has started anew at 5000
    When the target of "a1" starts with a clock that says 2600 and reports for 5 s
    Then the target of "a1" takes new flows as the one born at 2600

  Scenario: Reports of an earlier start that come late do not displace a target that reports
    Given the target of "a1" has started anew at 5000
    When 4 late reports of the target of "a1" born at 2600 come between its own
    Then the target of "a1" takes new flows as the one born at 5000

  Scenario: An agent that starts while its clock has jumped back is heard
    Given agent "a1" has said that it is stopping
    When agent "a1" starts with a clock that is 2.4 s behind its former start
    Then "b1" knows that agent "a1" takes new flows
