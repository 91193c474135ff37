Feature: Graceful stop, with real processes
  Guards against responses that a planned stop cuts off, and against callers that keep using the
  instance.

  Scenario: A long response is completed
    Given 3 entry instances
    When entry instance 1 gets SIGTERM during a long response
    Then the response is complete and the process exits by itself
    And its idle connection was closed, its address was dropped, and new connections were served

  Scenario: A rolling restart under load fails no request
    Given 3 entry instances
    When all entry instances restart one after the other under load
    Then no request failed
