Feature: A failure domain taken out receives no new work after 3 s

  Background:
    Given a fleet with 4 model endpoints and 2 booking endpoints
    And routers r1 and r2
    And 12 chats of hiker go on through r1
    And 6 chats of hiker go on through r2

  Scenario: Operators take it out and bring it back
    When operators take alue-kaksi out through r1
    And 3 s have passed
    Then no work begins in alue-kaksi for 2 s
    When operators bring alue-kaksi back through r1
    Then work begins again in alue-kaksi
    And every chat was answered whole

  Scenario: The store goes down right after the patch was accepted
    When operators take alue-kaksi out through r1
    And the store goes down
    And 3 s have passed
    Then no work begins in alue-kaksi for 2 s
    And every chat was answered whole

  Scenario: A router that is cut off from the store holds an older number
    Given a router r3 with a way to the store of its own
    And 6 chats of hiker go on through r3
    And 1 s has passed
    When r3 is cut off from the store
    And operators take alue-kaksi out through r1
    And 3 s have passed
    Then no work begins in alue-kaksi for 2 s
    And every chat was answered whole

  Scenario: A paused sidecar wakes up after its domain was taken out
    Given the sidecar of m1 runs in a process that can be paused
    When the sidecar of m1 is paused for 5 s
    And operators take alue-kaksi out through r1
    And 3 s have passed
    Then no work begins in alue-kaksi for 4 s
    And every chat was answered whole
