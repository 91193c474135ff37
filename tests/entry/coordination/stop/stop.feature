Feature: Graceful stop in two steps
  Guards against requests that a planned stop cuts off, and against a process that is killed because
  it waits too long.

  Scenario: An instance accepts connections for a while after the order to leave
    Given an instance with 0 open requests
    When it is told to leave
    Then it closes its listeners after 3.3 seconds
    And it ends after 3.3 seconds

  Scenario: Open requests are waited for
    Given an instance with a request that takes 5 seconds
    When it is told to leave
    Then it ends after 5.1 seconds

  Scenario: Requests that take too long are given up before the process is killed
    Given an instance with a request that takes 60 seconds
    When it is told to leave
    Then it ends after 7.6 seconds
