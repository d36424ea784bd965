Feature: The report on service-level burn

  Scenario: The page stands alone
    Given an agent of soapfloor with 50 requests of 0.01 seconds and 50 of 2 seconds
    When the page is rendered
    Then it has a plot for each objective and loads nothing from elsewhere
    And it says that latency burns

  Scenario Outline: What is not known stands on the page
    Given an agent of soapfloor with 50 requests of 0.01 seconds and 0 of 2 seconds
    And <gap>
    When the page is rendered
    Then the page says <text>

    Examples:
      | gap                      | text                    |
      | a silent agent <b>       | No fresh sample of agent &lt;b&gt; |
      | no request at all        | no requests             |

  Scenario: Samples are kept between calls and dropped with age
    Given a file with samples of 1 and 100000 seconds ago
    When a new sample is kept
    Then the file holds the samples of 0 and 1 seconds ago

  Scenario: A damaged file of samples is refused and left alone
    Given a file of samples that ends in the middle of a line
    When a new sample is kept
    Then it is refused and the file is as before
