Feature: An agent measures the load of its target from headers alone

  # Guards against flows that go to few targets: with open flows taken for busy,
  # every target seemed full, and noise in the service times decided.
  Scenario: Open flows that are mostly idle do not make a target look full
    Given an agent with 24 idle open flows on a route
    When half of them begin a request of 30 ms after 0.2 s, and the others none within 1 s
    Then the flows are expected to have at most 0.6 requests in progress
