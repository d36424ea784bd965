Feature: Admission, retries and refusals of requests at one target

  Scenario Outline: A request whose attempt fails is started again or refused
    Given a target with 1 slots
    When the <kind> request a arrives
    And the attempt of a fails, <progress>
    Then a is <outcome>
    And the target has run a at most <runs> times

    Examples:
      | kind           | progress | outcome                 | runs |
      | non-idempotent | not sent | started again           | 1    |
      | non-idempotent | shed     | started again           | 1    |
      | non-idempotent | sent     | refused unknown-outcome | 1    |
      | idempotent     | not sent | started again           | 2    |
      | idempotent     | sent     | started again           | 2    |

  Scenario Outline: The reason of a refusal tells whether any attempt may have run
    Given a target with 1 slots
    When the idempotent request a arrives
    And the attempt of a fails, <first>
    And the attempt of a fails, <second>
    And the attempt of a fails, <third>
    Then a is <outcome>

    Examples:
      | first    | second   | third    | outcome                 |
      | not sent | shed     | not sent | refused not-run         |
      | sent     | not sent | not sent | refused unknown-outcome |
      | shed     | sent     | shed     | refused unknown-outcome |

  Scenario: Retries stay within the budget
    Given a target with 4 slots
    When 100 idempotent requests arrive and every attempt is shed
    Then at most 20 attempts are retries

  Scenario Outline: A request whose hand-over ends is finished, queued or refused
    Given a target with 1 slots
    And the peer b reports 1 free slots
    When the <kind> request x arrives
    And the <kind> request a arrives
    Then a is handed over
    When the hand-over of a ends as <ending>
    Then a is <outcome>

    Examples:
      | kind           | ending   | outcome                 |
      | non-idempotent | answered | finished                |
      | non-idempotent | not run  | waiting                 |
      | non-idempotent | unknown  | refused unknown-outcome |
      | idempotent     | not run  | waiting                 |
      | idempotent     | unknown  | waiting                 |

  Scenario: A hand-over that is never answered ends at the deadline
    Given a target with 1 slots
    And the peer b reports 1 free slots
    When the non-idempotent request x arrives
    And the non-idempotent request a arrives with a deadline in 1.0 s
    And 1.1 s pass
    Then a is refused unknown-outcome

  Scenario: A request that was handed over is not handed over again
    Given a target with 1 slots
    And the peer b reports 4 free slots
    When the idempotent request x arrives
    And the idempotent request a arrives from a peer
    Then a is waiting

  Scenario: A late answer to a hand-over is ignored
    Given a target with 1 slots
    And the peer b reports 1 free slots
    When the non-idempotent request x arrives
    And the non-idempotent request a arrives
    And the hand-over of a ends as unknown
    And the hand-over of a ends as answered
    Then a is refused unknown-outcome

  Scenario: Late and duplicate answers are ignored
    Given a target with 1 slots
    When the non-idempotent request a arrives
    And the target answers a
    And the target answers a
    And the attempt of a fails, sent
    Then a is finished

  Scenario: A request that can not meet its deadline is refused before it runs
    Given a target with 1 slots
    And the route has an expected run time of 1.0 s
    When the non-idempotent request x arrives with a deadline in 9.0 s
    And the non-idempotent request a arrives with a deadline in 1.5 s
    Then a is refused not-run
    And the target has run a at most 0 times

  Scenario: The slot of a request that is never answered is freed
    Given a target with 1 slots
    When the non-idempotent request a arrives with a deadline in 1.0 s
    And the idempotent request b arrives with a deadline in 9.0 s
    And 1.1 s pass
    Then a is refused unknown-outcome
    And a is cancelled at the target
    And b is waiting
    When 1.1 s pass
    Then b is started

  Scenario: A request is cancelled when its caller stops waiting
    Given a target with 1 slots
    When the idempotent request a arrives
    And the idempotent request b arrives
    And the caller of a stops waiting
    And the caller of b stops waiting
    Then a is cancelled at the target
    And the target has run b at most 0 times

  Scenario: Many requests on one flow do not keep out those of another flow
    Given a target with 1 slots and a queue of 4
    When 9 requests arrive on one flow
    And the idempotent request a arrives
    Then a is waiting
    When the running request ends
    Then a is started

  Scenario Outline: Load reports change the concurrency limit within bounds
    Given a target with 4 slots
    When the load endpoint reports <slots> slots, <state>, <times> times
    And 5 requests arrive on one flow
    Then <started> requests are started

    Examples:
      | slots | state       | times | started |
      | 4     | serving     | 1     | 4       |
      | 99    | serving     | 3     | 4       |
      | 2     | serving     | 1     | 4       |
      | 2     | serving     | 2     | 2       |
      | 0     | serving     | 3     | 2       |
      | 4     | not serving | 1     | 4       |
      | 4     | not serving | 2     | 0       |

  Scenario: Shed requests lower the concurrency limit whatever the load reports say
    Given a target with 4 slots
    When 4 requests arrive on one flow
    And 2 of them are shed while the load endpoint reports 4 free slots
    Then at most 2 requests run at once

  Scenario: Long requests leave a slot free for short requests
    Given a target with 4 slots
    And the route POST /long has an expected run time of 3.0 s
    And the route POST /short has an expected run time of 0.1 s
    When 6 requests arrive for POST /long
    And 1 requests arrive for POST /short
    Then 3 requests are started for POST /long
    And 1 requests are started for POST /short

  Scenario: A request counts as long once it has run for long
    Given a target with 4 slots
    And the route POST /short has an expected run time of 0.1 s
    When 3 requests arrive for POST /short
    And 1.5 s pass
    And 2 requests arrive for POST /unknown
    Then 0 requests are started for POST /unknown
    When 1 requests arrive for POST /short
    Then 4 requests are started for POST /short

  Scenario: Short requests are started first until the aging bound
    Given a target with 1 slots
    And the route POST /slow has an expected run time of 0.9 s
    And the route POST /short has an expected run time of 0.1 s
    When 1 requests arrive for POST /short
    And 1 requests arrive for POST /slow
    And 2 requests for POST /short arrive every 0.1 s for 3.0 s and each is answered after 0.1 s
    Then 1 requests are started for POST /slow
    And no request for POST /slow waited longer than 2.3 s

  Scenario Outline: The concurrency limit of a newly started target rises slowly
    Given a target with 4 slots that started <age> s ago
    When 9 requests arrive on one flow
    Then <started> requests are started

    Examples:
      | age | started |
      | 0.0 | 1       |
      | 2.6 | 2       |
      | 5.1 | 4       |

  Scenario: A drain under full load cancels no running request and refuses the others
    Given a target with 2 slots
    When 6 requests arrive on one flow
    And the drain starts
    And the idempotent request a arrives
    Then a is refused not-run
    And 2 requests are started
    When 2.1 s pass
    Then 4 requests on that flow are refused not-run
    And 0 requests are cancelled at the target

  Scenario: A draining agent hands over the requests that have not started
    Given a target with 1 slots
    When the idempotent request x arrives
    And the non-idempotent request a arrives
    And the peer b reports 1 free slots
    And the drain starts
    Then a is handed over

  Scenario: The request with the shorter expected run time is started first
    Given a target with 1 slots
    And the route POST /slow has an expected run time of 0.9 s
    And the route POST /short has an expected run time of 0.1 s
    When 1 requests arrive for POST /short
    And 1 requests arrive for POST /slow
    And 1 requests arrive for POST /short
    And the running request ends
    Then 0 requests are started for POST /slow
    And 2 requests are started for POST /short

  Scenario: A request whose deadline passes in the queue is refused as not run
    Given a target with 1 slots
    When the non-idempotent request x arrives
    And the non-idempotent request a arrives with a deadline in 1.0 s
    And 1.1 s pass
    Then a is refused not-run
    And the target has run a at most 0 times
