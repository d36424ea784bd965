Feature: Assignment of buckets to targets

  Scenario: Every balancer builds the same table
    Given 7 targets with 4 slots each
    Then the table is the same for any order of the targets

  Scenario Outline: Equal targets get nearly equal numbers of flows
    Given <targets> targets with 4 slots each
    When 1000 flows are routed
    Then the busiest target has at most 1.25 times the mean number of flows

    Examples:
      | targets |
      | 1       |
      | 3       |
      | 4       |
      | 7       |

  Scenario: Shares of the buckets are in proportion to slots times weight
    Given the targets
      | name | slots | weight | state    |
      | a    | 4     | 100    | serving  |
      | b    | 2     | 100    | serving  |
      | c    | 4     | 50     | serving  |
      | d    | 4     | 100    | draining |
    Then the shares of the buckets are
      | name | share |
      | a    | 0.5   |
      | b    | 0.25  |
      | c    | 0.25  |
      | d    | 0.0   |

  Scenario Outline: A change of one target moves few buckets
    Given <targets> targets with 4 slots each
    When target t1 is <change>
    Then at most 1.2 times the mean share of one target has moved
    And a bucket has moved only from or to t1

    Examples:
      | targets | change       |
      | 4       | removed      |
      | 7       | removed      |
      | 7       | drained      |
      | 7       | given half   |
      | 7       | joined       |
      | 50      | removed      |

  Scenario Outline: A service whose only target serves or drains
    Given the targets
      | name | slots | weight | state   |
      | a    | 4     | 100    | <state> |
    When a balancer gets a datagram that <opens>
    Then the balancer's outcome is "<outcome>"

    Examples:
      | state    | opens                     | outcome   |
      | serving  | opens a flow              | a         |
      | serving  | belongs to a flow         | a         |
      | draining | belongs to a flow         | a         |
      | draining | opens a flow              | no_target |

  Scenario Outline: A table is rebuilt only when its own service changes
    Given 3 targets with 4 slots each
    And a balancer that has routed a datagram
    When <what> is published
    Then the table is <fate>

    Examples:
      | what                     | fate    |
      | another service's target | kept    |
      | a newer revision         | kept    |
      | one target less          | rebuilt |
      | another weight           | rebuilt |

  Scenario Outline: Which answers a balancer sends to callers
    Given 3 targets with 4 slots each
    When a balancer gets an answer of kind <kind> from service <service> for <entry>
    Then the balancer's outcome is "<outcome>"

    Examples:
      | kind   | service | entry          | outcome       |
      | ANSWER | 1       | 10.9.0.1:443   | answered      |
      | ENTRY  | 1       | 10.9.0.1:443   | wrong_kind    |
      | ANSWER | 2       | 10.9.0.1:443   | wrong_service |
      | ANSWER | 1       | 10.9.0.99:443  | unknown_entry |

  Scenario: A table updated from a former one equals a newly computed one
    Then for any change of targets, the table is the same with and without a former one
