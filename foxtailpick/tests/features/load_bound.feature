Feature: No engine carries more than a set multiple of the mean load

  Scenario: Many requests of one chat want the same engine
    Given engines that take 1 ms for a token
    And a fleet with 4 model endpoints and 0 booking endpoints
    And routers r1 and r2
    And 3 s has passed
    When 24 requests with long prompts and 100 tokens belong to the same chat
    Then no engine was given more than 1.25 times the mean load
    And each of them is answered whole or refused as not run
    And those refused as not run never ran
