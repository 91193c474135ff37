Feature: Bookings under failure, with real processes
  Guards against second runs of a booking and false run states.

  Scenario: An entry dies while it runs a booking and the caller repeats through another
    Given a deployment with 2 proxied engines
    And bookings take 2 seconds
    When a caller sends booking "b" through entry 0, which is killed while it runs
    And the caller repeats booking "b" through entry 1
    Then the repeat has status 409 and run state "unknown"
    And booking "b" has run 1 time

  Scenario: A booking target that is cut off after it ran
    Given a deployment with 2 proxied engines
    And the booking targets drop their next reply
    When the caller repeats booking "b" through entry 0
    Then the repeat has status 409 and run state "unknown"
    When the caller repeats booking "b" through entry 1
    Then the repeat has status 409 and run state "unknown"
    And booking "b" has run 1 time

  Scenario: The table service's reply to the claim is lost
    Given a deployment with 2 proxied engines
    And the table service loses the next 1 replies
    When the caller repeats booking "b" through entry 0
    Then the repeat has status 201 and run state "ran"
    When the caller repeats booking "b" through entry 1
    Then the repeat has status 201 and run state "ran"
    And booking "b" has run 1 time

  Scenario: The table service loses replies and the booking target is cut off
    Given a deployment with 2 proxied engines
    And the table service loses the next 1 replies
    And the booking targets drop their next reply
    When the caller repeats booking "b" through entry 0
    Then the repeat has status 409 and run state "unknown"
    When the caller repeats booking "b" through entry 1
    Then the repeat has status 409 and run state "unknown"
    And booking "b" has run 1 time

  Scenario: The table service is down
    Given a deployment with 2 proxied engines
    And the table service has an outage
    When the caller repeats booking "b" through entry 0
    Then the repeat has status 503 and run state "not-run"
    And booking "b" has run 0 times
    When a caller streams an answer of 50 tokens through entry 1
    Then the caller gets its own whole answer within 30 seconds
    When the table service's outage is over
    And the caller repeats booking "b" through entry 1
    Then the repeat has status 201 and run state "ran"
    And booking "b" has run 1 time
