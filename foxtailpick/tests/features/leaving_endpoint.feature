Feature: A leaving endpoint receives no new work after 3 s

  Scenario: A drained endpoint finishes what it has and gets nothing new
    Given a fleet with 3 model endpoints and 0 booking endpoints
    And routers r1 and r2
    And 12 chats of hiker go on through r1
    When a chat long of 600 tokens begins through r2
    And the endpoint of long is drained
    And 3 s have passed
    Then the drained endpoint begins no work for 2 s
    And chat long is answered whole with 600 tokens in one run
    When the drained endpoint is opened again
    Then it begins work again
    And every chat was answered whole
