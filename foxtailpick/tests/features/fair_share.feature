Feature: No partner crowds out another, and an agreed split holds at once

  Background:
    Given engines that take 20 ms per token
    And a fleet of 1 model and 0 booking endpoints
    And routers r1 and r2

  Scenario: An account surges
    Given account hiker keeps 40 chats active through r1
    And account guide keeps 24 chats active through r2
    And a wait of 1 s
    Then account guide gets 0.5 of the next 160 runs
    And every chat received its complete answer

  Scenario: The split is changed
    Given account hiker keeps 40 chats active through r1
    And account guide keeps 24 chats active through r2
    And a wait of 1 s
    When operators change the agreed split so that guide gets 0.8 of the cost
    Then account guide gets 0.8 of the next 160 runs
    And every chat received its complete answer
