Feature: Damaged records are told from a torn last record

  Scenario Outline: <damage>
    Given a file of 5 records of <size> bytes
    When the file is damaged: <damage>
    Then reading it gives <verdict>

    Examples: a torn write
      | damage                                | size | verdict   |
      | nothing                               | 700  | 5 records |
      | the last byte is missing              | 700  | 4 records |
      | half of the last record is missing    | 700  | 4 records |
      | half of the last header is missing    | 700  | 4 records |
      | a sector of the last record is zeroed | 700  | 4 records |
      | the last record is zeroed             | 700  | 4 records |
      | the last record is missing            | 700  | 4 records |

    Examples: damage to synced records
      | damage                                   | size | verdict               |
      | a bit in the first body is flipped       | 700  | a failure at record 1 |
      | a bit in the third body is flipped       | 700  | a failure at record 3 |
      | a bit in the third header is flipped     | 700  | a failure at record 3 |
      | a bit in the last body is flipped        | 700  | a failure at record 5 |
      | a bit in the last header is flipped      | 700  | a failure at record 5 |
      | the third record is zeroed               | 700  | a failure at record 3 |
      | the third record is missing              | 700  | a failure at record 3 |
      | the third and fourth records are swapped | 700  | a failure at record 3 |
      | a bit in the third header is flipped     | 5    | a failure at record 3 |

  Scenario: A file cut at any offset gives the complete records before it
    Given a file of 5 records of 60 bytes
    Then each of its prefixes gives the records that are complete in it

  Scenario: Every flipped bit of a file is detected
    Given a file of 5 records of 20 bytes
    Then each of its bits, flipped, gives a failure
