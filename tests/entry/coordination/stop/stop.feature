Feature: Graceful stop in two steps
  Guards against requests that a planned stop cuts off, and against a process that is killed because
  it drains for longer than its grace period.

  Scenario: A leaving instance accepts connections until callers have updated their address lists
    Given an instance with 0 open requests
    When its graceful stop begins
    Then it closes its listeners after 3.3 seconds
    And it ends after 3.3 seconds

  Scenario: A leaving instance waits for open requests
    Given an instance with a request that takes 5 seconds
    When its graceful stop begins
    Then it ends after 5.1 seconds

  Scenario: Requests that outlast the grace period are aborted before the process is killed
    Given an instance with a request that takes 60 seconds
    When its graceful stop begins
    Then it ends after 7.6 seconds
