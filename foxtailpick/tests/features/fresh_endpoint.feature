Feature: A fresh endpoint receives no more work than it can bear

  Scenario: An endpoint is started under many chats
    Given a fleet with 3 model endpoints and 0 booking endpoints
    And routers r1 and r2
    And 24 chats of hiker go on through r1
    And 1 s has passed
    When a cold endpoint m3 is started
    Then m3 begins work
    And no engine falls over for 4 s
    And every chat was answered whole

  Scenario: An engine turns cold without notice
    Given a fleet with 3 model endpoints and 0 booking endpoints
    And routers r1 and r2
    And 24 chats of hiker go on through r1
    And 1 s has passed
    When the engine of m1 turns cold
    Then no engine falls over for 4 s
    And every chat was answered whole

  Scenario: All engines are cold
    Given engines start cold
    And a fleet with 3 model endpoints and 0 booking endpoints
    And routers r1 and r2
    When 24 chats of hiker go on through r1
    Then no engine falls over for 4 s
    And every chat was answered whole
