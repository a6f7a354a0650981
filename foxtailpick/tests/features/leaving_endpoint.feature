Feature: A leaving endpoint receives no new work after 3 s

  Scenario: A drained endpoint finishes its requests and gets no new ones
    Given a fleet of 3 model and 0 booking endpoints
    And routers r1 and r2
    And account hiker keeps 12 chats active through r1
    When chat long of 600 tokens starts through r2
    And the endpoint of chat long is drained
    And a wait of 3 s
    Then no run starts at the drained endpoint for 2 s
    And chat long receives all 600 tokens from one run
    When the drained endpoint is returned to service
    Then it starts to serve requests again
    And every chat received its complete answer
