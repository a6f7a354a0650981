Feature: Each caller receives the whole answer to its own request

  Background:
    Given a fleet with 3 model endpoints and 0 booking endpoints
    And routers r1 and r2

  Scenario: The connections of a chat go silent
    When a chat long of 600 tokens begins through r1
    And the connections of long go silent
    Then chat long is answered whole with 600 tokens in one run

  Scenario: Its endpoint is killed
    When a chat long of 600 tokens begins through r1
    And the endpoint of long is killed
    Then chat long is answered whole with 600 tokens

  Scenario: Its router is killed and the caller goes on through another
    When a chat long of 600 tokens is cut after 40 by the death of r1
    And the rest of long is asked for through r2
    Then the two parts of long make 600 tokens from one run

  Scenario: The caller goes away
    When a chat long of 10000 tokens is left by its caller after 3
    Then no engine works any more
