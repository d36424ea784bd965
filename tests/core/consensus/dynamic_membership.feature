Feature: A cluster follows instances that come and go

  Scenario Outline: <size> instances know only 3 seeds, of which <tolerance> may be lost
    Given <size> instances with 3 seeds, tolerating the loss of <tolerance>
    Then <voters> of them vote, and the others learn
    And every instance holds a change that is proposed

    Examples:
      | size | tolerance | voters |
      | 3    | 1         | 3      |
      | 4    | 1         | 3      |
      | 6    | 2         | 5      |

  Scenario Outline: Instances without a disk learn and never vote
    Given instances "<diskless>" have no disk
    And <size> instances with 3 seeds, tolerating the loss of 1
    Then <voters> of them vote, and the others learn
    And every instance holds a change that is proposed
    And no instance of "<diskless>" votes
    When all instances of "<diskless>" restart
    Then within 8 seconds every instance is a member
    And every instance holds a change that is proposed
    And no instance of "<diskless>" votes

    Examples:
      | diskless | size | voters |
      | a        | 4    | 3      |
      | bd       | 5    | 3      |
      | ab       | 5    | 3      |

  Scenario: A voter is not replaced by an instance without a disk
    Given instances "d" have no disk
    And 4 instances with 3 seeds, tolerating the loss of 1
    When a voter is gone for good
    And 10 seconds pass
    Then no instance of "d" votes
    And a leader accepts a further change

  Scenario: Nothing is accepted before a loss could be borne
    Given 5 instances with 3 seeds, tolerating the loss of 2, of which 2 run
    Then no change is accepted
    When the others start
    Then a change is accepted within 8 seconds

  Scenario: The first change is accepted only once its loss of a voter could be borne
    Given 3 instances with 3 seeds, tolerating the loss of 1, of which 3 run
    When the last voter is slow to join, the first change is accepted and the leader is killed at once
    Then within 8 seconds a leader accepts a further change

  Scenario: An instance that starts anew with an empty disk never founds a cluster
    Given 3 instances with 3 seeds, tolerating the loss of 1
    When all lose their disks, and are not at their first start
    Then there is no leader after 10 seconds

  Scenario Outline: A voter that is gone for good is replaced by <by>
    Given <size> instances with 3 seeds, tolerating the loss of 1
    And 20 accepted changes
    When a voter is gone for good
    And a new instance starts at another address
    Then within 8 seconds 3 of the instances that run vote
    When a further voter is lost
    Then a leader accepts a further change
    And every instance that runs holds all that was accepted

    Examples:
      | size | by                     |
      | 3    | the new instance       |
      | 4    | one that already learns |

  Scenario: A voter that was only away learns what it has missed
    Given 4 instances with 3 seeds, tolerating the loss of 1
    And 20 accepted changes
    When a voter is cut off for 10 seconds
    And 5 changes are proposed to the leader
    And the cut heals
    Then within 8 seconds every instance is a member
    And every instance holds a change that is proposed

  Scenario: An instance whose seeds are gone finds the cluster by its members
    Given 4 instances with 3 seeds, tolerating the loss of 1
    When two seeds are replaced by new instances, one after the other
    Then within 8 seconds 3 of the instances that run vote
    And a leader accepts a further change

  Scenario Outline: Disks are lost after a change was accepted: <lost> of <size>
    Given <size> instances with 3 seeds, tolerating the loss of <lost>
    When a change is accepted, <lost> voters that have it lose their disks and the rest restart
    Then within 15 seconds a leader accepts a further change
    And every instance that runs holds all that was accepted

    Examples:
      | size | lost |
      | 3    | 1    |
      | 4    | 1    |
      | 5    | 2    |
      | 6    | 2    |
