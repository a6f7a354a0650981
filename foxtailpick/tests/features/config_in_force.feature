Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a fleet with 2 model endpoints and 2 booking endpoints
    And routers r1 and r2

  Scenario: It is in force everywhere within 13 s
    When operators take alue-kaksi out through r1
    Then its number is in force at every node within 13 s

  Scenario: Two operators race
    When two operators submit patches against the same number
    Then one is accepted and the other is told that it is outdated
    And the accepted patch is in force everywhere

  Scenario: The store's reply to a patch is lost
    Given the store loses the reply to its next write
    When an operator submits a patch through r1
    And the operator submits the same patch again through r2
    Then the same patch is accepted with the same number
    And the number went up by one

  Scenario: Nodes restart while the store is down
    When operators take alue-kaksi out through r1
    Then its number is in force at every node within 13 s
    When the store goes down
    And the sidecar of m0 is replaced
    Then its number is in force at every node within 13 s

  Scenario: The store stays down after the patch
    Given a router r3 with a way to the store of its own
    When r3 is cut off from the store
    And operators take alue-kaksi out through r1
    And the store goes down
    Then its number is in force at every node within 13 s
