Feature: Weights of targets

  Scenario Outline: Load reports that lag or mislead
    Given a target with 4 slots that has run for 60 s
    When for 60 s its report says <reported> running, <late> s late
    And its agent sees <running> running, <waited> s wait and <failed> failed
    Then its weight is from <low> to <high>

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

  Scenario: A target that has started takes its share little by little
    Given a target with 4 slots that has run for 0 s
    Then it starts with weight 10
    And after 10 s without load its weight is from 40 to 60
    And after 30 s without load its weight is from 100 to 100

  Scenario Outline: No load moves a weight fast or out of its bounds
    Given a target with 4 slots that has run for 60 s
    When for 300 s its load goes from none to full <swing>
    Then no change is above 10, or sooner than 2 s after the last
    And the weight stays from 40 to 100
    And it has changed at most <changes> times

    Examples:
      | swing           | changes |
      | each second     | 30      |
      | each 10 seconds | 150     |
      | at random       | 150     |
