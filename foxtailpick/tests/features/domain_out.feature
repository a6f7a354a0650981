Feature: A failure domain out of service receives no new work after 3 s

  Background:
    Given a fleet of 4 model and 2 booking endpoints
    And routers r1 and r2
    And account hiker keeps 12 chats active through r1
    And account hiker keeps 6 chats active through r2

  Scenario: Operators take a domain out of service and return it
    When operators take alue-kaksi out of service through r1
    And a wait of 3 s
    Then no run starts in alue-kaksi for 2 s
    When operators return alue-kaksi to service through r1
    Then runs start again in alue-kaksi
    And every chat received its complete answer

  Scenario: The store goes down right after the patch was accepted
    When operators take alue-kaksi out of service through r1
    And the store goes down
    And a wait of 3 s
    Then no run starts in alue-kaksi for 2 s
    And every chat received its complete answer

  Scenario: A router cut off from the store has an older configuration
    Given a router r3 with its own connection to the store
    And account hiker keeps 6 chats active through r3
    And a wait of 1 s
    When r3 is cut off from the store
    And operators take alue-kaksi out of service through r1
    And a wait of 3 s
    Then no run starts in alue-kaksi for 2 s
    And every chat received its complete answer

  Scenario: A paused sidecar wakes up after its domain was taken out
    Given the sidecar of m1 runs in a process that can be paused
    When the sidecar of m1 is paused while chats wait in its queue
    And operators take alue-kaksi out of service through r1
    And a wait of 3 s
    Then no run starts in alue-kaksi for 2 s
    And no run starts in alue-kaksi for 4 s after the sidecar of m1 wakes up
    And every chat received its complete answer
