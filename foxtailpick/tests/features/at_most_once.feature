Feature: A booking runs at most once, and what is said of it is true

  Background:
    Given a fleet with 2 model endpoints and 2 booking endpoints
    And routers r1 and r2

  Scenario: A repeated booking gets the stored answer
    When booking hut is sent through r1
    And booking hut is sent again through r2
    Then booking hut succeeds with one run
    And both answers to hut are the same

  Scenario: The reply of the service is lost
    Given the services lose the next reply
    When booking hut is sent through r1
    Then booking hut is answered with verdict may-have-run
    When booking hut is sent again through r2
    Then the repeat of hut is answered with verdict may-have-run
    And booking hut ran once

  Scenario: Retries cross each other through two routers
    Given the services take 300 ms
    When booking hut is sent 4 times through each router at once
    Then every answer to hut is the booking or says that it goes on
    And booking hut ran once

  Scenario: The sidecar is killed during the call
    Given the services take 1000 ms
    When booking hut begins through r1
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
    When the store comes back
    Then booking hut can be made through r2 with one run

  Scenario: The store's reply to the claim is lost
    When booking first is sent through r1
    And the store loses the reply to its next write
    And booking hut is sent through r1
    Then booking hut succeeds with one run

  Scenario: The connections of the booking go silent
    Given the services take 1000 ms
    When booking hut begins through r1
    And the connections of the booking go silent
    Then booking hut succeeds with one run
