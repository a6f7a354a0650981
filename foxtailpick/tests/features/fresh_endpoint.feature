Feature: A fresh endpoint receives no more work than it can handle

  Scenario: An endpoint is started while many chats are active
    Given a fleet of 3 model and 0 booking endpoints
    And routers r1 and r2
    And account hiker keeps 24 chats active through r1
    And a wait of 1 s
    When a cold endpoint m3 is started
    Then m3 starts to serve requests
    And no engine is overloaded for 4 s
    And every chat received its complete answer

  Scenario: An engine turns cold without notice
    Given a fleet of 3 model and 0 booking endpoints
    And routers r1 and r2
    And account hiker keeps 24 chats active through r1
    And a wait of 1 s
    When the engine of m1 turns cold
    Then no engine is overloaded for 4 s
    And every chat received its complete answer

  Scenario: All engines are cold
    Given engines start cold
    And a fleet of 3 model and 0 booking endpoints
    And routers r1 and r2
    When account hiker keeps 24 chats active through r1
    Then no engine is overloaded for 4 s
    And every chat received its complete answer
