Feature: The report on how fast services spend their error budgets

  Scenario: The page has a plot for each objective and is self-contained
    Given an agent of soapfloor with 50 requests of 0.01 seconds and 50 of 2 seconds
    When the page is rendered
    Then it has a plot for each objective and loads nothing from elsewhere
    And it shows that a latency alert is burning

  Scenario Outline: The page names each gap in the data
    Given an agent of soapfloor with 50 requests of 0.01 seconds and 0 of 2 seconds
    And <gap>
    When the page is rendered
    Then the page says <text>

    Examples:
      | gap                          | text                               |
      | an agent <b> without samples | No fresh sample of agent &lt;b&gt; |
      | no request at all            | no requests                        |

  Scenario: A new sample is added to the file and old ones are removed
    Given a file with samples of 1 and 100000 seconds ago
    When a new sample is added
    Then the file holds the samples of 0 and 1 seconds ago

  Scenario: A damaged file of samples is refused and not changed
    Given a file of samples that ends in the middle of a line
    When a new sample is added
    Then it is refused and the file is unchanged
