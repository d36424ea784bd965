Feature: The page on configuration objects

  Scenario: Each key stands on the page as in the registry
    Then docs/configuration.md holds a row for each key and no other
