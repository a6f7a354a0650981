Feature: No partner crowds out another, and an agreed split holds at once

  Background:
    Given engines that take 20 ms for a token
    And a fleet with 1 model endpoints and 0 booking endpoints
    And routers r1 and r2

  Scenario: An account surges
    Given 40 chats of hiker go on through r1
    And 24 chats of guide go on through r2
    And 1 s has passed
    Then of the next 160 runs guide gets a part of 0.5
    And every chat was answered whole

  Scenario: The split is changed
    Given 40 chats of hiker go on through r1
    And 24 chats of guide go on through r2
    And 1 s has passed
    When operators agree that guide gets 0.8 of the cost
    Then of the next 160 runs guide gets a part of 0.8
    And every chat was answered whole
