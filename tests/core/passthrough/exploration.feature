Feature: Open flows survive random faults

  # Guards against sequences of faults that no other scenario plays: resets of
  # open flows, packets that reach others than the flow's target for 2 s, new
  # flows at a leaving target, packets of another flow at a caller, and requests
  # that are executed twice. `make explore-flows` runs more of them.
  Scenario: Restarts, pauses, late reports and reused ports in any order
    Given the schedules of faults of the seeds 0 to 99
    Then the flow explorer finds no violation
