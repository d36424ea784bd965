Feature: Tables of buckets

  Scenario: Every balancer builds the same table
    Given 7 targets with 4 slots each
    Then the table is the same for any order of the targets

  Scenario Outline: Equal targets get equal shares of the flows
    Given <targets> targets with 4 slots each
    When 1000 flows are steered
    Then the busiest target has at most 1.25 of the mean

    Examples:
      | targets |
      | 1       |
      | 3       |
      | 4       |
      | 7       |

  Scenario: Shares follow the slots and the weights
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
    Then at most 1.2 of one target's share has moved
    And a bucket has moved only from or to t1

    Examples:
      | targets | change       |
      | 4       | removed      |
      | 7       | removed      |
      | 7       | drained      |
      | 7       | given half   |
      | 7       | joined       |
      | 50      | removed      |

  Scenario Outline: A service whose targets all leave
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

  Scenario Outline: A table is built only when its own service changes
    Given 3 targets with 4 slots each
    And a balancer that has steered a datagram
    When <what> is published
    Then the table is <fate>

    Examples:
      | what                     | fate  |
      | another service's target | kept  |
      | a newer revision         | kept  |
      | one target less          | built |
      | another weight           | built |

  Scenario Outline: Answers that a balancer lets out
    Given 3 targets with 4 slots each
    When a balancer gets an answer of kind <kind> from service <service> for <entry>
    Then the balancer's outcome is "<outcome>"

    Examples:
      | kind   | service | entry          | outcome       |
      | ANSWER | 1       | 10.9.0.1:443   | answered      |
      | ENTRY  | 1       | 10.9.0.1:443   | wrong_kind    |
      | ANSWER | 2       | 10.9.0.1:443   | wrong_service |
      | ANSWER | 1       | 10.9.0.99:443  | unknown_entry |

  Scenario: A table is the same when it is worked out from a former one
    Then any change of shares gives the same table with and without a former one
