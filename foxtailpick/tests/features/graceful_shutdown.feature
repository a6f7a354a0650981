Feature: A graceful shutdown cuts off no request in flight

  Scenario: A router shuts down
    Given a fleet of 3 model and 2 booking endpoints
    And routers r1 and r2
    And the services take 1000 ms per call
    When chat long of 600 tokens starts through r1
    And booking hut starts through r1
    And r1 is asked to shut down
    Then r1 immediately reports that it is not ready
    And r1 exits
    And chat long receives all 600 tokens from one run
    And booking hut succeeds with one run

  Scenario: A sidecar shuts down
    Given a fleet of 3 model and 2 booking endpoints
    And routers r1 and r2
    When chat long of 600 tokens starts through r1
    And the sidecar of chat long is asked to shut down
    Then it immediately reports that it is not ready
    And it exits
    And chat long receives all 600 tokens from one run

  Scenario: A sidecar with a booking in flight shuts down
    Given a fleet of 2 model and 2 booking endpoints
    And routers r1 and r2
    And the services take 1000 ms per call
    When booking hut starts through r1
    And the sidecar of the booking is asked to shut down
    Then it immediately reports that it is not ready
    And it exits
    And booking hut succeeds with one run

  Scenario: A booking that outlasts the shutdown limit gets a true verdict
    Given a shutdown limit of 300 ms
    And a fleet of 2 model and 2 booking endpoints
    And routers r1 and r2
    And the services take 2000 ms per call
    When booking hut starts through r1
    And r1 is asked to shut down
    Then r1 exits
    And booking hut is answered with verdict may-have-run
    And booking hut eventually succeeds through r2 with one run
