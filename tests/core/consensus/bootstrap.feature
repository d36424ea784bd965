Feature: One cluster is bootstrapped, whatever the instances in the settings

  # Guards against control instances that end, and a cluster that is never
  # created, when no instance in the settings has a disk.
  Scenario Outline: <size> instances of which "<diskless>" have no disk form one cluster
    When <size> instances with 3 seeds start, of which "<diskless>" have no disk
    Then they form one cluster, which accepts a change within 12 seconds

    Examples:
      | size | diskless |
      | 6    | abc      |
      | 6    | ab       |
      | 8    | abcgh    |

  Scenario: Without any disk, no cluster is bootstrapped and no instance ends
    When 4 instances with 3 seeds start, of which "abcd" have no disk
    Then there is no leader after 5 seconds

  # Guards against a first start that waits for ever for a candidate that may
  # not bootstrap any more.
  Scenario Outline: Another candidate is nominated when a disk is lost before its instance bootstraps
    When <size> instances with 3 seeds start, of which "<diskless>" have no disk, and the first candidate that two have nominated loses its disk
    Then they form one cluster, which accepts a change within 12 seconds

    Examples:
      | size | diskless |
      | 4    | d        |
      | 7    | abc      |
