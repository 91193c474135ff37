@fleet.eaveline
Feature: Crash of the owner of an engine
  Guards against requests that fail and memory that stays in use when an entry instance that owns
  engines crashes.

  Scenario: An abandoned request leaves no memory in use
    When a caller abandons a prompt of 900000 tokens after 1 second
    Then every engine ends with no memory in use within 10 seconds

  Scenario: Requests succeed when the owner of an engine is killed
    When callers send requests for 12 seconds and the owner of "ice-advisor-0" is killed after 3
    Then at least 40 requests were sent and each got its own complete response
    And every engine ends with no memory in use within 40 seconds
