Feature: An agent measures the load of its target from headers alone

  # Guards against flows that go to few targets: with open flows taken for busy,
  # every target seemed full, and noise in the service times decided.
  Scenario: Open flows that are mostly idle do not make a target look full
    Given an agent with 24 idle open flows on a route
    When half of them begin a request of 30 ms after 0.2 s, and the others none within 1 s
    Then the flows are expected to have at most 0.6 requests in progress

  # Guards against uploads that are refused by idle targets: the time in which
  # packets were lost and repeated counted as work of the target.
  Scenario: The transfer of a request does not occupy a slot
    Given an agent with one slot
    When the first packet of an upload is lost
    Then no flow is in progress
    When it is repeated 400 ms later
    Then 1 flow is in progress
    When 50 such uploads are answered 4 ms after their last packet
    Then the service time is between 3 and 6 ms, and no flow is in progress

  # Guards against targets that stand idle: lost packets of some handshakes
  # let every half-open flow occupy a slot for most of a second.
  Scenario Outline: A half-open flow frees its slot when <how>
    Given an agent with one slot
    When 200 callers answer the acceptance after <usual> ms, and each tenth of them after <rare> ms
    Then a half-open flow is no longer in progress after <bound> ms

    Examples:
      | how                        | usual | rare | bound |
      | some packets are lost      | 8     | 1400 | 60    |
      | all callers are far away   | 100   | 100  | 350   |
