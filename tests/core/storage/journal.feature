Feature: A journal keeps all changes that it has acknowledged

  Scenario Outline: A process is killed at step <step> of an append, <crash>
    Given a journal with 3 entries
    When the process is killed at step <step> of an append
    And the instance crashes so that <crash>
    Then the journal opens with 3 or 4 entries
    And it appends another entry, which survives a crash

    Examples:
      | step | crash                        |
      | 1    | nothing unsynced is kept     |
      | 1    | part of the write is kept    |
      | 1    | the write is kept with a gap |
      | 2    | nothing unsynced is kept     |
      | 2    | part of the write is kept    |
      | 2    | all of the write is kept     |
      | 2    | the write is kept with a gap |

  Scenario Outline: A process is killed at step <step> of a snapshot, <crash>
    Given a journal with 3 entries
    When the process is killed at step <step> of a snapshot of 2 entries
    And the instance crashes so that <crash>
    Then the journal opens with the 3 entries, before or after the snapshot
    And it appends another entry, which survives a crash

    Examples:
      | step | crash                     |
      | 1    | nothing unsynced is kept  |
      | 1    | part of the write is kept |
      | 2    | nothing unsynced is kept  |
      | 2    | part of the write is kept |
      | 3    | nothing unsynced is kept  |
      | 3    | part of the write is kept |
      | 4    | nothing unsynced is kept  |
      | 4    | all of the write is kept  |

  Scenario Outline: After a failed <operation> the journal refuses all changes
    Given a journal with 3 entries
    When <operation> fails in <change>
    Then the failure names the step "<name>" and the file
    And every later change is refused, even when the disk works again
    And after a crash the journal opens with 3 or 4 entries

    Examples:
      | operation   | change     | name               |
      | append      | an append  | append to journal  |
      | sync        | an append  | sync journal       |
      | write       | a snapshot | write new journal  |
      | sync        | a snapshot | sync new journal   |
      | rename      | a snapshot | rename new journal |
      | sync folder | a snapshot | sync data folder   |

  Scenario: A damaged journal is not opened
    Given a journal with 3 entries
    When a bit in the middle of the journal is flipped
    Then opening it fails and names the file and the offset

  Scenario: An empty data folder holds no journal
    Given an empty data folder
    Then opening the journal finds no file

  Scenario: Entries of a later term replace earlier ones
    Given a journal with 3 entries
    When entries 2 and 3 are replaced by entries of a later term
    Then the journal opens with the first entry and those of the later term
