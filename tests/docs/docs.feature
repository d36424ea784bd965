Feature: Pages that come from the code

  Scenario Outline: A page says what the code says
    When the page <page> is written anew
    Then it equals the committed one
    And it names <count> of the <registry>

    Examples:
      | page        | count | registry               |
      | events.md   | all   | events                 |
      | settings.md | all   | keys of the settings   |
      | objects.md  | all   | keys of the objects    |

  Scenario: A page that has fallen behind is found
    When the page events.md lacks its last line
    Then it is found to differ

  Scenario Outline: The settings of the example are accepted
    When the daemon's settings below <folder> are read
    Then <count> files are accepted

    Examples:
      | folder                     | count |
      | examples/lautoka/balancers | 3     |
      | examples/lautoka/control   | 1     |
      | examples/lautoka/agents    | 5     |

  Scenario: The configuration of the example has no fault
    When the objects below examples/lautoka/configuration are checked
    Then there are 2 services and no fault

  Scenario: Every link between the pages leads to a file
    Then each relative link in README.md, CHANGES.md and docs leads to a file
