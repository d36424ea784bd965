Feature: Documentation pages and the example

  Scenario Outline: A generated page matches the code
    When the page <page> is generated
    Then it equals the committed page
    And it lists <count> of the <registry>

    Examples:
      | page        | count | registry               |
      | events.md   | all   | events                 |
      | settings.md | all   | keys of the settings   |
      | objects.md  | all   | keys of the objects    |

  Scenario: A page that differs from the code is reported
    When the page events.md lacks its last line
    Then it is reported as stale

  Scenario Outline: The settings files of the example are valid
    When the daemon's settings files in <folder> are read
    Then <count> files are accepted

    Examples:
      | folder                     | count |
      | examples/lautoka/balancers | 3     |
      | examples/lautoka/control   | 1     |
      | examples/lautoka/agents    | 5     |

  Scenario: The configuration of the example is valid
    When the objects in examples/lautoka/configuration are checked
    Then they are valid and contain 2 services

  Scenario: Every relative link in the documentation leads to a file
    Then each relative link in README.md, CHANGES.md and docs leads to a file
