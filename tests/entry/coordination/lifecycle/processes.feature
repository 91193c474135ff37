Feature: Graceful stop, with real processes
  Guards against answers that a planned stop cuts off, and callers that keep using the instance.

  Scenario: A long answer is finished
    Given 3 entry instances
    When entry instance 1 gets SIGTERM during a long answer
    Then the answer is whole and the process ends by itself
    And its kept connection was closed, its address was dropped, and new connections were served

  Scenario: All instances restart under load
    Given 3 entry instances
    When all entry instances restart one after the other under load
    Then no request failed
