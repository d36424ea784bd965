Feature: Flows through a pass-through service stay intact

  Background:
    Given balancers "b1" and "b2" and agents "a1" and "a2" in zone "x"
    And the routes send flows to service "s"

  Scenario: A flow without disturbances is answered
    When a caller calls through "b1"
    Then the call is answered within 80 ms
    And its target has run the request once

  Scenario: Another balancer finds the owner of a flow that it doesn't know
    Given a caller has opened a flow of 500 ms through "b1"
    When its packets are sent to "b2"
    Then the call is answered within 800 ms
    And no other target has received a packet of it

  Scenario: A flow survives a restart of its agent, since its target still has it
    Given a caller has opened a flow of 500 ms through "b1"
    When the agent that owns it restarts
    Then the call is answered within 800 ms
    And its target has run the request once

  Scenario: A flow survives a restart of its agent and a change of its balancer
    Given a caller has opened a flow of 500 ms through "b1"
    When the agent that owns it restarts
    And its packets are sent to "b2"
    Then the call is answered within 800 ms

  Scenario: An unreachable agent delays new flows only briefly
    Given agent "a1" has just become unreachable
    When 8 callers call through "b1"
    Then each call is answered within 200 ms

  Scenario: A target that does not answer delays new flows only briefly
    Given the target of "a1" has just stopped answering
    When 8 callers call through "b1"
    Then each call is answered within 250 ms
    And the target of "a1" has run no request

  Scenario: When no target answers, a caller is refused before it gives up
    Given the target of "a1" has just stopped answering
    And the target of "a2" has just stopped answering
    When a caller calls through "b1"
    Then the call is refused within 500 ms

  Scenario: A leaving target keeps its flows and gets no new ones
    Given a caller has opened a flow of 500 ms through "b1"
    When its target announces that it is leaving
    And 8 callers call through "b1"
    Then the open flow is answered
    And its target has run 1 request

  Scenario: A delayed announcement of an earlier start is dropped
    Given the target of "a1" has restarted at 50
    When a delayed announcement says that the target of "a1" started at 1 is leaving
    Then the target of "a1" accepts new flows

  Scenario: A restarted target has none of its earlier flows
    Given a caller has opened a flow of 500 ms through "b1"
    When its target restarts at 50
    Then the agent that owned it counts no flow
    When the caller repeats its request
    Then the agent that owned it has 0 flows

  Scenario: An address that is reused by another service gets no packet of the former one
    Given a caller has opened a flow of 500 ms through "b1"
    When the address of its agent is reused by service "t"
    And the caller sends another packet
    Then the target of service "t" has received no packet

  Scenario: Removing a route refuses new flows and resets no open one
    Given a caller has opened a flow of 500 ms through "b1"
    When the route is removed
    And the caller sends another packet
    Then the open flow is not reset
    And a new call through "b1" is refused within 10 ms

  Scenario: A packet without a route gets no reset, since its flow may be open
    Given the route is removed
    When a packet of an unknown flow arrives at "b1"
    Then nothing is sent

  Scenario: An offer that is lost is repeated
    Given the first message from "b1" to each agent is lost
    When a caller calls through "b1"
    Then the call is answered within 250 ms

  Scenario: An accepted flow whose answer to the offer is lost is offered once
    When the answers to offers are lost and 20 callers call at 30 ms intervals
    Then each flow was offered to one target
    And no open flow was reset, no request ran twice, and no refused one ran

  Scenario: Only the target whose acceptance a caller acknowledges has its flow
    Given a target has accepted a flow whose caller has not gone on yet
    Then its agent claims the flow of a packet that acknowledges the next number
    And it claims none that acknowledges the number itself, or the one after next

  Scenario: A caller whose first packets after the handshake are lost is answered
    When a caller's next packets are lost for 2 s after a target has accepted its flow
    Then the call is answered within 3200 ms
    And the request has run once in total

  Scenario: A balancer that reaches no agent does not reset a flow opened through another one
    Given all messages of "b1" are lost
    When a caller sends its opening packet through "b1" and retransmits it through "b2"
    Then the call is answered within 350 ms
    When a caller opens a flow through "b1" and "b2" and continues through "b1" for 0.15 s
    Then the call is answered within 800 ms

  Scenario: When a second target accepts late too, only one of them keeps the flow
    Given the targets of "a1" and "a2" accept after 100 ms
    When a caller calls through "b1"
    Then the call is answered within 600 ms
    And the request has run once in total

  Scenario: Malformed packets are not answered
    When 200 random packets arrive at "b1" and at "a1"
    Then nothing is sent

  Scenario: A caller is not refused while no agent has reported yet
    Given a balancer "b3" in zone "x" that has just started and has its routes
    When a caller calls through "b3"
    Then the call is answered within 350 ms

  Scenario: A caller's opening packet waits for the first routes of a balancer
    Given a balancer "b3" in zone "x" that has just started and has no routes
    And "b3" knows the agents
    When a caller calls through "b3", which gets its routes after 100 ms
    Then the call is answered within 180 ms
    And the request has run once in total

  Scenario: Of packets held for the first routes, only those of waiting callers are used
    Given a balancer "b3" in zone "x" that has just started and has no routes
    And "b3" knows the agents
    When 3000 callers send an opening packet to "b3", which gets its routes after 1300 ms
    Then "b3" has made no offer
    And no caller was refused

  Scenario: A held flow without a route is not refused
    Given a balancer "b3" in zone "x" that has just started and has no routes
    When a caller calls through "b3", which gets routes without its service after 100 ms
    Then no caller was refused within 150 ms of its call

  Scenario: A caller that goes on with a flow elsewhere is forgotten
    Given a balancer "b3" in zone "x" that has just started and has no routes
    And "b3" knows the agents
    When a caller opens a flow through "b1" after its first packet went to "b3"
    And "b3" gets the flow's next packet and then its routes
    Then "b3" has made no offer

  Scenario: A service without agents is refused at once
    Given the routes send flows to service "t"
    When a caller calls through "b1"
    Then the call is refused within 10 ms

  Scenario: A target that starts after its clock has jumped back is accepted after a while
    Given the target of "a1" has restarted at 5000
    When the target of "a1" restarts at 2600 by its clock and announces itself for 5 s
    Then the target of "a1" accepts new flows as the one started at 2600

  Scenario: Delayed announcements of an earlier start do not replace a live target
    Given the target of "a1" has restarted at 5000
    When 4 delayed announcements of the target of "a1" started at 2600 arrive between its own
    Then the target of "a1" accepts new flows as the one started at 5000

  Scenario: The reports of an agent that starts after its clock has jumped back are accepted
    Given agent "a1" has reported that it is stopping
    When agent "a1" restarts 2.4 s before its former start by its clock
    Then "b1" knows that agent "a1" accepts new flows

  # Each agent says of every flow that its target may have it.
  Scenario Outline: A flow is found among <agents> agents that have all restarted
    Given 1 balancers in zone "x" with <agents> agents
    And a caller has opened a flow of 5000 ms through "b0"
    When all agents and "b0" have restarted, their targets have not, and the caller sends another packet
    Then the open flow is answered within 150 ms after that
    And at most <most> messages were sent for it

    Examples:
      | agents | most |
      | 12     | 60   |
      | 48     | 240  |

  Scenario: A flow that was lost with all targets is not handed from agent to agent
    Given 1 balancers in zone "x" with 48 agents
    And a caller has opened a flow of 5000 ms through "b0"
    When all agents and "b0" have restarted 0.5 s after their targets, and the caller sends another packet
    Then at most 60 messages were sent for it
    And no target has received a packet of it

  # Only the two ends of a flow can tell whose answer a packet is.
  Scenario Outline: A late second copy of an answer reaches a port that is used again, and the caller <does>
    Given the caller <does>
    And a caller has been answered through "b1"
    When it opens a flow of 500 ms from the same port at another target, and the former target sends its answer again
    Then the caller has <taken> the copy for its answer

    Examples:
      | does                          | taken     |
      | checks the sequence number    | not taken |
      | ignores the sequence number   | taken     |

  Scenario: A flow goes on while the reports of its agent are lost for 12 s, and is found afterwards
    Given a caller has opened a flow of 14000 ms through "b1"
    When all messages of its agent to balancers are lost for 12 s
    Then the open flow is not reset
    When its packets are sent to "b2"
    Then the call is answered within 14500 ms
    And its target has run the request once
    And no other target has received a packet of it
