Feature: No voter elects itself by a membership that is no longer the newest

  # Guards against the loss of an accepted change: a voter that was killed
  # while another one was replaced took itself for the only survivor.
  Scenario Outline: An accepted change survives a lost disk after <loss>, whenever another voter is killed meanwhile
    Given each tick from <begin> to <end> seconds after <loss>, at which another voter of <size> instances is killed
    Then each time, a change accepted by the others survives the loss of the leader's disk when all are killed <pause> seconds later

    Examples: a voter is replaced by a learner
      | size | loss              | begin | end | pause |
      | 4    | a voter is killed | 1.5   | 2.5 | 0     |

    Examples: a voter with a lost disk is replaced by its new identity
      | size | loss                   | begin | end | pause |
      | 3    | a voter loses its disk | 0.05  | 2.5 | 4     |

  # Guards against a cluster that stays without a leader although every change
  # is still on a disk.
  Scenario Outline: With <size> instances, a leader is elected again after the disks of <lost> voters are lost while another one is replaced
    Given each tick from 1.5 to 2.5 seconds after a voter is killed, at which <lost> others of <size> instances lose their disks
    Then each time, a leader accepts another change within 15 seconds after all have started again

    Examples:
      | size | lost |
      | 4    | 1    |
      | 6    | 2    |
