Feature: A refusal that says not run is true

  Scenario: Bookings are refused while the store is down
    Given a fleet with 2 model endpoints and 2 booking endpoints
    And routers r1 and r2
    When booking first is sent through r1
    And the store goes down
    And bookings a, b, c are sent through r1
    And bookings d, e, f are sent through r2
    Then bookings a, b, c, d, e, f are refused as not run
    When the store comes back
    And 1 s have passed
    Then bookings a, b, c, d, e, f never ran

  Scenario: Chats beyond what the endpoints can do before the deadline
    Given a fleet with 1 model endpoints and 0 booking endpoints
    And routers r1 and r2
    When 60 chats of 400 tokens and 1500 ms are sent through r1
    Then some of them are refused as not run
    And those refused as not run never ran

  Scenario: All engines die while a chat is under way
    Given a fleet with 2 model endpoints and 0 booking endpoints
    And routers r1 and r2
    When a chat long of 600 tokens begins through r1
    And all engines die
    Then chat long fails with verdict may-have-run
