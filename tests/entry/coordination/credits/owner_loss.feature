@fleet.eaveline
Feature: Loss of the owner of an engine
  Guards against requests that stop, and memory that stays in use, when an entry instance that owns
  engines dies.

  Scenario: A caller that gives up leaves no memory in use
    When a caller gives up a prompt of 900000 tokens after 1 second
    Then every engine ends with no memory in use within 10 seconds

  Scenario: Requests go on when the owner of an engine is killed
    When callers send requests for 12 seconds and the owner of "ice-advisor-0" is killed after 3
    Then each of at least 40 requests got its own whole answer
    And every engine ends with no memory in use within 40 seconds
