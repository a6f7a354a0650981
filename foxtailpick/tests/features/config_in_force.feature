Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a fleet of 2 model and 2 booking endpoints
    And routers r1 and r2

  Scenario: A patch is in force everywhere within 13 s
    When operators take alue-kaksi out of service through r1
    Then the new configuration is in force at every node within 13 s

  Scenario: Two operators submit patches at the same time
    When two operators submit patches based on the same configuration
    Then one is accepted and the other is rejected as outdated
    And the accepted patch is in force everywhere

  Scenario: The store's reply to a patch is lost
    Given the store loses the reply to its next write
    When an operator submits a patch through r1
    And the operator submits the same patch again through r2
    Then the repeated patch is accepted with the next number
    And the configuration number has increased by one

  Scenario: Nodes restart while the store is down
    When operators take alue-kaksi out of service through r1
    Then the new configuration is in force at every node within 13 s
    When the store goes down
    And the sidecar of m0 is replaced
    Then the new configuration is in force at every node within 13 s

  Scenario: The store stays down after the patch
    Given a router r3 with its own connection to the store
    When r3 is cut off from the store
    And operators take alue-kaksi out of service through r1
    And the store goes down
    Then the new configuration is in force at every node within 13 s
