Feature: No engine carries more than a set multiple of the mean load

  Scenario: Many requests of one chat want the same engine
    Given engines that take 1 ms per token
    And a fleet of 4 model and 0 booking endpoints
    And routers r1 and r2
    And a wait of 3 s
    When 24 requests of one chat with long prompts and 100 tokens are sent
    Then no engine was given more than 1.25 times the mean load
    And each of them is answered completely or refused as not run
    And those refused as not run never ran
