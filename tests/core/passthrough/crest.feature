Feature: Service at a crest that takes all slots

  # The work of the crest exceeds the slots for a few seconds, so that each
  # slot that stands idle while flows wait elsewhere makes answers late. The
  # limit is placing by what agents know at that moment, which no message
  # can give.
  Scenario: Placing comes close to that with perfect knowledge
    Given a crest of 112 of 100 slots over 3 zones with 12 agents
    When it is played with placing at random, as it is, and with perfect knowledge
    Then as it is, 95 of 100 calls that perfect knowledge serves in time are served in time
    And placing at random serves fewer of them

  Scenario: Perfect knowledge is not bought with messages
    Given a crest of 112 of 100 slots over 3 zones with 12 agents
    When it is played as it is
    Then agents report at most once for each call beside their regular reports
