Feature: A graceful shutdown cuts off no request in flight

  Scenario: A router stops
    Given a fleet with 3 model endpoints and 2 booking endpoints
    And routers r1 and r2
    And the services take 1000 ms
    When a chat long of 600 tokens begins through r1
    And booking hut begins through r1
    And r1 is told to stop
    Then r1 is not ready at once
    And r1 has ended
    And chat long is answered whole with 600 tokens in one run
    And booking hut succeeds with one run

  Scenario: A sidecar stops
    Given a fleet with 3 model endpoints and 2 booking endpoints
    And routers r1 and r2
    When a chat long of 600 tokens begins through r1
    And the sidecar of long is told to stop
    Then it is not ready at once
    And it has ended
    And chat long is answered whole with 600 tokens in one run

  Scenario: A sidecar with a booking in flight stops
    Given a fleet with 2 model endpoints and 2 booking endpoints
    And routers r1 and r2
    And the services take 1000 ms
    When booking hut begins through r1
    And the sidecar of the booking is told to stop
    Then it is not ready at once
    And it has ended
    And booking hut succeeds with one run

  Scenario: What takes longer than the bounded time gets a true verdict
    Given a shutdown is bounded at 300 ms
    And a fleet with 2 model endpoints and 2 booking endpoints
    And routers r1 and r2
    And the services take 2000 ms
    When booking hut begins through r1
    And r1 is told to stop
    Then r1 has ended
    And booking hut is answered with verdict may-have-run
    And booking hut can be made through r2 with one run
