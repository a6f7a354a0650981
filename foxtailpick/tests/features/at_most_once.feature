Feature: A booking runs at most once, and its reported outcome is true

  Background:
    Given a fleet of 2 model and 2 booking endpoints
    And routers r1 and r2

  Scenario: A repeated booking receives the stored answer
    When booking hut is sent through r1
    And booking hut is sent again through r2
    Then booking hut succeeds with one run
    And both answers to hut are the same

  Scenario: The reply of the booking service is lost
    Given the services lose the next reply
    When booking hut is sent through r1
    Then booking hut is answered with verdict may-have-run
    When booking hut is sent again through r2
    Then the repeat of hut is answered with verdict may-have-run
    And booking hut ran once

  Scenario: Concurrent retries arrive through two routers
    Given the services take 300 ms per call
    When booking hut is sent 4 times through each router at once
    Then every answer to hut is the booking or says that it is in progress
    And booking hut ran once

  Scenario: The sidecar is killed during the call
    Given the services take 1000 ms per call
    When booking hut starts through r1
    And the sidecar of the booking is killed
    Then booking hut is answered with verdict may-have-run
    When booking hut is sent again through r2
    Then booking hut ran at most once

  Scenario: The store is down
    When booking first is sent through r1
    And the store goes down
    And booking hut is sent through r1
    Then booking hut is answered with verdict not-run
    And booking hut never ran
    When the store comes back up
    Then booking hut eventually succeeds through r2 with one run

  Scenario: The store's reply to the claim is lost
    When booking first is sent through r1
    And the store loses the reply to its next write
    And booking hut is sent through r1
    Then booking hut succeeds with one run

  Scenario: The connections of the booking go silent
    Given the services take 1000 ms per call
    When booking hut starts through r1
    And the connections of the booking go silent
    Then booking hut succeeds with one run
