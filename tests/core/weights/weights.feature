Feature: Weights of targets

  Scenario Outline: A late or wrong load report has a limited effect
    Given a target with 4 slots that has run for 60 s
    When for 60 s it reports <reported> running requests, from second <late> on
    And its agent measures <running> running, <waited> s wait and <failed> failed
    Then its weight is between <low> and <high>

    Examples:
      | reported | late | running | waited | failed | low | high |
      | 0        | 0    | 0       | 0      | 0      | 100 | 100  |
      | 4        | 0    | 4       | 0      | 0      | 70  | 90   |
      | 4        | 0    | 4       | 0.5    | 0      | 50  | 60   |
      | none     | 0    | 4       | 0.5    | 0      | 50  | 60   |
      | none     | 0    | 0       | 0      | 0      | 100 | 100  |
      | 0        | 0    | 4       | 0.5    | 0      | 50  | 60   |
      | 4        | 0    | 0       | 0      | 0      | 100 | 100  |
      | 4        | 0    | 2       | 0      | 0      | 100 | 100  |
      | 4        | 10   | 0       | 0      | 0      | 100 | 100  |
      | 0        | 10   | 4       | 0.5    | 0      | 50  | 60   |
      | 0        | 0    | 0       | 0      | 1      | 50  | 60   |
      | 999      | 0    | 0       | 0      | 0      | 100 | 100  |
      | -999     | 0    | 4       | 9      | 1      | 50  | 60   |

  Scenario: The weight of a started target rises gradually
    Given a target with 4 slots that has run for 0 s
    Then its weight is 10
    And after 10 s without load its weight is between 40 and 60
    And after 30 s without load its weight is between 100 and 100

  Scenario Outline: Changing load changes a weight slowly and within its bounds
    Given a target with 4 slots that has run for 60 s
    When for 300 s its load switches between none and full <switching>
    Then each change is at most 10, and at least 2 s after the previous one
    And the weight stays between 40 and 100
    And the weight has changed at most <changes> times

    Examples:
      | switching       | changes |
      | each second     | 30      |
      | each 10 seconds | 150     |
      | at random       | 150     |
