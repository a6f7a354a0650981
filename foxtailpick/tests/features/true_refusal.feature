Feature: A refusal that says not run is true

  Scenario: Bookings are refused while the store is down
    Given a fleet of 2 model and 2 booking endpoints
    And routers r1 and r2
    When booking first is sent through r1
    And the store goes down
    And bookings a, b, c are sent through r1
    And bookings d, e, f are sent through r2
    Then bookings a, b, c, d, e, f are refused as not run
    When the store comes back up
    And a wait of 1 s
    Then bookings a, b, c, d, e, f never ran

  Scenario: More chats arrive than can be answered before the deadline
    Given a fleet of 1 model and 0 booking endpoints
    And routers r1 and r2
    When 60 chats of 400 tokens are sent through r1 with a deadline of 1500 ms
    Then some of them are refused as not run
    And those refused as not run never ran

  Scenario: All engines are killed while a chat is in flight
    Given a fleet of 2 model and 0 booking endpoints
    And routers r1 and r2
    When chat long of 600 tokens starts through r1
    And all engines are killed
    Then chat long fails with verdict may-have-run
