Feature: Structured log lines
  Guards against a process that waits for the reader of its log, against lines without bound, and
  against failures that leave no line.

  Scenario: Each event is one JSON object
    Given a line buffer
    When an answer to request "r1" is logged
    Then the line has the name "answered", the node "n1" and the request "r1"

  Scenario: Lines of one event are bounded in a second and what is left out is told
    Given a line buffer
    When 1000 failed sends are logged in one second
    And another event is logged a second later
    Then 42 lines wait
    And the last lines tell that 960 lines of "SEND_FAILED" were left out

  Scenario: Under load all lines of one request are told, or none
    Given a line buffer
    When 2000 requests are routed and answered in one second
    Then the lines beyond the bound are those of the same requests in both events
    And at most 400 lines wait

  Scenario: A reader that is blocked costs no time, and lines are dropped and counted
    Given a process that logs 20000 failures in 500 seconds to a pipe that nobody reads
    Then it took less than 3 seconds
    And at most 1200000 bytes wait
    And lines were dropped

  Scenario: Lines reach a slow reader whole and in order
    Given a process that logs 2000 failures in 500 seconds to a pipe that is read slowly
    Then the reader got 2000 whole lines in order
