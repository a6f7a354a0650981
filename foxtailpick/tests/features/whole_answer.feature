Feature: Each caller receives the complete answer to its own request

  Background:
    Given a fleet of 3 model and 0 booking endpoints
    And routers r1 and r2

  Scenario: The connections of a chat go silent
    When chat long of 600 tokens starts through r1
    And the connections of chat long go silent
    Then chat long receives all 600 tokens from one run

  Scenario: The endpoint of a chat is killed
    When chat long of 600 tokens starts through r1
    And the endpoint of chat long is killed
    Then chat long receives all 600 tokens

  Scenario: A router is killed and its caller resumes through another
    When chat long of 600 tokens is cut off after 40 tokens as r1 is killed
    And the rest of chat long is requested through r2
    Then the two parts of chat long add up to 600 tokens from one run

  Scenario: The caller disconnects
    When the caller of chat long of 10000 tokens disconnects after 3 tokens
    Then all engines become idle
