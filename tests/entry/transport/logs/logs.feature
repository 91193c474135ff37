Feature: Structured log lines
  Guards against a process that blocks on the reader of its log, against an unlimited number of
  lines, and against failures that are not logged.

  Scenario: Each event is one JSON object
    Given a line buffer
    When a response to request "r1" is logged
    Then the line has the name "answered", the node "n1" and the request "r1"

  Scenario: Lines of one event are limited per second, and the number of suppressed lines is logged
    Given a line buffer
    When 1000 failed sends are logged in one second
    And another event is logged a second later
    Then 42 lines are buffered
    And the last lines report that 960 lines of "SEND_FAILED" were suppressed

  Scenario: Under load, sampling logs all lines of a request or none
    Given a line buffer
    When 2000 requests are routed and answered in one second
    Then the sampled lines of both events belong to the same requests
    And at most 400 lines are buffered

  Scenario: A blocked reader does not delay the process, and lines are dropped and counted
    Given a process that logs 20000 failures in 500 seconds to a pipe that is never read
    Then it took less than 3 seconds
    And at most 1200000 bytes are buffered
    And lines were dropped

  Scenario: A slow reader gets complete lines in order
    Given a process that logs 2000 failures in 500 seconds to a pipe that is read slowly
    Then the reader got 2000 complete lines in order
