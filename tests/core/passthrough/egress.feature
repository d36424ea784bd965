Feature: A balancer sends no faster than the link of its instance

  # Guards against uploads that lose a third of their packets at instances with
  # a slow link, and against pacing where none is needed.
  Scenario Outline: An upload over a link of <rate> Mbit/s, <paced>
    Given a link of <rate> Mbit/s whose queue holds 50 ms, <paced>
    When 16 packets of each of <uploads> flows arrive at once
    Then <lost> packets are lost, and the last one has left after <most> ms

    Examples:
      | rate | paced     | uploads | lost | most |
      | 2    | not paced | 1       | 6    | 60   |
      | 2    | paced     | 1       | 0    | 90   |
      | 2    | paced     | 4       | 0    | 360  |
      | 100  | paced     | 1       | 0    | 3    |

  # Guards against offers that time out because uploads fill the link.
  Scenario: A message of the balancer has little in front of it
    Given a link of 2 Mbit/s whose queue holds 50 ms, paced
    When 16 packets of each of 4 flows arrive at once
    And a message is sent in each millisecond for 100 ms
    Then no message is lost, and each has left after 35 ms

  # Guards against short requests that wait for whole uploads.
  Scenario: A packet of a short request waits for one packet of each upload
    Given a link of 2 Mbit/s whose queue holds 50 ms, paced
    When 16 packets of each of 3 flows arrive at once
    And a packet of another flow arrives
    Then that packet has left after 50 ms

  # Guards against copies that fill the link while the packet itself waits.
  Scenario: A packet that is retransmitted while it is queued is sent once
    Given a link of 2 Mbit/s whose queue holds 50 ms, paced
    When 16 packets of each of 4 flows arrive at once
    And the same packets arrive again 200 ms later
    Then each of the packets still queued has been sent once

  Scenario: Packets that would wait longer than a second are dropped
    Given a link of 2 Mbit/s whose queue holds 50 ms, paced
    When 16 packets of each of 40 flows arrive at once
    Then no packet has left after 1100 ms, and the dropped ones are counted

  # Guards against a balancer that goes on late after a pause of its process.
  Scenario: After a pause the link is filled again, and not overrun
    Given a link of 2 Mbit/s whose queue holds 50 ms, paced
    When 16 packets of each of 4 flows arrive at once
    And the balancer is paused for 90 ms
    Then no packet is lost
